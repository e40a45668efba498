"""Elects the instances that may send to a replica whose rate is limited.

A cold replica, or one that states a rate limit, takes few requests a second
from all instances together, and there is no time to coordinate. So each
instance computes by rendezvous hashing, from the ids of members and replica,
which few of them may send to it. Each sender sends its share; the other
instances send elsewhere.

An instance that knows too few members elects itself too often. So a member
counts for a minute after its last contact, dead or not, and a new instance
sends nothing to such replicas until the others know it. In a large fleet
instances of different data centres hear from each other every few minutes only,
so there the senders are elected within one data centre, which is the replica's.
"""

import abc
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import heapq

import msgspec
import xxhash

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs

# With 420 instances in nine data centres, each hears from a given other one of
# its data centre about every four seconds, and from some instance of any other
# one about every seven.
MEMBER_RETENTION = datetime.timedelta(seconds=60)
# For so long after its registration an instance is no sender, since others that
# do not know it yet have elected themselves instead.
SETTLING_TIME = datetime.timedelta(seconds=10)
# Elections are recomputed this often at most.
_ELECTION_LIFETIME = datetime.timedelta(seconds=1)
# Replicas of which the last place is remembered for the log.
_MAX_LOGGED = 1000


class SenderPlace(msgspec.Struct, frozen=True, kw_only=True):
    """An instance's place among a replica's senders.

    Attributes:
        rank: From 0.
        senders: How many there are.
    """

    rank: int
    senders: int


class MemberView(abc.ABC):
    """The other instances, as this one knows them."""

    __slots__ = ()

    @abc.abstractmethod
    def known_within(
        self, window: datetime.timedelta
    ) -> Mapping[str, str | None]:
        """Returns the data centres of other instances, by instance id.

        Args:
            window: Instances that were registered before this one, or that it
                has heard from, within so long. None for an instance whose data
                centre is unknown.
        """

    @abc.abstractmethod
    def is_partial(self) -> bool:
        """Tells whether instances of other data centres are seldom heard."""


class SenderElection:
    """Decides whether this instance is one of a replica's senders."""

    __slots__ = (
        "_clock",
        "_data_centre",
        "_elected",
        "_elected_at",
        "_instance_id",
        "_logged",
        "_members",
        "_registered_at",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        data_centre: str,
        clock: clock_module.Clock,
    ):
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._clock = clock
        self._registered_at: datetime.timedelta | None = None
        self._members: MemberView | None = None
        # By replica id and number of senders.
        self._elected: dict[tuple[str, int], list[str]] = {}
        self._elected_at = datetime.timedelta()
        # The last place that was logged; replicas as in `_elected`.
        self._logged: dict[tuple[str, int], SenderPlace] = {}

    def register(self, members: MemberView) -> None:
        """Records that this instance is registered.

        Args:
            members: The other instances.
        """
        self._members = members
        self._registered_at = self._clock.monotonic()

    def place(
        self, replica_id: str, data_centre: str, max_senders: int
    ) -> SenderPlace | None:
        """Returns this instance's place among a replica's senders, if any.

        Args:
            replica_id: Id of the replica.
            data_centre: Where it is.
            max_senders: Number of instances that may send to it, if there are
                so many.
        """
        if self._registered_at is None:
            return None
        if self._clock.monotonic() - self._registered_at < SETTLING_TIME:
            return None
        return self._place_among(
            self.senders(replica_id, data_centre, max_senders)
        )

    def senders(
        self, replica_id: str, data_centre: str, max_senders: int
    ) -> list[str]:
        """Returns the ids of a replica's senders, as far as known here.

        Args:
            replica_id: Id of the replica.
            data_centre: Where it is.
            max_senders: Number of instances that may send to it, if there are
                so many.
        """
        if self._registered_at is None:
            return []
        now = self._clock.monotonic()
        if now - self._elected_at > _ELECTION_LIFETIME:
            self._elected.clear()
            self._elected_at = now
        key = (replica_id, max_senders)
        if key not in self._elected:
            members = self._electorate(replica_id, data_centre)
            self._elected[key] = elect_senders(members, replica_id, max_senders)
            self._log_change(key, member_count=len(members))
        return self._elected[key]

    def _log_change(self, key: tuple[str, int], *, member_count: int) -> None:
        """Logs that this instance became a sender, or is none any more."""
        place = self._place_among(self._elected[key])
        if place == self._logged.get(key):
            return
        if len(self._logged) >= _MAX_LOGGED:
            self._logged.clear()
        if place is None:
            self._logged.pop(key, None)
        else:
            self._logged[key] = place
        replica_id, max_senders = key
        logs.note(
            "replica:sender",
            replica=replica_id,
            rank=None if place is None else place.rank,
            senders=max_senders if place is None else place.senders,
            members=member_count,
        )

    def _place_among(self, elected: list[str]) -> SenderPlace | None:
        if self._instance_id not in elected:
            return None
        return SenderPlace(
            rank=elected.index(self._instance_id), senders=len(elected)
        )

    def _electorate(self, replica_id: str, data_centre: str) -> set[str]:
        """Returns the instances that elect a replica's senders.

        Empty if this instance is not among them.
        """
        members = {
            self._instance_id: self._data_centre,
            **self._members.known_within(MEMBER_RETENTION),
        }
        if not self._members.is_partial():
            return set(members)
        senders_in = sending_data_centre(
            filter(None, members.values()), replica_id, data_centre
        )
        if senders_in != self._data_centre:
            return set()
        # One whose data centre is unknown may be here. If it is not, its place
        # stays unused.
        return {
            member for member, at in members.items() if at in (None, senders_in)
        }


def sending_data_centre(
    populated: Iterable[str], replica_id: str, data_centre: str
) -> str:
    """Returns the data centre whose instances may send to a replica.

    It is the replica's own, or another one if there are no instances.

    Args:
        populated: The data centres with instances; not empty.
        replica_id: Id of the replica.
        data_centre: Where the replica is.
    """
    populated = set(populated)
    if data_centre in populated:
        return data_centre
    return elect_senders(populated, replica_id, 1)[0]


def elect_senders(
    members: Iterable[str], replica_id: str, senders: int
) -> list[str]:
    """Returns the members with the lowest hashes for a replica."""
    return heapq.nsmallest(
        senders,
        members,
        key=lambda member: xxhash.xxh64_intdigest(
            f"{member}/{replica_id}".encode()
        ),
    )
