"""Sets options of sockets where the system allows it; reads their errors."""

import asyncio
import datetime
import fcntl
import os
import socket
import struct
import termios

# `TCP_USER_TIMEOUT` also decides when keep-alive probes give up, whatever their
# count, so it is as long as the probes take. A peer may be silent for a second.
_KEEPALIVE_OPTIONS = (
    (socket.IPPROTO_TCP, "TCP_NODELAY", 1),
    (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPIDLE", 2),
    (socket.IPPROTO_TCP, "TCP_KEEPINTVL", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPCNT", 2),
    (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", 4000),
)
# A server that closes a connection with bytes of the request unread may send
# its end of file first, and the reset a few turns of its event loop later.
RESET_DELAY = datetime.timedelta(milliseconds=100)


def try_set(
    transport: asyncio.BaseTransport, level: int, name: str, value: int
) -> None:
    """Sets an option of a connection's socket; a failure is ignored.

    Some systems lack an option, and some refuse it once the peer has reset the
    connection. The connection works without it, or reports its own end.

    Args:
        transport: The connection.
        level: The option's protocol level.
        name: The option's name in the module `socket`.
        value: Its value.
    """
    raw = transport.get_extra_info("socket")
    option = getattr(socket, name, None)
    if raw is None or option is None:
        return
    try:
        raw.setsockopt(level, option, value)
    except OSError:
        return


def take_end_error(transport: asyncio.Transport) -> OSError | None:
    """Returns why an end of file completes nothing; None if it may.

    Where data and a reset arrive together, uvloop reports an end of file, as
    for a clean close. Only the socket still holds the error, which is cleared.

    A server that closes before it has received the whole request resets the
    connection, but its system may first send the end of file. If its system has
    received the request, only the reset tells, which comes within
    `RESET_DELAY`.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return None
    try:
        number = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as error:  # this process has closed it
        return error
    if number:
        return OSError(number, os.strerror(number))
    if is_still_sending(transport):
        return ConnectionAbortedError("closed before it had received all")
    return None


def is_still_sending(transport: asyncio.Transport) -> bool:
    """Tells whether the other system has not received all that was written."""
    return bool(
        transport.get_write_buffer_size() or unacknowledged_bytes(transport)
    )


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns how many written bytes the other system has not acknowledged.

    Those that the transport itself still holds are not counted.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return 0
    try:
        counted = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):  # it was closed
        return 0
    return struct.unpack("i", counted)[0]


def detect_lost_peer(transport: asyncio.BaseTransport) -> None:
    """Makes the system detect a peer that no longer acknowledges.

    A path that fails without a reset would leave the connection open for many
    minutes; with these limits it breaks a few seconds after the first
    unacknowledged byte.
    """
    for level, name, value in _KEEPALIVE_OPTIONS:
        try_set(transport, level, name, value)
