"""One-way messages on the connections for calls."""

import datetime
import random
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peer_messages
from nutmeghook.internal.inner import peers
from nutmeghook.internal.suspects import book as book_module
from nutmeghook.internal.suspects import gossip as gossip_module

ADDRESSES = tuple(f"10.0.0.{number}:7000" for number in range(1, 4))
REQUEST = b"r" * 16
SECOND = datetime.timedelta(seconds=1)


class PeerMessagesTest(unittest.IsolatedAsyncioTestCase):
    """Three instances exchange suspects by gossip."""

    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.network = local.LocalNetwork(clock=self.clock)
        self.books = []
        self.gossips = []
        for address in ADDRESSES:
            handlers = peers.PeerHandlers()
            caller = self.network.attach(address, handlers)
            book = book_module.SuspectBook(clock=self.clock)
            self.books.append(book)
            self.gossips.append(self._gossip(address, book, caller, handlers))

    def _gossip(self, address, book, caller, handlers):
        others = [other for other in ADDRESSES if other != address]
        return gossip_module.SuspectGossip(
            book=book,
            messages=peer_messages.PeerMessages(
                caller=caller, handlers=handlers
            ),
            audience=lambda *, local, remote: others,
            clock=self.clock,
            random_source=random.Random(1),
        )

    def knowing(self) -> int:
        """Returns how many instances have the request in quarantine."""
        return sum(book.is_quarantined(REQUEST) for book in self.books)

    async def test_each_end_is_known_to_all(self):
        for number, book in enumerate(self.books):
            book.note_end(REQUEST, replica_hash=number, begun=True)
        for gossip in self.gossips:
            gossip.tell_news()
        await self.clock.advance(SECOND)
        self.assertEqual(self.knowing(), len(self.books))

    async def test_one_that_is_cut_off_is_updated_once_it_is_back(self):
        self.network.cut_both_ways(ADDRESSES[0], ADDRESSES[2])
        for replica in range(3):
            self.books[0].note_end(REQUEST, replica_hash=replica, begun=True)
        self.gossips[0].tell_news()
        await self.clock.advance(2 * SECOND)
        self.assertEqual(self.knowing(), 2)
        self.network.heal_all()
        self.gossips[0].remind()
        await self.clock.advance(SECOND)
        self.assertEqual(self.knowing(), 3)


if __name__ == "__main__":
    unittest.main()
