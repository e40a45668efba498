"""Version choice: shares of new work and their exposure allowance."""

import asyncio
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.config import documents
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from tests.cover import versions_fleet

State = documents.VersionState


class ShareTest(unittest.TestCase):
    """Shares of new work and the exposure allowance that they use."""

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(strategies.floats(0, 100), strategies.floats(0, 100))
    def test_a_growing_share_keeps_the_keys_it_had(self, one, other):
        small, large = sorted((one, other))
        fleet = versions_fleet.Fleet(
            versions_fleet.FixedView(versions_fleet.snapshot(new_percent=small))
        )
        requests = [f"r{number}" for number in range(100)]

        def on_new_version():
            return {
                r for r in requests if fleet.choose(request_id=r).rolling_out
            }

        before = on_new_version()
        fleet.view.current = versions_fleet.snapshot(new_percent=large)
        self.assertLessEqual(before, on_new_version())
        self.assertEqual(fleet.pins.moves, 0)

    def test_shares_are_met(self):
        fleet = versions_fleet.Fleet(
            versions_fleet.FixedView(versions_fleet.snapshot(new_percent=20.0))
        )
        taken = sum(
            fleet.choose(request_id=f"r{number}").rolling_out
            for number in range(2000)
        )
        self.assertAlmostEqual(taken / 2000, 0.2, delta=0.03)

    @hypothesis.given(strategies.integers(0, 20))
    def test_new_sessions_never_exceed_the_allowance(self, allowance):
        """By its share, the version in roll-out would get all new sessions.

        Once the allowance is used up, each must get the serving version. A
        session pinned to the new version keeps it, and its answers count;
        allowance taken for a session pinned to the old version is returned.
        """
        fleet = versions_fleet.Fleet(
            versions_fleet.FixedView(
                versions_fleet.snapshot(new_percent=100.0)
            ),
            gate=versions_fleet.CountingGate(allowance),
        )
        sessions = [f"s{number}" for number in range(30)]
        first = [fleet.choose(session=s) for s in sessions]
        self.assertEqual(sum(c.rolling_out for c in first), allowance)
        again = [fleet.choose(session=s) for s in sessions]
        self.assertEqual(again, first)
        self.assertEqual(fleet.gate.used, 2 * allowance)
        fleet.gate.allowance = 1_000
        elsewhere = [fleet.choose(session=s) for s in sessions]
        self.assertEqual(elsewhere, first)
        self.assertEqual(fleet.gate.used, 3 * allowance)
        template = fleet.view.current.templates["agency/lookup"]
        for choice in elsewhere:
            fleet.chooser().release(template=template, choice=choice)
        self.assertEqual(fleet.gate.used, 2 * allowance)

    def test_an_only_roll_out_s_answers_count_without_the_store_too(self):
        """The store is out and callers get the only version, in roll-out.

        Its answers, unrated for now, must count against the cap, and a failed
        one must return only the allowance that it took.
        """
        config = versions_fleet.snapshot(
            old_state=State.WITHDRAWN, new_percent=100.0
        )
        fleet = versions_fleet.Fleet(versions_fleet.FixedView(config))
        fleet.pins.out = True
        choice = fleet.choose(session="s")
        self.assertTrue(choice.rolling_out)
        self.assertEqual(fleet.gate.used, 1)
        template = config.templates["agency/lookup"]
        fleet.chooser().release(template=template, choice=choice)
        self.assertEqual(fleet.gate.used, 0)

    def test_a_choice_that_fails_returns_its_allowance(self):
        """Allowance kept for a request that is never sent stalls the roll-out.

        After it is taken, while the pin is looked up, the request is
        cancelled or the store of pins fails other than by being unavailable.
        """
        fleet = versions_fleet.Fleet(
            versions_fleet.FixedView(versions_fleet.snapshot(new_percent=100.0))
        )
        for error in (
            asyncio.CancelledError(),
            errors.CodedError(code=codes.Code.OVERLOADED),
        ):
            with (
                mock.patch.object(fleet.pins, "pin", side_effect=error),
                self.assertRaises(type(error)),
            ):
                fleet.choose(session="s")
            self.assertEqual(fleet.gate.used, 0)


if __name__ == "__main__":
    unittest.main()
