"""The stand-in replica records callers that disconnect."""

import asyncio
import unittest

from nutmeghook.platform import headers
from nutmeghook.standins import users_replica


class AbandonedRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_reset_connection_counts_as_abandoned(self):
        """A router that closes a connection with unread data resets it, so the
        replica gets a reset instead of an end of file. If only the latter
        counted, tests that wait for the event would hang on a busy machine.
        """
        for reply in (
            users_replica.Reply(silent=True),
            users_replica.Reply(events=tuple(range(1000)), pause_s=0.01),
        ):
            with self.subTest(reply=reply):
                replica = users_replica.StandInReplica(replica_id="id-1")
                replica.reply_from([reply])
                await replica.start()
                await self.reset_during_the_response(replica)
                async with asyncio.timeout(20):
                    await replica.request_abandoned.wait()
                self.assertEqual(replica.abandoned, ["gone"])
                await replica.stop()

    async def reset_during_the_response(self, replica) -> None:
        """Sends a request, and resets the connection once it was received."""
        host, _, port = replica.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /x HTTP/1.1\r\n{headers.REQUEST_ID}: gone\r\n"
            f"{headers.EXPECTED_REPLICA}: id-1\r\n\r\n".encode()
        )
        await replica.request_received.wait()
        users_replica.close_connection(writer, reset=True)


if __name__ == "__main__":
    unittest.main()
