"""Signals of one replica beside each other and beside other restrictions."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.experiment import soak_checks
from nutmeghook.internal.assembly import send_limits
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import sender_election
from nutmeghook.internal.replicas import signals
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.platform import replicas as replicas_wire
from nutmeghook.platform import settings
from tests import gated_relay
from tests import known_members
from tests import platform_rows
from tests import relay_fixture

SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
COLD_PER_S, OVERRUN, ALLOWANCE = 6.0, 1.5, 5.0
SERVICE = model.Service(
    name="service",
    liveness_path="/health",
    max_connections=100,
    cold_time=3 * SECOND,
    cold_per_s=COLD_PER_S,
)
STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just("limit"), strategies.sampled_from((0.3, 2.0, 9.0))
    ),
    strategies.tuples(
        strategies.just("rest"), strategies.sampled_from((0.5, 3.0))
    ),
    strategies.tuples(strategies.just("send"), strategies.integers(1, 30)),
    strategies.tuples(strategies.just("wait"), strategies.integers(1, 2000)),
    strategies.tuples(
        strategies.sampled_from(
            ("end", "leave", "cold", "evacuate", "restore", "restart", "row")
        ),
        strategies.none(),
    ),
)


class SteppedClock(clock_module.FakeClock):
    """A clock that moves without an event loop; nothing sleeps on it."""

    def skip(self, duration: datetime.timedelta) -> None:
        """Moves the time."""
        self._elapsed += duration


class OneInstance:
    """The only instance of a fleet, and what one replica told it."""

    def __init__(self):
        self.clock = SteppedClock()
        self.directory = directory_module.ReplicaDirectory(clock=self.clock)
        configuration = in_force_module.ConfigurationInForce()
        configuration.offer(
            relay_fixture.configuration(services={"service": SERVICE}),
            source="test",
        )
        loaded = settings.load(
            gated_relay.SETTINGS.format(name="edge-1").replace(
                "graceS = 8",
                f"graceS = 8\ncoldOverrun = {OVERRUN}\n"
                f"coldAllowance = {ALLOWANCE}",
            )
        )
        self.limits = send_limits.SendLimits(
            settings=lambda: loaded,
            configuration=configuration,
            directory=self.directory,
            clock=self.clock,
        )
        self.limits.senders.register(
            known_members.KnownMembers(clock=self.clock)
        )
        self.starts = 0
        self.restart(None)

    def restart(self, _) -> None:
        """Lists a new start of the replica, about which nothing is known."""
        self.starts += 1
        self.row(None)
        self.limit_per_s: float | None = None
        self.rests_until = datetime.timedelta()
        self.leaves = False
        self.is_cold_from: datetime.timedelta | None = None
        # Since the present limit, and since the replica is cold.
        self.sent_since_limit: list[float] = []
        self.sent_while_cold: list[float] = []

    def row(self, _) -> None:
        """Writes the row of the present start, which says ready."""
        row = platform_rows.replica_row(version=f"v{self.starts}")
        self.directory.put(replicas_wire.decode("i-1", row))

    @property
    def replica(self) -> replica_module.Replica:
        (replica,) = self.directory.of_service("service")
        return replica

    def answer(self, **fields) -> None:
        """Receives an answer to a request that was sent just now."""
        fields.setdefault("rate_limit_per_s", self.limit_per_s)
        self.limits.signals.note_answer(
            self.replica,
            signals.ReplicaSignals(**fields),
            sent_at=self.clock.monotonic(),
        )

    def limit(self, per_s: float) -> None:
        """The replica states a limit."""
        self.limit_per_s = per_s
        self.sent_since_limit.clear()
        self.answer()

    def end(self, _) -> None:
        """The replica states no limit any more."""
        self.limit_per_s = None
        self.answer()

    def rest(self, seconds: float) -> None:
        """The replica turns a request away and asks for rest."""
        until = self.clock.monotonic() + seconds * SECOND
        self.rests_until = max(self.rests_until, until)
        self.answer(rest=seconds * SECOND)

    def leave(self, _) -> None:
        """The replica says that it leaves."""
        self.leaves = True
        self.answer(leaving=True)

    def cold(self, _) -> None:
        """The replica says that it is cold for some time."""
        self.directory.note_cold(self.replica, SERVICE.cold_time)

    def evacuate(self, _) -> None:
        """The operator evacuates the replica's data centre."""
        self.limits.evacuations.evacuate("here")

    def restore(self, _) -> None:
        """The operator ends the evacuation."""
        self.limits.evacuations.restore("here")

    def reasons_against(self, now: datetime.timedelta) -> list[str]:
        """Returns why nothing may be sent now."""
        reasons = {
            "it leaves": self.leaves,
            "it rests": now < self.rests_until,
            "it is evacuated": self.limits.evacuations.is_evacuated("here"),
        }
        return [reason for reason, holds in reasons.items() if holds]

    def send(self, count: int) -> list[str]:
        """Sends what the gate allows; returns violations."""
        now = self.clock.monotonic()
        gate = self.limits.gate
        found = []
        for _ in range(count):
            if not gate.is_open(self.replica):
                continue
            if not gate.may_write(self.replica, gate.reserve(self.replica)):
                continue
            found += self.reasons_against(now)
            if self.limit_per_s is not None:
                self.sent_since_limit.append(now.total_seconds())
            if self.replica.is_cold(now):
                self.sent_while_cold.append(now.total_seconds())
            self.answer()
        return found


class SignalsTogetherTest(unittest.IsolatedAsyncioTestCase):
    @hypothesis.settings(deadline=None)
    @hypothesis.given(strategies.lists(STEPS, max_size=40))
    def test_every_restriction_holds_beside_all_others(self, steps):
        self.play(steps)

    def test_a_row_that_says_ready_lifts_nothing(self):
        self.play(
            [
                ("limit", 2.0),
                ("leave", None),
                ("rest", 3.0),
                ("row", None),
                ("send", 30),
            ]
        )

    def play(self, steps) -> None:
        """Plays steps and checks the bounds on what was sent."""
        instance = OneInstance()
        instance.clock.skip(2 * sender_election.SETTLING_TIME)
        for step, value in steps:
            if step == "wait":
                instance.clock.skip(value * MILLISECOND)
                continue
            self.assertEqual(getattr(instance, step)(value) or [], [])
            if instance.limit_per_s is not None:
                self.assertLessEqual(
                    soak_checks.max_within(
                        instance.sent_since_limit,
                        soak_checks.RATE_LIMIT_SPAN_S,
                    ),
                    soak_checks.rate_limit_bound(instance.limit_per_s),
                )
            self.assertLessEqual(
                soak_checks.max_in_one_second(instance.sent_while_cold),
                COLD_PER_S * OVERRUN + ALLOWANCE,
            )

    async def test_a_replica_takes_all_requests_once_nothing_holds_it(self):
        instance = OneInstance()
        instance.clock.skip(2 * sender_election.SETTLING_TIME)
        instance.cold(None)
        instance.limit(2.0)
        instance.rest(3.0)
        self.assertFalse(instance.limits.gate.is_open(instance.replica))
        instance.clock.skip(4 * SECOND)
        instance.end(None)
        gate = instance.limits.gate
        sent = [
            gate.may_write(instance.replica, gate.reserve(instance.replica))
            for _ in range(30)
        ]
        self.assertTrue(all(sent))


if __name__ == "__main__":
    unittest.main()
