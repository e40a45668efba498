"""Operations and replicas under faults stay consistent."""

from tests import config_machine

OperationsTest = config_machine.ConfigMachine.TestCase
OperationsTest.settings = config_machine.SETTINGS
