"""Numbers of what became of a tunnel that a peer was asked for."""

import enum


class TunnelOutcome(enum.IntEnum):
    """What the peer replies.

    Attributes:
        OPEN: The connection carries the replica's bytes from now on.
        REFUSED: The replica refuses connections from the peer, too.
        DARK: The replica does not respond to the peer, either.
        UNABLE: The peer can't tell: it is cut off itself, leaving or has too
            many tunnels, or does not list the replica.
    """

    OPEN = 0
    REFUSED = 1
    DARK = 2
    UNABLE = 3
