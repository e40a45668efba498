"""Claims about a member's state, and their validation on receipt."""

import dataclasses

from nutmeghook.internal.inner import addresses
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.membership import members as members_module


class BadClaimError(ValueError):
    """A received state with a missing or invalid field."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Claim:
    """A member's state at one of its incarnation numbers, as in SWIM.

    Only the member itself raises its number. A claim with a higher number
    overrides all claims with lower ones.
    """

    member: members_module.Member
    number: int

    @property
    def order(self) -> tuple[int, str, members_module.MemberHealth]:
        """Sort key: the greater of two claims about an address is the newer.

        The incarnation only breaks a tie between two processes that started
        at one address in the same millisecond: all must choose the same.
        """
        return self.number, self.member.incarnation, self.member.health

    @property
    def is_running(self) -> bool:
        """Whether the claim says that the member is not dead."""
        return self.member.health is not members_module.MemberHealth.DEAD

    @property
    def has_location(self) -> bool:
        """Whether the claim contains the member's data centre."""
        return bool(self.member.data_centre)


def to_state(claim: Claim, *, with_location: bool) -> ttypes.MemberState:
    """Returns the message for a claim."""
    member = claim.member
    return ttypes.MemberState(
        inner_address=member.inner_address,
        incarnation=member.incarnation,
        state=int(member.health),
        number=claim.number,
        config_revision=member.config_revision,
        region=member.region if with_location else None,
        data_centre=member.data_centre if with_location else None,
    )


def from_state(state: ttypes.MemberState) -> Claim:
    """Returns the claim in a message.

    Raises:
        BadClaimError: A field is missing or invalid.
    """
    needed = (state.inner_address, state.incarnation, state.number)
    if not all(needed) or state.number < 0:
        raise BadClaimError(f"missing or negative field in {state!r}")
    if not addresses.is_valid(state.inner_address):
        raise BadClaimError(f"invalid inner_address {state.inner_address!r}")
    try:
        health = members_module.MemberHealth(state.state)
    except ValueError as error:
        raise BadClaimError(f"unknown state {state.state!r}") from error
    member = members_module.Member(
        inner_address=state.inner_address,
        incarnation=state.incarnation,
        region=state.region or "",
        data_centre=state.data_centre or "",
        health=health,
        config_revision=state.config_revision or 0,
    )
    return Claim(member=member, number=state.number)


def usable(states: list[ttypes.MemberState] | None) -> list[Claim]:
    """Returns the valid claims of a list, skipping the others."""
    claims = []
    for state in states or []:
        try:
            claims.append(from_state(state))
        except BadClaimError:
            continue
    return claims
