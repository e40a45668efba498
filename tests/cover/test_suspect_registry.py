"""Which requests are quarantined for crashing replicas."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from bench.models import crashing_requests
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.suspects import registry as registry_module

REQUEST = b"r" * 16
OTHER = b"o" * 16
SECOND = datetime.timedelta(seconds=1)
AGES_S = strategies.integers(min_value=0, max_value=200)
# A replica crashes once, so all instances record the same time for it.
CRASHES = strategies.builds(
    lambda replica_hash, begun: registry_module.ReplicaCrash(
        replica_hash=replica_hash, begun=begun, at=-20 * replica_hash * SECOND
    ),
    strategies.integers(min_value=1, max_value=registry_module.MAX_CRASHES),
    strategies.booleans(),
)
SUSPICIONS = strategies.builds(
    lambda crashes, cleared_s: registry_module.Suspicion(
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

    async def test_an_old_answer_gives_no_grace(self):
        """A request was answered by an older version and crashes each replica
        of the newer one.
        """
        self.registry.note_answered(REQUEST)
        await self.clock.advance(registry_module.ANSWER_GRACE + SECOND)
        self.crash(1, 2, 3)
        self.assertTrue(self.registry.is_quarantined(REQUEST))

    async def test_a_quarantine_expires(self):
        self.crash(1, 2, 3)
        await self.clock.advance(registry_module.SUSPICION_LIFETIME)
        self.assertFalse(self.registry.is_quarantined(REQUEST))

    async def test_the_most_suspect_are_kept_in_bounded_memory(self):
        self.crash(1, 2, 3)
        for number in range(2 * registry_module.MAX_SUSPECTS):
            self.crash(1, identity=b"%016d" % number)
        self.assertTrue(self.registry.is_quarantined(REQUEST))
        known = self.registry.most_suspect(10**6, age=SECOND)
        self.assertLessEqual(len(known), registry_module.MAX_SUSPECTS)


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
        await self.clock.advance(2 * registry_module.PROBE_DELAY)
        self.assertFalse(self.registry.try_probe(REQUEST))
        self.assertTrue(self.registry.is_quarantined(REQUEST))

    async def test_an_answered_probe_clears(self):
        self.crash(1, 2, 3)
        await self.clock.advance(registry_module.PROBE_DELAY)
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
