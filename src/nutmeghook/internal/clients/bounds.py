"""Shares of an instance's memory and descriptors for its clients."""

import msgspec

_MEGABYTE = 1_000_000
# Files, and the sockets that an instance can't work without.
_RESERVED_DESCRIPTORS = 200
# The rest of the sockets is for replicas, the store and tunnels.
_CALLERS_SHARE = 0.5
_PEERS_SHARE = 0.35
_MAX_PEERS = 1024
_MAX_STRANGERS = 64
# Beside what requests hold (`relay/held_bytes`).
_CALLERS_MEMORY_SHARE = 1 / 8
# A port that is asked once a second or less.
PORT_CONNECTIONS = 16
PORT_BYTES = 1_000_000


class ClientBounds(msgspec.Struct, frozen=True, kw_only=True):
    """What the clients of an instance may take.

    Attributes:
        callers: Callers' connections.
        callers_bytes: What is held for them before requests are handled.
        peers: Other instances' connections.
        strangers: Of these, connections that have not presented the credential.
    """

    callers: int
    callers_bytes: int
    peers: int
    strangers: int


def bounds_for(*, memory_mb: float, max_descriptors: int) -> ClientBounds:
    """Returns the bounds of an instance with so much memory and descriptors."""
    sockets = max(max_descriptors - _RESERVED_DESCRIPTORS, max_descriptors // 4)
    peers = min(_MAX_PEERS, int(sockets * _PEERS_SHARE))
    return ClientBounds(
        callers=int(sockets * _CALLERS_SHARE),
        callers_bytes=int(memory_mb * _MEGABYTE * _CALLERS_MEMORY_SHARE),
        peers=peers,
        strangers=min(_MAX_STRANGERS, peers // 2),
    )
