"""Operations and replicas under faults keep to one history."""

from tests import config_machine

OperationsTest = config_machine.ConfigMachine.TestCase
OperationsTest.settings = config_machine.SETTINGS
