"""Signals of replicas: how they are read, and which statement counts."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import rate_limit
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import signal_registry
from nutmeghook.internal.replicas import signals
from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.platform import replicas as replicas_wire
from nutmeghook.standins import users_replica
from tests import platform_rows
from tests import relay_fixture

SECOND = datetime.timedelta(seconds=1)
# From a request until its answer's head.
TURNAROUND = datetime.timedelta(milliseconds=100)
UNUSABLE_RATES = (
    "",
    " ",
    "nan",
    "inf",
    "-inf",
    "-1",
    "+1",
    "0",
    "0.0",
    "1e9",
    "1e-9",
    "1000000001",
    "9999999999999",
    "2,5",
    "2.",
    ".5",
    "two",
    "\u0662",
)


class RateHeaderTest(unittest.TestCase):
    def read(self, *values: str) -> signals.ReplicaSignals:
        """Returns the signals of an answer with these values of the header."""
        facts = headers.PlatformHeaders().read_answer(
            200, [("server-LIMIT", value) for value in values]
        )
        return facts.signals

    def test_a_usable_rate_is_read(self):
        for text, per_s in (("2", 2.0), (" 2.8 ", 2.8), ("0.05", 0.05)):
            self.assertEqual(self.read(text).rate_limit_per_s, per_s)
            self.assertEqual(self.read(text).unreadable, ())

    def test_an_answer_without_the_header_states_no_limit(self):
        self.assertEqual(self.read(), signals.NONE)

    def test_an_unusable_rate_is_reported(self):
        for text in UNUSABLE_RATES:
            with self.subTest(text=text):
                self.assertIsNone(self.read(text).rate_limit_per_s)
                self.assertEqual(len(self.read(text).unreadable), 1)

    def test_two_rates_in_one_answer_are_unusable(self):
        self.assertEqual(len(self.read("2", "3").unreadable), 1)

    @hypothesis.given(strategies.text(max_size=30))
    def test_any_text_is_read_without_an_error(self, text):
        read = self.read(text)
        if read.rate_limit_per_s is not None:
            self.assertGreater(read.rate_limit_per_s, 0)


class LeavingAndRestHeadersTest(unittest.TestCase):
    def read(self, status: int, *fields) -> signals.ReplicaSignals:
        """Returns the signals of an answer."""
        return headers.PlatformHeaders().read_answer(status, fields).signals

    def test_a_leaving_replica_says_so_in_any_answer(self):
        for status in (200, 500, 503):
            read = self.read(status, ("server-leaving", "1"))
            self.assertTrue(read.leaving)
            self.assertEqual(read.unreadable, ())
        twice = self.read(200, ("Server-Leaving", "1"), ("Server-Leaving", "1"))
        self.assertTrue(twice.leaving)

    def test_another_value_is_reported_and_closes_nothing(self):
        for value in ("0", "", "true", "11", "nan"):
            read = self.read(200, ("Server-Leaving", value))
            self.assertFalse(read.leaving)
            self.assertEqual(len(read.unreadable), 1)

    def test_a_refusal_may_ask_for_rest(self):
        for text, rest_s in (("3", 3.0), ("0.25", 0.25), ("3600", 3600.0)):
            read = self.read(503, ("Retry-After", text))
            self.assertEqual(read.rest, rest_s * SECOND)

    def test_only_a_refusal_asks_for_rest(self):
        for status in (200, 429, 500):
            self.assertIsNone(self.read(status, ("Retry-After", "3")).rest)

    def test_an_unusable_rest_is_reported(self):
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for text in (*UNUSABLE_RATES, "3601", date):
            with self.subTest(text=text):
                read = self.read(503, ("Retry-After", text))
                self.assertIsNone(read.rest)
                self.assertEqual(len(read.unreadable), 1)

    def test_one_unreadable_signal_does_not_hide_the_others(self):
        read = self.read(
            503,
            ("Server-Limit", "nan"),
            ("Server-Leaving", "1"),
            ("Retry-After", "3"),
        )
        self.assertFalse(read.is_rate_limit_readable)
        self.assertTrue(read.leaving)
        self.assertEqual(read.rest, 3 * SECOND)


class StatementOrderTest(unittest.TestCase):
    """Which of a replica's statements is in force."""

    LIMIT = rate_limit.RateLimit(per_s=2.0, heard_at=10 * SECOND)

    def after(self, per_s, *, sent_s: float, now_s: float = 12.0):
        """Returns the limit after an answer to a request sent at a time."""
        return rate_limit.after_answer(
            self.LIMIT, per_s, sent_at=sent_s * SECOND, now=now_s * SECOND
        ).per_s

    def test_a_stricter_limit_counts_in_any_answer(self):
        self.assertEqual(self.after(1.0, sent_s=9), 1.0)
        self.assertEqual(self.after(1.0, sent_s=11), 1.0)

    def test_an_answer_that_may_be_older_loosens_nothing(self):
        """A stream that was requested before the limit was heard."""
        self.assertEqual(self.after(None, sent_s=9), 2.0)
        self.assertEqual(self.after(5.0, sent_s=9), 2.0)

    def test_an_answer_to_a_later_request_loosens_or_ends_a_limit(self):
        self.assertIsNone(self.after(None, sent_s=10))
        self.assertEqual(self.after(5.0, sent_s=10), 5.0)

    def test_a_replica_without_a_limit_has_no_statement(self):
        self.assertIsNone(
            rate_limit.after_answer(None, None, sent_at=SECOND, now=SECOND)
        )

    def test_a_peers_report_counts_only_if_it_is_newer(self):
        newer = rate_limit.RateLimit(per_s=None, heard_at=11 * SECOND)
        older = rate_limit.RateLimit(per_s=None, heard_at=9 * SECOND)
        self.assertIs(rate_limit.after_peer(self.LIMIT, newer), newer)
        self.assertIs(rate_limit.after_peer(self.LIMIT, older), self.LIMIT)

    def test_an_end_of_an_unknown_limit_is_no_statement(self):
        end = rate_limit.RateLimit(per_s=None, heard_at=SECOND)
        self.assertIsNone(rate_limit.after_peer(None, end))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                # When the replica answers; how late the head comes.
                strategies.integers(0, 20),
                strategies.integers(0, 6),
            ),
            max_size=12,
        ),
        strategies.integers(0, 20),
    )
    def test_a_limit_that_is_in_force_is_never_taken_for_ended(
        self, answers, begins
    ):
        """Answers overtake each other in any way while a limit begins."""
        known = None
        heard = False
        for answered, late in sorted(answers, key=sum):
            states = answered >= begins
            heard = heard or states
            known = rate_limit.after_answer(
                known,
                2.0 if states else None,
                # Each request was sent two seconds before its answer.
                sent_at=(answered - 2) * SECOND,
                now=(answered + late) * SECOND,
            )
            if heard:
                self.assertEqual(known.per_s, 2.0)


class SignalRegistryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.directory = directory_module.ReplicaDirectory(clock=self.clock)
        self.registry = signal_registry.SignalRegistry(
            directory=self.directory, clock=self.clock
        )
        self.replica = self.put()

    def put(self, **changes) -> replica_module.Replica:
        """Puts the replica's entry into the list."""
        self.directory.put(
            replicas_wire.decode("i-1", platform_rows.replica_row(**changes))
        )
        (replica,) = self.directory.of_service("service")
        return replica

    def answer(self, replica, **fields) -> None:
        """Has a replica answer a request that was sent just before."""
        self.registry.note_answer(
            replica,
            signals.ReplicaSignals(**fields),
            sent_at=self.clock.monotonic() - TURNAROUND,
        )

    async def test_an_unreadable_limit_changes_nothing(self):
        self.answer(self.replica, rate_limit_per_s=2.0)
        await self.clock.advance(SECOND)
        self.answer(
            self.replica,
            is_rate_limit_readable=False,
            unreadable=("a limit of nothing",),
        )
        self.assertEqual(self.replica.rate_limit_per_s, 2.0)

    async def test_a_former_start_says_nothing_of_the_present_one(self):
        """A replica starts again under its id with an old answer under way."""
        restarted = self.put(version="v2")
        self.assertIsNot(restarted, self.replica)
        self.answer(self.replica, rate_limit_per_s=2.0)
        self.assertIsNone(restarted.rate_limit_per_s)

    async def test_a_new_start_begins_without_a_limit(self):
        self.answer(self.replica, rate_limit_per_s=2.0)
        self.assertIsNone(self.put(version="v2").rate_limit_per_s)

    async def test_a_peers_report_of_a_former_start_is_ignored(self):
        """Entries without a start give all starts under one id the same hash,
        and peers go on telling what the former one stated.
        """
        heard_at = self.clock.monotonic()
        await self.clock.advance(SECOND)
        restarted = self.put(version="v2")
        self.assertEqual(restarted.short_id, self.replica.short_id)
        for at, per_s in ((heard_at, None), (self.clock.monotonic(), 2.0)):
            self.registry.note_peer(
                restarted.short_id, rate_limit.RateLimit(per_s=2.0, heard_at=at)
            )
            self.assertEqual(restarted.rate_limit_per_s, per_s)

    async def test_a_former_start_that_left_does_not_close_the_present_one(
        self,
    ):
        heard_at = self.clock.monotonic()
        await self.clock.advance(SECOND)
        restarted = self.put(version="v2")
        self.answer(self.replica, leaving=True)
        self.registry.note_peer_leaving(restarted.short_id, heard_at)
        self.assertFalse(restarted.is_leaving)
        self.registry.note_peer_leaving(
            restarted.short_id, self.clock.monotonic()
        )
        self.assertTrue(restarted.is_leaving)

    async def test_a_row_that_says_ready_does_not_outweigh_an_answer(self):
        self.answer(self.replica, leaving=True)
        self.assertTrue(self.put(slots=9).is_leaving)

    async def test_an_entry_that_lapses_and_returns_forgets_nothing(self):
        """Entries expire while the store is away, and live replicas write them
        again. A replica that had said it leaves would get requests once more.
        """
        self.answer(
            self.replica,
            rate_limit_per_s=2.0,
            leaving=True,
            rest=30 * SECOND,
        )
        self.directory.remove("i-1")
        await self.clock.advance(3 * SECOND)
        returned = self.put()
        self.assertTrue(returned.is_leaving)
        self.assertEqual(returned.rate_limit_per_s, 2.0)
        self.assertTrue(returned.is_resting(self.clock.monotonic()))

    async def test_a_new_start_after_a_lapse_begins_clean(self):
        self.answer(self.replica, rate_limit_per_s=2.0, leaving=True)
        self.directory.remove("i-1")
        restarted = self.put(version="v2")
        self.assertFalse(restarted.is_leaving)
        self.assertIsNone(restarted.rate_limit_per_s)

    async def test_a_new_row_of_the_same_start_keeps_the_limit(self):
        self.answer(self.replica, rate_limit_per_s=2.0)
        self.assertEqual(self.put(slots=9).rate_limit_per_s, 2.0)


