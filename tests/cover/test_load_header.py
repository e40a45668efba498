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
