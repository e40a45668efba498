"""What a probe by a new connection shows of a silent replica."""

import asyncio
import datetime
import errno
import socket
import unittest
from unittest import mock

from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.replicas import signal_registry
from nutmeghook.internal.upstream import dialer
from nutmeghook.internal.upstream import sender as sender_module
from nutmeghook.platform import headers
from tests import platform_rows
from tests import relay_fixture

SECOND = relay_fixture.SECOND


class ConnectionsTest(relay_fixture.RelayCase):
    async def unreachable_by(self, error: OSError) -> tuple[bool, bool]:
        """Tells whether a replica counts as unreachable, and whether as
        ejected.
        """
        (replica, *_) = self.directory.of_service("service")
        sender = sender_module.Sender(
            gate=send_gate.OpenGate(),
            pool=self.pool,
            directory=self.directory,
            signals=signal_registry.SignalRegistry(
                directory=self.directory, clock=self.clock
            ),
            unreadable=platform_rows.unreadable_values(),
            cold_watch=mock.Mock(),
            wire_format=headers.PlatformHeaders(),
            clock=self.clock,
        )
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "create_connection", side_effect=error):
            is_unreachable = await sender.is_unreachable(replica)
        now = self.clock.monotonic()
        return is_unreachable, replica.health.is_ejected(now)

    async def test_a_local_shortage_says_nothing_of_a_replica(self):
        """This process has no file descriptor or port left for a connection, so
        no replica was probed. They must not count as unreachable, or all silent
        streams would move to other replicas at once.
        """
        for number in (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL):
            answer = await self.unreachable_by(OSError(number, "shortage"))
            self.assertEqual(answer, (False, False), number)

    async def test_a_connection_that_is_reset_at_once_is_no_fault_here(self):
        """A replica at its connection limit accepts and resets. By the time its
        options are to be set the connection is gone.
        """
        reset = await asyncio.start_server(
            lambda _, writer: writer.transport.abort(), "127.0.0.1", 0
        )
        host, port = reset.sockets[0].getsockname()[:2]
        dial = self.pool._connector._dialer.dial

        async def dial_slowly(address, factory):
            dialled = await dial(address, factory)
            await asyncio.sleep(0.05)
            return dialled

        with mock.patch.object(
            dialer.TcpDialer, "dial", side_effect=dial_slowly
        ):
            await self.pool.probe(f"{host}:{port}")
        reset.close()

    async def test_no_route_to_a_machine_makes_it_unreachable(self):
        """The network reports that there is no route to a replica's machine."""
        for number in (errno.EHOSTUNREACH, errno.ENETUNREACH):
            answer = await self.unreachable_by(OSError(number, "no way"))
            self.assertEqual(answer, (True, True), number)

    async def test_a_connection_that_nobody_acknowledges_breaks(self):
        """A replica's machine is gone, and another one at its address refuses
        connections, so the probe does not find it unreachable. Only the
        system's keep-alive and timeout end a stream that has begun: within 4 s.
        """
        connection = await self.pool.acquire(
            self.replicas[0].address, request_id="", max_idle_s=0.0
        )
        self.addCleanup(connection.abort)
        raw = connection.transport.get_extra_info("socket")
        self.assertTrue(raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))

        def option(name: int) -> int:
            return raw.getsockopt(socket.IPPROTO_TCP, name)

        unacknowledged = datetime.timedelta(
            milliseconds=option(socket.TCP_USER_TIMEOUT)
        )
        self.assertLessEqual(unacknowledged, 4 * SECOND)
        self.assertGreater(unacknowledged, datetime.timedelta())
        idle_s = option(socket.TCP_KEEPIDLE)
        checks_s = option(socket.TCP_KEEPINTVL) * option(socket.TCP_KEEPCNT)
        self.assertLessEqual(idle_s + checks_s, 4)


if __name__ == "__main__":
    unittest.main()
