"""Version choice: what forbids, what a session keeps, and shares."""

import asyncio
import dataclasses
import datetime
import itertools
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import pins as pins_module
from nutmeghook.internal.platform import engine
from nutmeghook.internal.rollout import exposure
from nutmeghook.internal.routing import version_choice
from nutmeghook.internal.routing import versions

OLD = engine.ModelVersion(model="small", version="1")
NEW = engine.ModelVersion(model="small", version="2")
LONG_AGO = datetime.timedelta(hours=1)
State = documents.VersionState
Policy = documents.FreshnessPolicy


def snapshot(
    *,
    new_state=State.ROLLING_OUT,
    old_state=State.SERVING,
    new_percent=5.0,
    allowed=("small",),
    withdrawn=(),
    freshness=Policy.STOP_ROLL_OUTS,
):
    """Returns a configuration of one template with an old and a new version."""
    entries = (
        documents.VersionEntry(
            version="1", state=old_state, share_percent=100.0 - new_percent
        ),
        documents.VersionEntry(
            version="2", state=new_state, share_percent=new_percent
        ),
    )
    template = documents.Template(
        team="agency",
        name="lookup",
        stages=(documents.Stage(model="small", versions=entries),),
        freshness=freshness,
    )
    return documents.Snapshot(
        revision=1,
        fleet=documents.Fleet(withdrawn=tuple(withdrawn)),
        teams={"agency": documents.Team(name="agency", allowed_models=allowed)},
        templates={"agency/lookup": template},
    )


class MemoryPins(pins_module.SessionPins):
    """Pins as the store would keep them; `out` makes it fail."""

    def __init__(self):
        self.pinned = {}
        self.out = False
        self.moves = 0

    async def pin(self, key, *, proposed, unusable, timeout):
        if self.out:
            raise errors.CodedError(code=codes.Code.STORE_OUT)
        if self.pinned.get(key) in {None, *unusable}:
            self.moves += 1
            self.pinned[key] = proposed
        return self.pinned[key]

    def pin_later(self, key, *, version):
        self.pinned.setdefault(key, version)


class CountingGate(exposure.ExposureGate):
    """A gate with a fixed amount of leave."""

    def __init__(self, leave=1_000_000):
        self.leave = leave
        self.used = 0

    def try_take(self, *, template, model_version):
        if self.used >= self.leave:
            return False
        self.used += 1
        return True

    def take_regardless(self, *, template, model_version):
        self.used += 1

    def give_back(self, *, template, model_version):
        self.used -= 1


class FixedView(view_module.ConfigView):
    """A configuration that a test replaces."""

    def __init__(self, snapshot, age=datetime.timedelta()):
        self.current = snapshot
        self.age = age

    @property
    def snapshot(self):
        return self.current

    def confirmed_age(self):
        return self.age


@dataclasses.dataclass
class Fleet:
    """Instances that share the store's pins and the exposure's leave."""

    view: FixedView
    pins: MemoryPins = dataclasses.field(default_factory=MemoryPins)
    gate: CountingGate = dataclasses.field(default_factory=CountingGate)

    def chooser(self):
        return version_choice.ConfiguredVersionChooser(
            view=self.view, pins=self.pins, gate=self.gate
        )

    def choose(self, session="", request_id="r"):
        template = self.view.current.templates["agency/lookup"]
        return asyncio.run(
            self.chooser().choose(
                template=template,
                stage_index=0,
                session=session,
                request_id=request_id,
            )
        )

    def check(self, template, model_version):
        choice = versions.VersionChoice(
            model_version=model_version, rolling_out=False
        )
        self.chooser().check_dispatch(template=template, choice=choice)


def outcome(function, *arguments, **named):
    """Returns what a call returns, or its result code."""
    try:
        return function(*arguments, **named)
    except errors.CodedError as error:
        return error.code


