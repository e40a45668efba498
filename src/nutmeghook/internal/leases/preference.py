"""Which members should hold a lease, by rendezvous hashing.

Each member computes the same order from the same member list. Leases spread
evenly, and a member that joins or leaves moves only its own share.
"""

import functools

import xxhash

from nutmeghook.internal.membership import members

# Only this many members poll a lease's row; all of them would cost the store
# leases x instances reads. The others move up as members before them die.
CANDIDATES = 3


def rank_of_myself(lease_name: str, view: members.MemberView) -> int | None:
    """Returns this instance's rank for a lease, 0 being preferred.

    None if it is no candidate: ranked too low, or leaving.
    """
    order = candidates(lease_name, view)
    for rank, member in enumerate(order):
        if member.incarnation == view.myself.incarnation:
            return rank
    return None


def candidates(
    lease_name: str, view: members.MemberView
) -> list[members.Member]:
    """Returns the members that contend for a lease, preferred first."""
    eligible = {
        member.incarnation: member
        for member in view.members()
        if member.health is members.MemberHealth.ALIVE
    }
    return [
        eligible[name] for name in _top_candidates(lease_name, tuple(eligible))
    ]


# Cached, because every keeper calls it each second, and with 420 members
# sorting for 16 leases would take half a per cent of a core. Sized for 64
# partitions, the other leases, and the orders before and after a membership
# change: with 64 entries, 67 leases looked up in turn would never hit it.
@functools.lru_cache(maxsize=256)
def _top_candidates(
    lease_name: str, incarnations: tuple[str, ...]
) -> tuple[str, ...]:
    ordered = sorted(
        incarnations,
        key=lambda incarnation: xxhash.xxh3_64_intdigest(
            f"{lease_name}\n{incarnation}".encode()
        ),
        reverse=True,
    )
    return tuple(ordered[:CANDIDATES])
