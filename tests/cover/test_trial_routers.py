"""Routers of trials: their ports, and those that end by themselves."""

import pathlib
import tempfile
import unittest

from nutmeghook.experiment import soak_trial
from nutmeghook.experiment import trial_routers

PORTS = 40
LOCAL_PORTS = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class PortsTest(unittest.TestCase):
    def test_no_port_is_one_that_outgoing_connections_get(self):
        """A router of a soak ends and is started again. Meanwhile an outgoing
        connection has got its inner port from the system; the router finds
        the address in use and ends, and the soak breaks off.
        """
        first_given = int(LOCAL_PORTS.read_text().split()[0])
        ports = [trial_routers.free_port() for _ in range(PORTS)]
        self.assertLess(max(ports), first_given)
        self.assertEqual(len({*ports}), PORTS)


class EndedRouterTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_router_that_ended_by_itself_is_told(self):
        """A router ends by itself, and the soak goes on to freeze it. It is
        gone, and the soak broke off in place of telling so.
        """
        with tempfile.TemporaryDirectory() as folder:
            trial = soak_trial.SoakTrial(
                folder=pathlib.Path(folder), seed=1, routers=1
            )
            self.addAsyncCleanup(trial.end)
            await trial.start()
            (router,) = trial.routers
            router.process.kill()
            await router.process.wait()
            router.pause()
            router.resume()
            await router.kill()
            self.assertEqual(len(trial.unexpected_exits()), 1)


if __name__ == "__main__":
    unittest.main()
