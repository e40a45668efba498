"""The members (entry instances), and the interface to the known ones."""

import abc
import enum

import msgspec


class MemberHealth(enum.IntEnum):
    """The last known health of a member."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One entry instance.

    Attributes:
        inner_address: `ip:port` of the inner protocol.
        incarnation: Random, new with every start of the process.
        config_revision: The newest revision that it reported in force.
    """

    inner_address: str
    incarnation: str
    region: str
    data_centre: str
    health: MemberHealth = MemberHealth.ALIVE
    config_revision: int = 0


class MemberView(abc.ABC):
    """The members as this instance knows them."""

    @property
    @abc.abstractmethod
    def myself(self) -> Member:
        """This instance."""

    @abc.abstractmethod
    def members(self) -> list[Member]:
        """All known members except dead ones, including this instance."""


class FixedMemberView(MemberView):
    """A fixed set of members, for tests and for a single instance."""

    __slots__ = ("_members", "_myself")

    def __init__(self, *, myself: Member, others: tuple[Member, ...] = ()):
        self._myself = myself
        self._members = [myself, *others]

    @property
    def myself(self) -> Member:
        """This instance."""
        return self._myself

    def members(self) -> list[Member]:
        """All members."""
        return list(self._members)
