"""Instances that tell each other under which requests replicas have ended."""

import datetime
import random
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.suspects import book as book_module
from nutmeghook.internal.suspects import gossip as gossip_module
from tests import lossy_datagrams

SEAL = datagrams.Seal(credential="shared")
REQUEST = b"r" * 16
SECOND = datetime.timedelta(seconds=1)
SMALL, LARGE = 7, 420
# Within this an instance that comes back has to know.
KNOWN_WITHIN_S = 3.0


class Instance:
    """One instance's book and gossip."""

    def __init__(self, *, number: int, fleet: "Fleet"):
        self._fleet = fleet
        self._draw = random.Random(number)
        self.address = f"10.0.{number // 250}.{number % 250}:7340"
        self.book = book_module.SuspectBook(clock=fleet.clock)
        self.post = lossy_datagrams.LossyDatagrams(
            receivers=fleet.receivers, own=self.address
        )
        self.gossip = gossip_module.SuspectGossip(
            book=self.book,
            messages=sealed_messages.SealedMessages(
                datagrams=self.post, seal=SEAL
            ),
            audience=self._audience,
            clock=fleet.clock,
            random_source=self._draw,
        )

    def _audience(self, *, local: int, remote: float) -> list[str]:
        others = [i for i in self._fleet.instances if i is not self]
        told = self._draw.sample(
            others, min(len(others), local + round(remote))
        )
        return [other.address for other in told]


class Fleet:
    """Instances that reach each other."""

    def __init__(self, *, size: int):
        self.clock = clock_module.FakeClock()
        self.receivers = {}
        self.instances: list[Instance] = []
        for _ in range(size):
            self.join()

    def join(self) -> Instance:
        """Starts one more instance."""
        instance = Instance(number=len(self.instances), fleet=self)
        self.instances.append(instance)
        return instance

    def tell_until_all_is_told(self) -> int:
        """Lets news spread; returns in how many rounds it did."""
        rounds = 0
        while any(i.book.news.is_set() for i in self.instances):
            rounds += 1
            for instance in self.instances:
                instance.gossip.tell_news()
        return rounds

    def knowing(self) -> int:
        """Returns how many instances send the request nowhere."""
        return sum(i.book.is_quarantined(REQUEST) for i in self.instances)


class SuspectGossipTest(unittest.IsolatedAsyncioTestCase):
    def ended_at_three(self, fleet: Fleet) -> None:
        """Has three instances see one replica's end each."""
        for number, instance in enumerate(fleet.instances[:3]):
            instance.book.note_end(REQUEST, replica_hash=number, begun=True)

    async def test_what_three_saw_a_third_of_all_know(self):
        """Copies of a request come to three instances, and end a replica at
        each. None has seen more than one end, and the next copy comes to a
        fourth.
        """
        fleet = Fleet(size=SMALL)
        self.ended_at_three(fleet)
        fleet.tell_until_all_is_told()
        self.assertEqual(fleet.knowing(), SMALL)

    async def test_news_reaches_a_large_fleet_and_stops(self):
        fleet = Fleet(size=LARGE)
        self.ended_at_three(fleet)
        self.assertLess(fleet.tell_until_all_is_told(), 10)
        self.assertGreaterEqual(fleet.knowing(), 0.99 * LARGE)

    async def test_one_that_starts_later_is_reminded(self):
        fleet = Fleet(size=SMALL)
        self.ended_at_three(fleet)
        fleet.tell_until_all_is_told()
        late = fleet.join()
        passed_s = 0.0
        while not late.book.is_quarantined(REQUEST):
            for instance in fleet.instances:
                instance.gossip.remind()
            passed_s += gossip_module.REPEAT_EVERY.total_seconds()
        self.assertLessEqual(passed_s, KNOWN_WITHIN_S)

    async def test_one_whose_word_was_lost_is_heard_later(self):
        fleet = Fleet(size=SMALL)
        silent = fleet.instances[0]
        silent.post.loses = True
        self.ended_at_three(fleet)
        fleet.tell_until_all_is_told()
        self.assertLessEqual(fleet.knowing(), 1)
        silent.post.loses = False
        while fleet.knowing() < SMALL:
            silent.gossip.remind()
            fleet.tell_until_all_is_told()

    async def test_an_answer_anywhere_clears_it_everywhere(self):
        """A request was beside others under which replicas ended, and is then
        answered at another instance. One that missed the word of that still
        holds the ends against it, and must not bring them back to the rest.
        """
        fleet = Fleet(size=SMALL)
        self.ended_at_three(fleet)
        fleet.tell_until_all_is_told()
        missed = fleet.instances[-1]
        others = fleet.instances[:-1]
        fleet.instances.remove(missed)
        others[0].book.note_answered(REQUEST)
        fleet.tell_until_all_is_told()
        self.assertEqual(fleet.knowing(), 0)
        fleet.instances.append(missed)
        missed.gossip.remind()
        fleet.tell_until_all_is_told()
        self.assertEqual(fleet.knowing(), 0)

    async def test_a_trial_at_one_is_known_to_all(self):
        fleet = Fleet(size=SMALL)
        self.ended_at_three(fleet)
        fleet.tell_until_all_is_told()
        await fleet.clock.advance(book_module.TRIAL_AFTER + SECOND)
        self.assertTrue(fleet.instances[0].book.try_trial(REQUEST))
        fleet.tell_until_all_is_told()
        tried = [i.book.try_trial(REQUEST) for i in fleet.instances]
        self.assertFalse(any(tried))

    async def test_the_fullest_message_fits_into_a_datagram(self):
        sent = []
        fleet = Fleet(size=2)
        teller = fleet.instances[0]
        teller.post.send = lambda address, data: sent.append(data)
        for number in range(gossip_module.MOST_TOLD):
            identity = b"%016d" % number
            for replica in range(book_module.MOST_ENDS):
                teller.book.note_end(
                    identity, replica_hash=2**31 - 1 - replica, begun=True
                )
            await fleet.clock.advance(book_module.TRIAL_AFTER)
            teller.book.try_trial(identity)
        await fleet.clock.advance(book_module.KEPT_FOR / 2)
        teller.gossip.remind()
        (data,) = sent
        self.assertLessEqual(len(data), datagrams.MAX_DATAGRAM_BYTES)
        message = codec.decode(SEAL.unwrap(data)).message
        self.assertEqual(len(message.suspects), gossip_module.MOST_TOLD)


if __name__ == "__main__":
    unittest.main()
