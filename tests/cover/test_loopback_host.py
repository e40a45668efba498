"""Where stand-ins listen, so that trials side by side don't meet."""

import asyncio
import sys
import unittest

from nutmeghook.standins import loopback_host
from nutmeghook.standins import users_replica

_PRINT_HOST = (
    "from nutmeghook.standins import loopback_host;"
    "print(loopback_host.own_host())"
)


class LoopbackHostTest(unittest.IsolatedAsyncioTestCase):
    async def test_processes_never_share_an_address(self):
        """A replica of one trial ends and its port goes to another trial's.
        Routers that still call it are heard by the stranger, whose trial then
        reports requests that nobody sent.
        """
        replica = users_replica.StandInReplica(replica_id="id-1")
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        other = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            _PRINT_HOST,
            stdout=asyncio.subprocess.PIPE,
        )
        printed, _ = await other.communicate()
        host = replica.address.rpartition(":")[0]
        self.assertEqual(host, loopback_host.own_host())
        self.assertNotIn(printed.decode().strip(), (host, "127.0.0.1"))


if __name__ == "__main__":
    unittest.main()
