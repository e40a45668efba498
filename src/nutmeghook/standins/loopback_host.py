"""The loopback address on which a process's stand-ins listen."""

import os

_FIRST_BYTE = 127


def own_host() -> str:
    """Returns an address of 127.0.0.0/8 that other processes do not use.

    If all processes shared one address, a port that a test has released could
    be reused by another test on the same machine, whose stand-ins would then
    receive requests of clients that still call the old address. With one
    address per process, a port is reused only within its process.
    """
    number = os.getpid() + 1
    # The second byte is never 0, because 127.0.0.1 is what other programs
    # use. It stays under 65, because a process id has at most 22 bits.
    second = 1 + (number >> 16)
    return f"{_FIRST_BYTE}.{second}.{number >> 8 & 0xFF}.{number & 0xFF}"
