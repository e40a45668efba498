"""Elects the few members of a data centre that read for the others."""

import xxhash

from nutmeghook.internal.membership import members as members_module


def elected_readers(
    members: list[members_module.Member],
    *,
    data_centre: str,
    count: int,
    purpose: str,
) -> list[members_module.Member]:
    """Returns the members of a data centre that read for the others.

    Rendezvous hashing: each member is ranked by a hash of its address and the
    purpose, so a member that joins or leaves changes at most one reader, and
    different purposes get different members. Suspected and leaving members are
    elected only where there are too few others. While instances' member lists
    differ, there may be a reader too many or too few.

    Args:
        members: All members that this instance knows.
        data_centre: The readers' data centre.
        count: How many to return, if there are that many.
        purpose: What is read; the same text on all instances.

    Raises:
        ValueError: `count` is below 1.
    """
    if count < 1:
        raise ValueError(f"count is {count}; give 1 or more")
    local = [m for m in members if m.data_centre == data_centre]
    local.sort(key=lambda member: _rank(member, purpose))
    return local[:count]


def is_elected(
    view: members_module.MemberView, *, count: int, purpose: str
) -> bool:
    """Tells whether this instance is one of its data centre's readers."""
    elected = elected_readers(
        view.members(),
        data_centre=view.myself.data_centre,
        count=count,
        purpose=purpose,
    )
    address = view.myself.inner_address
    return any(member.inner_address == address for member in elected)


def _rank(member: members_module.Member, purpose: str) -> tuple[bool, int]:
    healthy = member.health is members_module.MemberHealth.ALIVE
    key = f"{purpose}\n{member.inner_address}".encode()
    return not healthy, xxhash.xxh3_64_intdigest(key)
