"""Version choice: precedence of rules, and pinned sessions."""

import datetime
import itertools
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import pins as pins_module
from nutmeghook.internal.routing import versions
from tests.cover import versions_fleet

LONG_AGO = datetime.timedelta(hours=1)
State = documents.VersionState
Policy = documents.FreshnessPolicy


class PrecedenceTest(unittest.TestCase):
    """Every combination of the rules that may forbid a version."""

    def test_the_first_rule_that_forbids_wins_over_everything_after(self):
        """Every mix of permission, withdrawal, age and pin is tried.

        The session is pinned to the new version. A model that the team isn't
        allowed gives NOT_ALLOWED; else a withdrawn version is never returned,
        pinned or not; else a version that the freshness policy stops is
        refused and the pin is kept.
        """
        for allowed, state, everywhere, policy, old in itertools.product(
            ((), ("small",)),
            State,
            ((), (versions_fleet.NEW,)),
            Policy,
            (False, True),
        ):
            view = versions_fleet.FixedView(
                versions_fleet.snapshot(
                    allowed=allowed,
                    new_state=state,
                    withdrawn=everywhere,
                    freshness=policy,
                ),
                age=LONG_AGO if old else datetime.timedelta(),
            )
            fleet = versions_fleet.Fleet(view)
            key = pins_module.SessionKey(
                team="agency", template="lookup", stage_index=0, session="s"
            )
            fleet.pins.put(key, versions_fleet.NEW)
            with self.subTest(
                allowed=allowed, state=state, policy=policy, old=old
            ):
                self._check(
                    fleet,
                    expected=self._expected(
                        allowed=allowed,
                        withdrawn=bool(everywhere) or state is State.WITHDRAWN,
                        all_stopped=old and policy is Policy.STOP_NEW_WORK,
                        new_stopped=old
                        and policy is Policy.STOP_ROLL_OUTS
                        and state is State.ROLLING_OUT,
                    ),
                )

    @staticmethod
    def _expected(*, allowed, withdrawn, all_stopped, new_stopped):
        if not allowed:
            return codes.Code.NOT_ALLOWED
        if all_stopped:
            return codes.Code.STALE_CONFIG
        if withdrawn:
            return versions_fleet.OLD
        return codes.Code.STALE_CONFIG if new_stopped else versions_fleet.NEW

    def _check(self, fleet, *, expected):
        result = versions_fleet.outcome(fleet.choose, session="s")
        if isinstance(result, versions.VersionChoice):
            result = result.model_version
        self.assertEqual(result, expected)
        template = fleet.view.current.templates["agency/lookup"]
        if expected is versions_fleet.NEW:
            self.assertIsNone(fleet.check(template, versions_fleet.NEW))
        else:
            refused = versions_fleet.outcome(
                fleet.check, template, versions_fleet.NEW
            )
            self.assertIsInstance(refused, codes.Code)
        if expected is codes.Code.STALE_CONFIG:
            self.assertEqual(fleet.pins.moves, 0)

    def test_a_request_queued_across_a_change_is_checked_against_the_new(self):
        """A version may be withdrawn while a request for it is queued.

        The same for a version that the template loses, or a model that the
        team loses. Just before sending, the check reads the newest
        configuration, not the request's copy, and refuses as not run.
        """
        before = versions_fleet.snapshot()
        queued = before.templates["agency/lookup"]
        changes = (
            versions_fleet.snapshot(new_state=State.WITHDRAWN),
            versions_fleet.snapshot(withdrawn=(versions_fleet.NEW,)),
            versions_fleet.snapshot(allowed=("large",)),
            msgspec.structs.replace(before, templates={}),
        )
        for after in changes:
            fleet = versions_fleet.Fleet(versions_fleet.FixedView(before))
            fleet.check(queued, versions_fleet.NEW)
            fleet.view.current = after
            with self.assertRaises(errors.CodedError) as caught:
                fleet.check(queued, versions_fleet.NEW)
            self.assertIs(caught.exception.run_state, codes.RunState.NOT_RUN)


