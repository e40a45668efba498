"""A version in roll-out gets sessions only once engines have loaded it."""

import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.rollout import exposure
from nutmeghook.internal.rollout import ready_gate

NEW = engine.ModelVersion(model="small", version="2")


class OpenGate(exposure.NoExposureGate):
    """Always gives allowance, and counts it."""

    def __init__(self):
        self.taken = 0

    def try_take(self, *, template, model_version):
        self.taken += 1
        return True


def template_with(share_percent):
    return documents.Template(
        team="t",
        name="x",
        stages=(
            documents.Stage(
                model="small",
                versions=(
                    documents.VersionEntry(
                        version="1", share_percent=100 - share_percent
                    ),
                    documents.VersionEntry(
                        version="2",
                        state=documents.VersionState.ROLLING_OUT,
                        share_percent=share_percent,
                    ),
                ),
            ),
        ),
    )


class ReadyGateTest(unittest.TestCase):
    @hypothesis.given(strategies.floats(1, 100), strategies.floats(0, 100))
    def test_no_session_before_the_version_is_loaded(self, share, loaded_for):
        """A version in roll-out is not loaded yet, or only on as many engines
        as an earlier step needed. A session on it would find no engine or an
        overloaded one; it gets the serving version, and uses no allowance.
        """
        inner = OpenGate()
        gate = ready_gate.ReadyExposureGate(
            gate=inner,
            is_ready=lambda version, percent: (
                version == NEW and percent <= loaded_for
            ),
        )
        taken = gate.try_take(template=template_with(share), model_version=NEW)
        self.assertEqual(taken, share <= loaded_for)
        self.assertEqual(inner.taken, int(taken))
