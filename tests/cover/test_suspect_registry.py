"""Which requests are quarantined for crashing replicas."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from bench.models import crashing_requests
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.suspects import evidence
from nutmeghook.internal.suspects import probes
from nutmeghook.internal.suspects import registry as registry_module

REQUEST = b"r" * 16
OTHER = b"o" * 16
PART = b"p" * 16
OTHER_PART = b"q" * 16
COMMON = b"c" * 16
SECOND = datetime.timedelta(seconds=1)
AGES_S = strategies.integers(min_value=0, max_value=200)
# A replica crashes once, so all instances record the same time for it.
CRASHES = strategies.builds(
    lambda replica_hash, begun, sent_s: evidence.ReplicaCrash(
        replica_hash=replica_hash,
        begun=begun,
        at=-20 * replica_hash * SECOND,
        sent_at=None
        if sent_s is None
        else (-20 * replica_hash - sent_s) * SECOND,
    ),
    strategies.integers(min_value=1, max_value=evidence.MAX_CRASHES),
    strategies.booleans(),
    strategies.none() | strategies.integers(min_value=0, max_value=50),
)
SUSPICIONS = strategies.builds(
    lambda crashes, cleared_s: evidence.Suspicion(
        identity=REQUEST,
        crashes=tuple(
            {crash.replica_hash: crash for crash in crashes}.values()
        ),
        cleared_at=None if cleared_s is None else -cleared_s * SECOND,
    ),
    strategies.lists(CRASHES, max_size=4),
    strategies.none() | AGES_S,
)


class RegistryCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.sent = 0
        self.registry = registry_module.SuspectRegistry(clock=self.clock)

    def crash(self, *replicas: int, identity: bytes = REQUEST, begun=True):
        """Crashes replicas under a request."""
        for replica in replicas:
            self.registry.note_crash(
                identity, replica_hash=replica, begun=begun
            )


class QuarantineTest(RegistryCase):
    async def test_a_third_crash_quarantines(self):
        self.crash(1, 2, 2, 1)
        self.assertFalse(self.registry.is_quarantined(REQUEST))
        self.crash(3)
        self.assertTrue(self.registry.is_quarantined(REQUEST))

    async def test_a_crash_before_the_answer_began_counts_half(self):
        self.crash(1, 2, 3, 4, 5, begun=False)
        self.assertFalse(self.registry.is_quarantined(REQUEST))
        self.crash(5, begun=True)
        self.assertTrue(self.registry.is_quarantined(REQUEST))

    async def test_an_answer_clears(self):
        self.crash(1, 2)
        self.registry.note_answered(REQUEST)
        self.assertFalse(self.registry.is_suspect(REQUEST))

    async def test_a_recently_answered_request_is_no_suspect(self):
        """A rack loses power, and each of its replicas had a copy of a very
        common request. Without the grace time after an answer, this request
        would be refused for an hour.
        """
        self.registry.note_answered(REQUEST)
        self.crash(1, 2, 3)
        self.assertFalse(self.registry.is_quarantined(REQUEST))

    async def test_crashes_one_after_another_count_soon_after_an_answer(self):
        """A request that was answered until now crashes each replica that runs
        it, and was sent to some twenty more within half a minute.
        """
        self.registry.note_answered(REQUEST)
        for replica in range(3):
            await self.clock.advance(2.5 * SECOND)
            self.registry.note_crash(
                REQUEST,
                replica_hash=replica,
                begun=True,
                sent_at=self.clock.monotonic() - SECOND,
            )
        self.assertTrue(self.registry.is_quarantined(REQUEST))

    async def test_replicas_lost_together_after_an_answer_count_as_one(self):
        self.registry.note_answered(REQUEST)
        await self.clock.advance(SECOND)
        sent_at = self.clock.monotonic()
        for replica in range(6):
            await self.clock.advance(SECOND / 10)
            self.registry.note_crash(
                REQUEST, replica_hash=replica, begun=True, sent_at=sent_at
            )
        self.assertFalse(self.registry.is_quarantined(REQUEST))

    async def test_a_common_request_is_sound_beside_one_that_crashes(self):
        """Another request crashed replica after replica within a second, and
        the common one, lost with each of them, was quarantined as well.
        """
        self.registry.note_answered(REQUEST)
        for replica in range(6):
            await self.clock.advance(SECOND / 6)
            self.registry.note_crash(
                REQUEST,
                replica_hash=replica,
                begun=True,
                sent_at=self.clock.monotonic() - SECOND / 20,
            )
        self.assertFalse(self.registry.is_quarantined(REQUEST))

    async def test_an_old_answer_gives_no_grace(self):
        """A request was answered by an older version and crashes each replica
        of the newer one.
        """
        self.registry.note_answered(REQUEST)
        await self.clock.advance(evidence.ANSWER_GRACE + SECOND)
        self.crash(1, 2, 3)
        self.assertTrue(self.registry.is_quarantined(REQUEST))

    async def test_a_quarantine_expires(self):
        self.crash(1, 2, 3)
        await self.clock.advance(probes.SUSPICION_LIFETIME)
        self.assertFalse(self.registry.is_quarantined(REQUEST))

    async def test_the_most_suspect_are_kept_in_bounded_memory(self):
        self.crash(1, 2, 3)
        for number in range(2 * registry_module.MAX_SUSPECTS):
            self.crash(1, identity=b"%016d" % number)
        self.assertTrue(self.registry.is_quarantined(REQUEST))
        known = self.registry.most_suspect(10**6, age=SECOND)
        self.assertLessEqual(len(known), registry_module.MAX_SUSPECTS)


class PartsTest(RegistryCase):
    def crash_with(self, *replicas: int, parts: tuple[bytes, ...] = (PART,)):
        """Crashes replicas, each under another request with these parts."""
        for replica in replicas:
            self.sent += 1
            self.registry.note_crash(
                b"%016d" % self.sent,
                replica_hash=replica,
                begun=True,
                parts=parts,
            )

    def is_stopped(self, *parts: bytes) -> bool:
        """Tells whether a request that was never seen is quarantined."""
        return self.registry.is_quarantined(OTHER, parts)

    async def test_a_third_crash_under_different_requests_stops_a_part(self):
        self.crash_with(1, 2)
        self.assertFalse(self.is_stopped(PART))
        self.crash_with(3)
        self.assertTrue(self.is_stopped(PART))

    async def test_one_request_incriminates_none_of_its_parts(self):
        """A single request crashes replicas, and all others that share its
        parts are sound.
        """
        for replica in range(5):
            self.registry.note_crash(
                REQUEST, replica_hash=replica, begun=True, parts=(PART,)
            )
        self.assertFalse(self.is_stopped(PART))

    async def test_crashes_of_one_request_incriminate_no_common_part(self):
        """The attempts of one request crash replicas, and with them end others
        that share a part with it.
        """
        for replica in range(3):
            self.registry.note_crash(
                REQUEST,
                replica_hash=replica,
                begun=True,
                parts=(COMMON, PART),
            )
            self.crash_with(replica, parts=(COMMON,))
        self.assertFalse(self.is_stopped(COMMON))
        self.crash_with(3, parts=(COMMON, PART))
        self.assertFalse(self.is_stopped(COMMON))
        self.assertTrue(self.is_stopped(PART))

    async def test_crashes_that_count_nothing_excuse_no_part(self):
        """A common request is lost with every replica that a part crashes.
        Three of the crashes were held against it, and all explained the part.
        """
        self.registry.note_answered(REQUEST)
        for replica in range(6):
            await self.clock.advance(SECOND)
            self.registry.note_crash(
                REQUEST,
                replica_hash=replica,
                begun=True,
                sent_at=self.clock.monotonic() - SECOND / 10,
            )
            self.crash_with(replica, parts=(PART,))
        self.assertTrue(self.is_stopped(PART))

    async def test_a_part_that_all_requests_have_is_not_held_to_be_bad(self):
        for replica in range(4):
            self.crash_with(replica, parts=(COMMON, PART))
            self.crash_with(replica, parts=(COMMON,))
        self.assertFalse(self.is_stopped(COMMON))
        self.assertTrue(self.is_stopped(COMMON, PART))

    async def test_parts_that_crash_the_same_replicas_are_all_stopped(self):
        """Requests with either part reach each replica that comes up. One of
        them explains all its crashes until the other goes on alone.
        """
        for replica in range(3):
            self.crash_with(replica, parts=(PART,))
            self.crash_with(replica, parts=(OTHER_PART,))
        stopped = [p for p in (PART, OTHER_PART) if self.is_stopped(p)]
        self.assertEqual(len(stopped), 1)
        (left,) = {PART, OTHER_PART} - set(stopped)
        self.crash_with(3, parts=(left,))
        self.assertTrue(self.is_stopped(left))

    async def test_a_part_answered_lately_is_not_stopped_by_an_outage(self):
        self.registry.note_answered(REQUEST, (PART,))
        self.crash_with(1, 2, 3)
        self.assertFalse(self.is_stopped(PART))

    async def test_crashes_long_after_the_beginning_weigh_less(self):
        """Replicas crash by themselves while they answer sound requests."""
        for number in range(3):
            self.registry.note_crash(
                b"%016d" % number,
                replica_hash=number,
                begun=True,
                begun_for=2 * SECOND,
                parts=(PART,),
            )
        self.assertFalse(self.is_stopped(PART))

    async def test_a_sound_part_is_soon_probed_by_a_sound_request(self):
        """A part is stopped together with the one that is to blame. The probe
        must not be spent on a request that has both.
        """
        self.crash_with(1, 2, 3, parts=(PART,))
        self.crash_with(1, 2, 3, 4, parts=(OTHER_PART,))
        self.assertTrue(self.is_stopped(PART))
        await self.clock.advance(probes.PART_PROBE_DELAYS[0])
        both = (PART, OTHER_PART)
        self.assertFalse(self.registry.try_probe(OTHER, both))
        self.assertTrue(self.registry.try_probe(OTHER, (OTHER_PART,)))
        self.registry.note_answered(OTHER, (OTHER_PART,))
        self.assertFalse(self.is_stopped(OTHER_PART))
        self.assertTrue(self.is_stopped(PART))

    async def test_a_crashing_part_is_probed_twice(self):
        self.crash_with(1, 2, 3)
        probed = 0
        for replica in range(10, 200):
            await self.clock.advance(10 * SECOND)
            if self.registry.try_probe(OTHER, (PART,)):
                probed += 1
                self.crash_with(replica)
        self.assertEqual(probed, len(probes.PART_PROBE_DELAYS))

    async def test_instances_probe_one_after_another(self):
        """Requests with a part come to all instances at any time, so all would
        send a probe before one's probe is known to the others.
        """
        due_s = []
        for rank in (0.1, 0.2, 0.8):
            registry = registry_module.SuspectRegistry(
                clock=self.clock, probe_rank=rank
            )
            self.registry = registry
            self.crash_with(1, 2, 3)
            due_s.append(registry.refused_for(OTHER, (PART,)).total_seconds())
        self.assertGreater(due_s[1] - due_s[0], 0.3)
        self.assertGreater(due_s[2] - due_s[1], 0.3)


class ProbeTest(RegistryCase):
    async def test_there_is_one_probe_after_a_delay(self):
        """An innocent request was beside others that crashed three replicas.
        Without a probe it is refused for an hour; with one each minute, a
        request that does crash replicas ends sixty more.
        """
        self.crash(1, 2, 3)
        self.assertFalse(self.registry.try_probe(REQUEST))
        await self.clock.advance(self.registry.refused_for(REQUEST))
        self.assertTrue(self.registry.try_probe(REQUEST))
        self.assertFalse(self.registry.try_probe(REQUEST))
        self.crash(4)
        await self.clock.advance(2 * probes.PROBE_DELAY)
        self.assertFalse(self.registry.try_probe(REQUEST))
        self.assertTrue(self.registry.is_quarantined(REQUEST))

    async def test_an_answered_probe_clears(self):
        self.crash(1, 2, 3)
        await self.clock.advance(probes.PROBE_DELAY)
        self.assertTrue(self.registry.try_probe(REQUEST))
        self.registry.note_answered(REQUEST)
        self.assertFalse(self.registry.is_quarantined(REQUEST))


class MergeTest(unittest.TestCase):
    @hypothesis.given(
        received=strategies.lists(SUSPICIONS, max_size=6),
        order=strategies.randoms(use_true_random=False),
    )
    def test_the_order_of_messages_does_not_matter(self, received, order):
        registries = []
        for _ in range(2):
            registry = registry_module.SuspectRegistry(
                clock=clock_module.FakeClock()
            )
            for suspicion in received:
                registry.merge(suspicion)
            registries.append(registry)
            received = order.sample(received, len(received)) + received[:1]
        known = [
            registry.most_suspect(1, age=200 * SECOND)
            for registry in registries
        ]
        replicas = [
            {
                (crash.replica_hash, crash.begun)
                for s in k
                for crash in s.crashes
            }
            for k in known
        ]
        self.assertEqual(*replicas)

    @hypothesis.given(received=strategies.lists(SUSPICIONS, max_size=6))
    def test_instances_with_equal_state_send_no_updates(self, received):
        one, other = (
            registry_module.SuspectRegistry(clock=clock_module.FakeClock())
            for _ in range(2)
        )
        for suspicion in received:
            one.merge(suspicion)
        for _ in range(3):
            for sender, receiver in ((one, other), (other, one)):
                for suspicion in sender.take_updates(100):
                    receiver.merge(suspicion)
        self.assertEqual(one.take_updates(100) + other.take_updates(100), [])


class HistoriesTest(unittest.TestCase):
    """Simulated days of a pool, some of whose requests crash replicas."""

    SIMULATIONS = 6

    def simulate(self, **parameters) -> list[crashing_requests.Outcome]:
        """Simulates days that differ by their seed only."""
        scenario = crashing_requests.Scenario(duration_s=20.0, **parameters)
        return [
            crashing_requests.Pool(scenario=scenario, seed=seed).run()
            for seed in range(self.SIMULATIONS)
        ]

    def test_one_crashing_request_ends_three_replicas(self):
        """A request crashes a replica beside some twenty others, which are all
        retried at other replicas. Of all innocent requests of the day at most
        one in five hundred may be quarantined.
        """
        outcomes = self.simulate(crashing_requests=1, copies=1)
        for outcome in outcomes:
            self.assertEqual(outcome.crashes, 3)
        self.assert_few_quarantined(outcomes)

    def test_several_crashing_requests_are_each_stopped(self):
        for outcome in self.simulate(crashing_requests=3, copies=2):
            self.assertLessEqual(outcome.max_late_sends, 3)

    def test_different_requests_with_a_crashing_part_are_stopped(self):
        for rate_per_s in (0.5, 4.0, 30.0):
            outcomes = self.simulate(
                crashing_requests=0,
                crashing_parts=2,
                part_rate_per_s=rate_per_s,
                parts_from_s=5.0,
            )
            for outcome in outcomes:
                self.assertLessEqual(outcome.max_late_sends, 3)

    def test_outages_quarantine_few_requests(self):
        """Half of the replicas lose power, three times, and no request is the
        cause.
        """
        self.assert_few_quarantined(
            self.simulate(crashing_requests=0, outages=3)
        )

    def assert_few_quarantined(
        self, outcomes: list[crashing_requests.Outcome]
    ) -> None:
        """Checks the share of innocent requests quarantined over all days."""
        quarantined = sum(outcome.wrongly_quarantined for outcome in outcomes)
        others = sum(outcome.ordinary_requests for outcome in outcomes)
        self.assertLessEqual(quarantined, others / 500)


if __name__ == "__main__":
    unittest.main()
