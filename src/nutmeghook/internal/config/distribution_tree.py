"""Who reads the store for a data centre, and whom each instance asks.

The instances of a data centre are ranked by a hash. The first two read the
store. Each other one asks the instance above it in a tree of fan-out seven,
so that 47 instances are at most two steps from a reader, and no instance
answers more than seven others.
"""

from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import readers as readers_module

PURPOSE = "configuration"
READERS = 2
FAN_OUT = 7


def ranked(
    members: list[members_module.Member], data_centre: str
) -> list[members_module.Member]:
    """Returns a data centre's members by rank, doubtful ones last.

    All instances with the same members agree on the ranks. Where they differ
    for a moment there are a few readers more or less, which costs reads or
    time and harms nothing.
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
    """Returns whom this instance asks; None for a reader."""
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
