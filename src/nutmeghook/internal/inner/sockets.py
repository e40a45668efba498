"""Options of the TCP sockets between instances."""

import asyncio
import datetime
import socket

_UNACKNOWLEDGED_LIMIT = datetime.timedelta(seconds=10)


def set_options(writer: asyncio.StreamWriter) -> None:
    """Makes the kernel give up a connection to a machine that is gone.

    Without it a peer that lost its power leaves the connection open for
    about a quarter of an hour of retransmissions, and each call on it runs
    into its timeout although the peer may have been replaced long since. A
    frozen process does not count: its kernel still acknowledges.
    """
    connection = writer.get_extra_info("socket")
    limit_ms = _UNACKNOWLEDGED_LIMIT // datetime.timedelta(milliseconds=1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
