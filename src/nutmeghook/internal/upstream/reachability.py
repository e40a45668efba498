"""How a replica responds to an attempt to connect."""

import enum
import errno

# Shortages of this process or machine: no connection was attempted.
_LOCAL_SHORTAGES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS}
)


class Reachability(enum.Enum):
    """How a replica responds to a new connection.

    Attributes:
        ACCEPTS: It accepts the connection.
        BYPASSED: It accepts a connection from a peer, and none from here.
        REFUSES: It refuses the connection.
        DARK: It does not respond: it is unreachable.
        NOT_ASKED: This side lacked the resources to try, or its own path may
            be at fault and no peer could tell.
    """

    ACCEPTS = "accepts"
    BYPASSED = "bypassed"
    REFUSES = "refuses"
    DARK = "dark"
    NOT_ASKED = "not asked"


def of_error(error: OSError | TimeoutError) -> Reachability:
    """Returns what a failed attempt to connect shows of a replica."""
    if isinstance(error, ConnectionError):
        return Reachability.REFUSES
    if error.errno in _LOCAL_SHORTAGES:
        return Reachability.NOT_ASKED
    return Reachability.DARK
