"""The tree along which a data centre's instances get the configuration.

The instances of a data centre are ranked by a rendezvous hash. The first two
read the store. Each other one queries its parent in a tree of fan-out seven, so
that 47 instances are at most two hops from a reader, and no instance serves
more than seven others.
"""

from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import readers as readers_module

PURPOSE = "configuration"
READERS = 2
FAN_OUT = 7


def ranked(
    members: list[members_module.Member], data_centre: str
) -> list[members_module.Member]:
    """Returns a data centre's members by rank, unhealthy ones last.

    All instances with the same member list compute the same ranks. While their
    lists differ there are a few readers too many or too few, which costs only
    reads or delay.
    """
    return readers_module.elected_readers(
        members,
        data_centre=data_centre,
        count=max(1, len(members)),
        purpose=PURPOSE,
    )


def is_reader(view: members_module.MemberView) -> bool:
    """Tells whether this instance reads the store for its data centre."""
    return _position(view) < READERS


def readers(
    members: list[members_module.Member], data_centre: str
) -> list[members_module.Member]:
    """Returns the readers of a data centre."""
    return ranked(members, data_centre)[:READERS]


def parent(
    view: members_module.MemberView,
) -> members_module.Member | None:
    """Returns the member that this instance queries; None for a reader."""
    position = _position(view)
    if position < READERS:
        return None
    order = ranked(view.members(), view.myself.data_centre)
    return order[(position - READERS) // FAN_OUT]


def data_centres(members: list[members_module.Member]) -> list[str]:
    """Returns the names of all data centres that have members."""
    return sorted({member.data_centre for member in members})


def _position(view: members_module.MemberView) -> int:
    order = ranked(view.members(), view.myself.data_centre)
    for position, member in enumerate(order):
        if member.inner_address == view.myself.inner_address:
            return position
    return len(order)
