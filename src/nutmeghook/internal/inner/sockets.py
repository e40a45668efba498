"""Options of the TCP sockets between instances."""

import asyncio
import datetime
import socket

_UNACKNOWLEDGED_LIMIT = datetime.timedelta(seconds=10)


def set_options(writer: asyncio.StreamWriter) -> None:
    """Makes the kernel close a connection to a machine that is gone.

    Without it the connection to a peer that lost power stays open for about a
    quarter of an hour of retransmissions, and each call on it times out though
    the peer may long have been replaced. A frozen process is not affected: its
    kernel still acknowledges.
    """
    connection = writer.get_extra_info("socket")
    limit_ms = _UNACKNOWLEDGED_LIMIT // datetime.timedelta(milliseconds=1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
