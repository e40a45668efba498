"""Where stand-ins listen, so that trials side by side don't meet."""

import subprocess
import sys
import unittest

from nutmeghook.standins import loopback_host
from nutmeghook.standins import users_replica

_PRINT_HOST = (
    "from nutmeghook.standins import loopback_host;"
    "print(loopback_host.own_host())"
)


class LoopbackHostTest(unittest.IsolatedAsyncioTestCase):
    async def test_two_trials_never_share_an_address(self):
        """A replica of one trial ends and its port goes to another trial's.
        Routers that still call it are heard by the stranger, whose trial then
        reports requests that nobody sent.
        """
        replica = users_replica.StandInReplica(replica_id="id-1")
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        other = subprocess.run(
            [sys.executable, "-c", _PRINT_HOST],
            capture_output=True,
            text=True,
            check=True,
        )
        host = replica.address.rpartition(":")[0]
        self.assertEqual(host, loopback_host.own_host())
        self.assertNotIn(other.stdout.strip(), (host, "127.0.0.1"))


if __name__ == "__main__":
    unittest.main()
