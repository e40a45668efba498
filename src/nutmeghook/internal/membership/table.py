"""This instance's table of claims about all members and itself."""

import dataclasses
import datetime
import enum

import msgspec
import xxhash

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.membership import claims
from nutmeghook.internal.membership import members as members_module

_HASH_MASK = 0x7FFFFFFF
_DEAD = members_module.MemberHealth.DEAD
_SUSPECT = members_module.MemberHealth.SUSPECT
_ALIVE = members_module.MemberHealth.ALIVE


class Verdict(enum.Enum):
    """The result of applying a claim."""

    KNOWN = "known"
    ADOPTED = "adopted"
    # A false claim about this instance, whose number was raised above it.
    REFUTED = "refuted"
    # It says that a member runs, with the number at which it was declared dead.
    DISPUTED = "disputed"
    # About an unknown member, without its data centre.
    UNPLACED = "unplaced"


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """What is known of the member at one address.

    Attributes:
        is_suspected: This instance suspects it; that is not gossiped.
        acked_probe_sent_at: When the last probe that it answered was sent, by
            the monotonic clock.
        died_at: When it was declared dead.
    """

    claim: claims.Claim
    is_suspected: bool = False
    acked_probe_sent_at: datetime.timedelta | None = None
    died_at: datetime.timedelta | None = None

    @property
    def member(self) -> members_module.Member:
        """The member, `SUSPECT` if this instance suspects it."""
        member = self.claim.member
        if self.is_suspected and member.health is _ALIVE:
            return msgspec.structs.replace(member, health=_SUSPECT)
        return member