class PrecedenceTest(unittest.TestCase):
    """Every combination of what may forbid a version."""

    def test_the_first_rule_that_forbids_wins_over_everything_after(self):
        """Every mix of permission, withdrawal, age and pin is tried.

        The caller's session is pinned to the new version. Whatever else is
        set, a model that the team isn't allowed gives NOT_ALLOWED; else a
        withdrawn version is never returned, pinned or not; else a version
        that the freshness policy stops is refused and the pin is kept.
        """
        for allowed, state, everywhere, policy, old in itertools.product(
            ((), ("small",)), State, ((), (NEW,)), Policy, (False, True)
        ):
            view = FixedView(
                snapshot(
                    allowed=allowed,
                    new_state=state,
                    withdrawn=everywhere,
                    freshness=policy,
                ),
                age=LONG_AGO if old else datetime.timedelta(),
            )
            fleet = Fleet(view)
            key = pins_module.SessionKey(
                team="agency", template="lookup", stage_index=0, session="s"
            )
            fleet.pins.pinned[key] = NEW
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
            return OLD
        return codes.Code.STALE_CONFIG if new_stopped else NEW

    def _check(self, fleet, *, expected):
        result = outcome(fleet.choose, session="s")
        if isinstance(result, versions.VersionChoice):
            result = result.model_version
        self.assertEqual(result, expected)
        template = fleet.view.current.templates["agency/lookup"]
        if expected is NEW:
            self.assertIsNone(fleet.check(template, NEW))
        else:
            refused = outcome(fleet.check, template, NEW)
            self.assertIsInstance(refused, codes.Code)
        if expected is codes.Code.STALE_CONFIG:
            self.assertEqual(fleet.pins.moves, 0)

    def test_a_request_queued_across_a_change_is_checked_against_the_new(self):
        """The caller's request is chosen for, then waits in a queue.

        Meanwhile the version is withdrawn, or the template loses it, or the
        team loses the model. Just before sending, the check reads the newest
        configuration, not the request's copy, and refuses as not run.
        """
        before = snapshot()
        queued = before.templates["agency/lookup"]
        changes = (
            snapshot(new_state=State.WITHDRAWN),
            snapshot(withdrawn=(NEW,)),
            snapshot(allowed=("large",)),
            msgspec.structs.replace(before, templates={}),
        )
        for after in changes:
            fleet = Fleet(FixedView(before))
            fleet.check(queued, NEW)
            fleet.view.current = after
            with self.assertRaises(errors.CodedError) as caught:
                fleet.check(queued, NEW)
            self.assertIs(caught.exception.run_state, codes.RunState.NOT_RUN)


class SessionTest(unittest.TestCase):
    """A session keeps its version, and moves once when it must."""

    @hypothesis.given(
        strategies.lists(strategies.floats(0, 100), min_size=1, max_size=5),
        strategies.text(max_size=8).filter(bool),
    )
    def test_a_session_stays_while_shares_grow(self, shares, session):
        fleet = Fleet(FixedView(snapshot(new_percent=0.0)))
        first = fleet.choose(session=session).model_version
        for share in sorted(shares):
            fleet.view.current = snapshot(new_percent=share)
            again = fleet.choose(session=session).model_version
            self.assertEqual(again, first)

    def test_a_withdrawal_moves_a_session_once(self):
        """The caller's session runs on the version being rolled out.

        It is withdrawn: the session's next answer is the old version's. The
        version then comes back at a full share; the session stays where it
        is, because a second change would be one more break for the caller.
        """
        fleet = Fleet(FixedView(snapshot(new_percent=100.0)))
        self.assertEqual(fleet.choose(session="s").model_version, NEW)
        fleet.view.current = snapshot(new_state=State.WITHDRAWN)
        self.assertEqual(fleet.choose(session="s").model_version, OLD)
        fleet.view.current = snapshot(new_percent=100.0)
        self.assertEqual(fleet.choose(session="s").model_version, OLD)
        self.assertEqual(fleet.pins.moves, 2)

    @hypothesis.given(strategies.integers(0, 9), strategies.booleans())
    def test_without_the_store_no_session_s_version_is_guessed(
        self, number, pinned_before
    ):
        """The store is out, so nobody can look up or keep a session's pin.

        While a version rolls out, a session may be on either. A caller given
        the serving one by a guess got the other as soon as the store was
        back (seen in the demo). So it hears "not run, come back", and no
        leave is used up. Afterwards the session is where it was before.
        """
        fleet = Fleet(FixedView(snapshot(new_percent=60.0)))
        session = f"s{number}"
        before = None
        if pinned_before:
            before = fleet.choose(session=session).model_version
        used = fleet.gate.used
        fleet.pins.out = True
        for _ in range(3):
            refused = outcome(fleet.choose, session=session)
            self.assertIs(refused, codes.Code.STORE_OUT)
        self.assertEqual(fleet.gate.used, used)
        fleet.pins.out = False
        after = fleet.choose(session=session).model_version
        self.assertIn(after, {before} if pinned_before else {OLD, NEW})

    def test_an_only_version_serves_without_the_store_and_is_pinned_later(self):
        """The store is out and the template has one version. New sessions are
        answered by it. When the store is back and another version begins to
        roll out, those sessions must stay where they began.
        """
        fleet = Fleet(FixedView(snapshot(new_state=State.WITHDRAWN)))
        fleet.pins.out = True
        sessions = [f"s{number}" for number in range(30)]
        for session in sessions:
            choice = fleet.choose(session=session)
            self.assertEqual(choice.model_version, OLD)
        fleet.pins.out = False
        fleet.view.current = snapshot(new_percent=99.0)
        for session in sessions:
            choice = fleet.choose(session=session)
            self.assertEqual(choice.model_version, OLD)


