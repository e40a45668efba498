"""How a replica's load is read from its answers."""

import unittest

from nutmeghook.platform import headers


def read(text: str):
    """Returns the facts of an answer with this value of the header."""
    return headers.PlatformHeaders().read_answer(200, [(headers.LOAD, text)])


class LoadHeaderTest(unittest.TestCase):
    def test_a_load_with_a_work_time_is_read(self):
        """A fourth figure hid the three counts before it.

        No load was known of any replica that shares its machine.
        """
        load = read("3, 1,12,140").load
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 12))
        self.assertEqual(load.work_time_percent, 140.0)

    def test_a_load_without_a_work_time_is_read(self):
        load = read("3,1,12").load
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 12))

    def test_counts_beyond_any_replica_are_unreadable(self):
        """A count that doesn't fit a peer message ended the gossip of the
        instance that read it, and one of 5,000 digits failed the answer.
        """
        for text in ("3000000000,0,12", f"3,{'9' * 5000},12,140"):
            facts = read(text)
            self.assertIsNone(facts.load)
            self.assertEqual(len(facts.unreadable), 1)