class HeardByTheRelayTest(relay_fixture.RelayCase):
    """The relay's own replicas state limits in their answers."""

    replica_count = 1

    def known_per_s(self) -> float | None:
        (replica,) = self.directory.of_service("service")
        return replica.rate_limit_per_s

    async def ask_with(self, reply: users_replica.Reply) -> None:
        self.replicas[0].signals = ((headers.RATE_LIMIT, "2.5"),)
        self.reply_with(reply)
        await self.ask(model.RouteKind.IDEMPOTENT)

    async def test_an_answer_states_a_limit(self):
        await self.ask_with(users_replica.Reply())
        self.assertEqual(self.known_per_s(), 2.5)

    async def test_a_refusal_states_a_limit(self):
        await self.ask_with(users_replica.Reply(status=503, not_run=True))
        self.assertEqual(self.known_per_s(), 2.5)

    async def test_an_answer_without_the_seal_states_nothing(self):
        await self.ask_with(users_replica.Reply(sealed=False))
        self.assertIsNone(self.known_per_s())

    async def test_an_answer_to_another_request_states_nothing(self):
        await self.ask_with(users_replica.Reply(answer_id="another"))
        self.assertIsNone(self.known_per_s())

    async def test_another_replica_at_the_address_states_nothing(self):
        self.replicas[0].replica_id = "successor"
        await self.ask_with(users_replica.Reply())
        self.assertIsNone(self.known_per_s())

    async def test_a_limit_ends_with_an_answer_without_it(self):
        await self.ask_with(users_replica.Reply())
        self.replicas[0].signals = ()
        await self.ask(model.RouteKind.IDEMPOTENT, request_id="request-2")
        self.assertIsNone(self.known_per_s())


if __name__ == "__main__":
    unittest.main()
