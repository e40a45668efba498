"""The loopback address that a process's stand-ins listen on."""

import os

_FIRST_BYTE = 127


def own_host() -> str:
    """Returns an address of 127.0.0.0/8 that other processes don't use.

    The failure: a trial ends, or replaces a replica, and its port is given to
    another trial on the machine. What still calls the old address then reaches
    a stranger, which sees requests that nobody in its trial sent. With an
    address for each process, a port that is used again is its own.
    """
    number = os.getpid() + 1
    # 127.0.0.1 is what programs that know nothing of this use; a process id
    # has at most 22 bits, so the second byte stays under 65 and never is 0.
    second = 1 + (number >> 16)
    return f"{_FIRST_BYTE}.{second}.{number >> 8 & 0xFF}.{number & 0xFF}"