class MemberTable:
    """Merges claims; independent of how they are sent and received."""

    __slots__ = (
        "_clock",
        "_max_ack_age",
        "_own_claim",
        "_records",
        "_running_hash",
        "changed_at",
    )

    def __init__(
        self,
        *,
        myself: claims.Claim,
        clock: clock_module.Clock,
        max_ack_age: datetime.timedelta,
    ):
        self._own_claim = myself
        self._clock = clock
        self._max_ack_age = max_ack_age
        self._records: dict[str, Record] = {}
        self._running_hash: int | None = None
        self.changed_at = clock.monotonic()

    @property
    def own_claim(self) -> claims.Claim:
        """This instance's claim about itself."""
        return self._own_claim

    def announce(self, health: members_module.MemberHealth) -> None:
        """Changes this instance's own health under a new number."""
        member = msgspec.structs.replace(self._own_claim.member, health=health)
        self._own_claim = claims.Claim(
            member=member, number=self._own_claim.number + 1
        )

    def set_config_revision(self, revision: int) -> None:
        """Sets the revision in force on this instance."""
        member = msgspec.structs.replace(
            self._own_claim.member, config_revision=revision
        )
        self._own_claim = claims.Claim(
            member=member, number=self._own_claim.number
        )

    def record(self, inner_address: str) -> Record | None:
        """Returns the record of another address."""
        return self._records.get(inner_address)

    def running(self) -> list[Record]:
        """Returns the other members except dead ones."""
        return [r for r in self._records.values() if r.claim.is_running]

    def dead_addresses(self) -> list[str]:
        """Returns the addresses of remembered dead members."""
        return [
            address
            for address, record in self._records.items()
            if not record.claim.is_running
        ]

    def running_hash(self) -> int:
        """Returns a hash of the set of running members, this one included.

        Equal on two instances with the same running members, whatever else
        they know of them.
        """
        if self._running_hash is None:
            total = _hash_of(self._own_claim.member)
            for record in self.running():
                total ^= _hash_of(record.claim.member)
            self._running_hash = total & _HASH_MASK
        return self._running_hash

    def apply_claim(self, claim: claims.Claim) -> Verdict:
        """Merges a claim about any member."""
        address = claim.member.inner_address
        if address == self._own_claim.member.inner_address:
            return self._apply_claim_about_self(claim)
        record = self._records.get(address)
        if record is None:
            if claim.is_running and not claim.has_location:
                return Verdict.UNPLACED
            return self._adopt(Record(claim=claim))
        if claim.order <= record.claim.order:
            return self._merge_details(record, claim)
        if self._contradicts_recent_ack(record, claim):
            return Verdict.KNOWN
        return self._adopt(record, claim)

    def note_ack(self, inner_address: str, sent_at: datetime.timedelta) -> None:
        """Records that a member answered a probe sent at `sent_at`."""
        record = self._records.get(inner_address)
        if record is not None:
            record.acked_probe_sent_at = sent_at

    def declare_dead(self, suspected: claims.Claim) -> claims.Claim | None:
        """Declares a member dead, unless a newer claim of it arrived.

        Returns:
            The new claim; None if the suspicion is outdated.
        """
        record = self._records.get(suspected.member.inner_address)
        if record is None or record.claim.order[:2] != suspected.order[:2]:
            return None
        member = msgspec.structs.replace(record.claim.member, health=_DEAD)
        self._adopt(
            record, claims.Claim(member=member, number=record.claim.number)
        )
        return record.claim

    def drop_dead(self, retention: datetime.timedelta) -> None:
        """Drops the records of members that died before the retention time."""
        oldest = self._clock.monotonic() - retention
        self._records = {
            address: record
            for address, record in self._records.items()
            if record.died_at is None or record.died_at > oldest
        }

    def _apply_claim_about_self(self, claim: claims.Claim) -> Verdict:
        """Refutes a false claim about this address with a higher number.

        Either others declared this instance dead while it was frozen or cut
        off, or they still know the previous process at this address. Only a
        higher number overrides their claims.
        """
        own_claim = self._own_claim
        says_the_same = (
            claim.order[:2] == own_claim.order[:2]
            and claim.member.health <= own_claim.member.health
        )
        if claim.number < own_claim.number or says_the_same:
            return Verdict.KNOWN
        self._own_claim = claims.Claim(
            member=own_claim.member, number=claim.number + 1
        )
        return Verdict.REFUTED

    def _merge_details(self, record: Record, claim: claims.Claim) -> Verdict:
        known = record.claim
        if claim.order[:2] != known.order[:2]:
            return Verdict.KNOWN
        if claim.is_running and not known.is_running:
            return Verdict.DISPUTED
        record.claim = _with_details(known, claim)
        return Verdict.KNOWN

    def _contradicts_recent_ack(
        self, record: Record, claim: claims.Claim
    ) -> bool:
        """Tells whether a claim of death contradicts a recent ack.

        A member that the claimant can't reach, but that just answered this
        instance, is alive. Otherwise one bad link would remove a member
        everywhere.
        """
        if claim.is_running or record.acked_probe_sent_at is None:
            return False
        if claim.order[:2] != record.claim.order[:2]:
            return False
        age = self._clock.monotonic() - record.acked_probe_sent_at
        # A member's own announcement of its end is not contradicted here, since
        # `announce` raises the number.
        return age <= self._max_ack_age

    def _adopt(
        self, record: Record, claim: claims.Claim | None = None
    ) -> Verdict:
        if claim is not None:
            if claim.member.incarnation != record.claim.member.incarnation:
                record.acked_probe_sent_at = None
            record.claim = _with_details(claim, record.claim)
        record.is_suspected = False
        now = self._clock.monotonic()
        record.died_at = None if record.claim.is_running else now
        self._records[record.claim.member.inner_address] = record
        self._running_hash = None
        self.changed_at = now
        return Verdict.ADOPTED


def _with_details(claim: claims.Claim, other: claims.Claim) -> claims.Claim:
    """Returns a claim completed with details from another about its address."""
    member = claim.member
    if not claim.has_location and other.has_location:
        member = msgspec.structs.replace(
            member,
            region=other.member.region,
            data_centre=other.member.data_centre,
        )
    same_process = member.incarnation == other.member.incarnation
    if same_process and other.member.config_revision > member.config_revision:
        member = msgspec.structs.replace(
            member, config_revision=other.member.config_revision
        )
    return claims.Claim(member=member, number=claim.number)


def _hash_of(member: members_module.Member) -> int:
    key = f"{member.inner_address}\n{member.incarnation}"
    return xxhash.xxh64_intdigest(key.encode())