class SessionTest(unittest.TestCase):
    """A session keeps its version, and changes it once if it must."""

    @hypothesis.given(
        strategies.lists(strategies.floats(0, 100), min_size=1, max_size=5),
        strategies.text(max_size=8).filter(bool),
    )
    def test_a_session_stays_while_shares_grow(self, shares, session):
        fleet = versions_fleet.Fleet(
            versions_fleet.FixedView(versions_fleet.snapshot(new_percent=0.0))
        )
        first = fleet.choose(session=session).model_version
        for share in sorted(shares):
            fleet.view.current = versions_fleet.snapshot(new_percent=share)
            again = fleet.choose(session=session).model_version
            self.assertEqual(again, first)

    def test_a_withdrawal_moves_a_session_once(self):
        """The version in roll-out that a session runs on is withdrawn.

        The session's next answer is the old version's. When the new version
        comes back at a full share, the session must not change a second time.
        """
        fleet = versions_fleet.Fleet(
            versions_fleet.FixedView(versions_fleet.snapshot(new_percent=100.0))
        )
        self.assertEqual(
            fleet.choose(session="s").model_version, versions_fleet.NEW
        )
        fleet.view.current = versions_fleet.snapshot(new_state=State.WITHDRAWN)
        self.assertEqual(
            fleet.choose(session="s").model_version, versions_fleet.OLD
        )
        fleet.view.current = versions_fleet.snapshot(new_percent=100.0)
        self.assertEqual(
            fleet.choose(session="s").model_version, versions_fleet.OLD
        )
        self.assertEqual(fleet.pins.moves, 2)

    def test_an_instance_that_is_behind_moves_no_session(self):
        """An instance whose configuration is a revision older lacks a version.

        A session pinned to that version reaches it. If the version were taken
        for removed, the session would change to the old version and back on
        the next request. So the caller gets a retryable "not run".
        """
        ahead = versions_fleet.Fleet(
            versions_fleet.FixedView(
                versions_fleet.snapshot(new_percent=100.0, revision=2)
            )
        )
        behind = versions_fleet.Fleet(
            versions_fleet.FixedView(
                versions_fleet.snapshot_without_new(revision=1)
            ),
            pins=ahead.pins,
        )
        self.assertEqual(
            ahead.choose(session="s").model_version, versions_fleet.NEW
        )
        refused = versions_fleet.outcome(behind.choose, session="s")
        self.assertIs(refused, codes.Code.STALE_CONFIG)
        self.assertEqual(ahead.pins.moves, 1)
        behind.view.current = ahead.view.current
        self.assertEqual(
            behind.choose(session="s").model_version, versions_fleet.NEW
        )

    def test_a_session_leaves_a_version_that_its_template_lost(self):
        """A team removes a version from the template that a session runs on.

        Every instance with the new configuration gives the session the
        remaining version.
        """
        fleet = versions_fleet.Fleet(
            versions_fleet.FixedView(
                versions_fleet.snapshot(new_percent=100.0, revision=2)
            )
        )
        fleet.choose(session="s")
        fleet.view.current = versions_fleet.snapshot_without_new(revision=3)
        self.assertEqual(
            fleet.choose(session="s").model_version, versions_fleet.OLD
        )

    @hypothesis.given(strategies.integers(0, 9), strategies.booleans())
    def test_without_the_store_no_session_s_version_is_guessed(
        self, number, pinned_before
    ):
        """The store is out, so no pin can be read or written.

        During a roll-out a session may be on either version, and a guess
        would change its version once the store is back. So the caller gets a
        retryable "not run" and no allowance is used. Afterwards the session
        is on the version that it had.
        """
        fleet = versions_fleet.Fleet(
            versions_fleet.FixedView(versions_fleet.snapshot(new_percent=60.0))
        )
        session = f"s{number}"
        before = None
        if pinned_before:
            before = fleet.choose(session=session).model_version
        used = fleet.gate.used
        fleet.pins.out = True
        for _ in range(3):
            refused = versions_fleet.outcome(fleet.choose, session=session)
            self.assertIs(refused, codes.Code.STORE_OUT)
        self.assertEqual(fleet.gate.used, used)
        fleet.pins.out = False
        after = fleet.choose(session=session).model_version
        self.assertIn(
            after,
            {before}
            if pinned_before
            else {versions_fleet.OLD, versions_fleet.NEW},
        )

    def test_an_only_version_serves_without_the_store_and_is_pinned_later(self):
        """The store is out and the template has one version, which answers.

        When the store is back and another version begins to roll out, the
        sessions that began meanwhile must keep the first one.
        """
        fleet = versions_fleet.Fleet(
            versions_fleet.FixedView(
                versions_fleet.snapshot(new_state=State.WITHDRAWN)
            )
        )
        fleet.pins.out = True
        sessions = [f"s{number}" for number in range(30)]
        for session in sessions:
            choice = fleet.choose(session=session)
            self.assertEqual(choice.model_version, versions_fleet.OLD)
        fleet.pins.out = False
        fleet.view.current = versions_fleet.snapshot(new_percent=99.0)
        for session in sessions:
            choice = fleet.choose(session=session)
            self.assertEqual(choice.model_version, versions_fleet.OLD)


if __name__ == "__main__":
    unittest.main()
