"""Concurrent test processes use different addresses for their stand-ins."""

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
        """If two processes shared an address, a port that one released could
        be reused by the other, which would then receive requests of the
        first's routers.
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
