"""Router processes of trials: their ports and unexpected exits."""

import pathlib
import tempfile
import unittest

from nutmeghook.experiment import soak_trial
from nutmeghook.experiment import trial_routers

PORTS = 40
LOCAL_PORTS = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class PortsTest(unittest.TestCase):
    def test_no_port_is_an_ephemeral_one(self):
        """A router of a soak restarts after an outgoing connection has got the
        router's inner port as its ephemeral port. The router finds the address
        in use and exits, and the soak is aborted.
        """
        first_given = int(LOCAL_PORTS.read_text().split()[0])
        ports = [trial_routers.free_port() for _ in range(PORTS)]
        self.assertLess(max(ports), first_given)
        self.assertEqual(len({*ports}), PORTS)


class EndedRouterTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_unexpected_exit_is_reported(self):
        """A router exits unexpectedly before the soak pauses it. The signal to
        the dead process must not abort the soak; the exit is reported.
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
