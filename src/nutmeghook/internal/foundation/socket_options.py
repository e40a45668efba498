"""Sets options of sockets where the system allows it."""

import asyncio
import socket


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