class ShareTest(unittest.TestCase):
    """Shares of new work, and the leave that goes with them."""

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(strategies.floats(0, 100), strategies.floats(0, 100))
    def test_a_growing_share_keeps_the_keys_it_had(self, one, other):
        small, large = sorted((one, other))
        fleet = Fleet(FixedView(snapshot(new_percent=small)))
        requests = [f"r{number}" for number in range(100)]

        def on_new_version():
            return {
                r for r in requests if fleet.choose(request_id=r).rolling_out
            }

        before = on_new_version()
        fleet.view.current = snapshot(new_percent=large)
        self.assertLessEqual(before, on_new_version())
        self.assertEqual(fleet.pins.moves, 0)

    def test_shares_are_met(self):
        fleet = Fleet(FixedView(snapshot(new_percent=20.0)))
        taken = sum(
            fleet.choose(request_id=f"r{number}").rolling_out
            for number in range(2000)
        )
        self.assertAlmostEqual(taken / 2000, 0.2, delta=0.03)

    @hypothesis.given(strategies.integers(0, 20))
    def test_answers_of_a_roll_out_never_exceed_the_leave(self, leave):
        """Callers' new sessions would all fall to the version in roll-out.

        Once the leave is used up, each gets the serving version. A session
        that has the version already keeps it, and its answers are counted;
        leave taken for a session that turns out to be elsewhere goes back.
        """
        fleet = Fleet(
            FixedView(snapshot(new_percent=100.0)), gate=CountingGate(leave)
        )
        sessions = [f"s{number}" for number in range(30)]
        first = [fleet.choose(session=s) for s in sessions]
        self.assertEqual(sum(c.rolling_out for c in first), leave)
        again = [fleet.choose(session=s) for s in sessions]
        self.assertEqual(again, first)
        self.assertEqual(fleet.gate.used, 2 * leave)
        fleet.gate.leave = 1_000
        elsewhere = [fleet.choose(session=s) for s in sessions]
        self.assertEqual(elsewhere, first)
        self.assertEqual(fleet.gate.used, 3 * leave)
        template = fleet.view.current.templates["agency/lookup"]
        for choice in elsewhere:
            fleet.chooser().give_back(template=template, choice=choice)
        self.assertEqual(fleet.gate.used, 2 * leave)

    def test_an_only_roll_out_s_answers_count_without_the_store_too(self):
        """The store is out; callers get the only version, which rolls out.

        Its answers go unrated for now and must count under the cap; and the
        leave that a failed one gives back must be leave that it had.
        """
        config = snapshot(old_state=State.WITHDRAWN, new_percent=100.0)
        fleet = Fleet(FixedView(config))
        fleet.pins.out = True
        choice = fleet.choose(session="s")
        self.assertTrue(choice.rolling_out)
        self.assertEqual(fleet.gate.used, 1)
        template = config.templates["agency/lookup"]
        fleet.chooser().give_back(template=template, choice=choice)
        self.assertEqual(fleet.gate.used, 0)

    def test_a_choice_that_fails_keeps_no_leave(self):
        """The roll-out goes on; the caller hears of its deadline or the fault.

        Leave is taken, then the pin is looked up. Meanwhile the request is
        cancelled, or the store of pins fails in another way than by being
        out. Nothing will be sent, so nothing would ever be rated.
        """
        fleet = Fleet(FixedView(snapshot(new_percent=100.0)))
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
