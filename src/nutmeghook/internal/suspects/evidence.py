"""Evidence that a request, or a part of its prompt, crashes replicas."""

from collections.abc import Iterable
import datetime
import functools

import msgspec

# A replica without a free slot may only have had the request in its queue, as
# under overload it has many.
_WEIGHT_BEGUN = 2
_WEIGHT_QUEUED = 1
# Three replicas that were running it, or six that may have been.
CONCLUSIVE_WEIGHT = 6
# The latest crashes are kept. A suspect that is still sent is still seen to
# crash replicas, so dropping older ones never hides it.
MAX_CRASHES = 12
# Of the requests lost with a part, those with the smallest hashes are kept. All
# instances keep the same ones, and their hashes tell how many there are.
MAX_REQUEST_HASHES = 4
REQUEST_HASH_RANGE = 2**31
# After an answer a suspect's crashes need not be its own: a very common request
# is at many replicas, and may lose several at once. For so long after an answer
# crashes count only one after the other.
ANSWER_GRACE = datetime.timedelta(seconds=30)
# Crashes closer together may have one cause that is another request.
_SAME_CAUSE = datetime.timedelta(seconds=1)
# Peers send ages, which do not grow on the way, so a time is later with every
# message that passes it on. Times that differ by less are taken for the same.
_TIME_TOLERANCE = datetime.timedelta(milliseconds=500)


class ReplicaCrash(msgspec.Struct, frozen=True, kw_only=True):
    """The crash of a replica that had a request.

    Attributes:
        replica_hash: Identifies the start of the replica.
        begun: It was running the request: its answer had begun, or it had a
            free slot when it was sent the request.
        at: Monotonic time at which the crash was noticed.
        sent_at: When the replica was first sent the request; None if not known.
    """

    replica_hash: int
    begun: bool
    at: datetime.timedelta
    sent_at: datetime.timedelta | None = None

    @property
    def weight(self) -> int:
        """Weight of the crash as evidence against the request."""
        return _WEIGHT_BEGUN if self.begun else _WEIGHT_QUEUED


class Suspicion(msgspec.Struct, frozen=True, kw_only=True):
    """The evidence against a request or a prompt part; times are monotonic.

    Attributes:
        identity: Equal for all copies of the request, or uses of the part.
        is_part: It is a prompt part.
        crashes: Of different replicas, the earliest first.
        request_hashes: Of the requests with the part that were lost in crashes,
            the smallest ones in ascending order; empty for a request.
        cleared_at: When a replica answered it; earlier crashes don't count.
        probed_at: When it was last sent as a probe.
        probes: How often it was.
    """

    identity: bytes
    is_part: bool = False
    crashes: tuple[ReplicaCrash, ...] = ()
    request_hashes: tuple[int, ...] = ()
    cleared_at: datetime.timedelta | None = None
    probed_at: datetime.timedelta | None = None
    probes: int = 0

    @property
    def weight(self) -> int:
        """Total weight of the evidence."""
        return sum(crash.weight for crash in self.counted_crashes())

    def counted_crashes(self) -> list[ReplicaCrash]:
        """Returns the crashes that are evidence.

        Soon after an answer, those of replicas that were sent the suspect after
        the answer, and well after the last such crash. Several crashes of one
        cause, such as a rack's loss of power, are one.
        """
        counted = []
        counted_until = self.cleared_at
        for crash in self.crashes:
            if not self._is_soon_after_answer(crash):
                counted.append(crash)
            elif crash.sent_at is not None and crash.sent_at > counted_until:
                counted.append(crash)
                counted_until = crash.at + _SAME_CAUSE
        return counted

    def _is_soon_after_answer(self, crash: ReplicaCrash) -> bool:
        return (
            self.cleared_at is not None
            and crash.at <= self.cleared_at + ANSWER_GRACE
        )

    def without_answered(self) -> "Suspicion":
        """Returns it without crashes that no later evidence can make count."""
        crashes = tuple(
            crash
            for crash in self.crashes
            if not self._is_soon_after_answer(crash)
            or (crash.sent_at is not None and crash.sent_at > self.cleared_at)
        )
        return self._with_crashes(crashes)

    @property
    def is_conclusive(self) -> bool:
        """Tells whether the evidence suffices, unless others explain it."""
        return self.weight >= CONCLUSIVE_WEIGHT

    @property
    def last_update_at(self) -> datetime.timedelta:
        """Time of the latest crash or answer."""
        times = [crash.at for crash in self.crashes]
        if self.cleared_at is not None:
            times.append(self.cleared_at)
        return max(times, default=datetime.timedelta())

    @property
    def replica_hashes(self) -> frozenset[int]:
        """The replicas that crashed."""
        return _replica_hashes(self.crashes)

    @property
    def lost_requests(self) -> float:
        """Estimated number of different requests lost in its crashes."""
        count = len(self.request_hashes)
        if count < MAX_REQUEST_HASHES:
            return count
        share = (self.request_hashes[-1] + 1) / REQUEST_HASH_RANGE
        return max(count, (count - 1) / share)

    def since(self, moment: datetime.timedelta) -> "Suspicion":
        """Returns it without older crashes; without any, also without probe."""
        return self._with_crashes(
            tuple(crash for crash in self.crashes if crash.at > moment)
        )

    def _with_crashes(self, crashes: tuple[ReplicaCrash, ...]) -> "Suspicion":
        return msgspec.structs.replace(
            self,
            crashes=crashes,
            request_hashes=self.request_hashes if crashes else (),
            probed_at=self.probed_at if crashes else None,
            probes=self.probes if crashes else 0,
        )


def _replica_hashes(crashes: Iterable[ReplicaCrash]) -> frozenset[int]:
    return frozenset(crash.replica_hash for crash in crashes)


def request_hash(identity: bytes) -> int:
    """Returns the hash of a request in the evidence against its parts."""
    return int.from_bytes(identity[-4:], "big") % REQUEST_HASH_RANGE


def merged(known: Suspicion, received: Suspicion) -> Suspicion:
    """Returns the evidence of both, of one request or part.

    Commutative and idempotent, but for times that differ little.
    """
    return Suspicion(
        identity=known.identity,
        is_part=known.is_part or received.is_part,
        crashes=_merged_crashes(known.crashes, received.crashes),
        request_hashes=_smallest(known.request_hashes, received.request_hashes),
        cleared_at=_clearly_later(known.cleared_at, received.cleared_at),
        probed_at=_clearly_later(known.probed_at, received.probed_at),
        probes=max(known.probes, received.probes),
    )


def latest(
    *moments: datetime.timedelta | None,
) -> datetime.timedelta | None:
    """Returns the latest moment; None without any."""
    return max((at for at in moments if at is not None), default=None)


def is_clearly_later(
    moment: datetime.timedelta, other: datetime.timedelta | None
) -> bool:
    """Tells whether a moment is later than another, or there is no other."""
    return other is None or moment > other + _TIME_TOLERANCE


def crashing_parts(suspicions: Iterable[Suspicion]) -> list[Suspicion]:
    """Returns the prompt parts that are held to crash replicas.

    A crash is evidence against all that its replica had, such as a part that
    all prompts begin with. So a part is left out if all its crashes count
    against a more specific suspect: a single request, or a part with which
    fewer requests were lost.
    """
    conclusive = [s for s in suspicions if s.is_conclusive]
    explanations = [
        _replica_hashes(s.counted_crashes())
        for s in conclusive
        if not s.is_part
    ]
    parts = [s for s in conclusive if s.is_part]
    parts.sort(key=lambda part: (part.lost_requests, part.identity))
    found = []
    for part in parts:
        replicas = part.replica_hashes
        if not any(replicas <= explained for explained in explanations):
            found.append(part)
            explanations.append(replicas)
    return found


def _clearly_later(
    known: datetime.timedelta | None, received: datetime.timedelta | None
) -> datetime.timedelta | None:
    """Returns a moment from a peer if it is clearly later, else the known."""
    if received is None or not is_clearly_later(received, known):
        return known
    return received


def _clearly_earlier(
    known: datetime.timedelta | None, received: datetime.timedelta | None
) -> datetime.timedelta | None:
    """Returns a moment from a peer if it is clearly earlier, else the known."""
    if received is None:
        return known
    if known is None or is_clearly_later(known, received):
        return received
    return known


def _smallest(*hashes: tuple[int, ...]) -> tuple[int, ...]:
    different = functools.reduce(set.union, hashes, set())
    return tuple(sorted(different)[:MAX_REQUEST_HASHES])


def _merged_crashes(
    crashes: Iterable[ReplicaCrash], received: Iterable[ReplicaCrash]
) -> tuple[ReplicaCrash, ...]:
    """Returns the crashes of different replicas, the earliest first.

    A crash that several requests or instances noticed counts once.
    """
    by_replica = {crash.replica_hash: crash for crash in crashes}
    for crash in received:
        known = by_replica.get(crash.replica_hash)
        if known is None:
            by_replica[crash.replica_hash] = crash
        else:
            by_replica[crash.replica_hash] = msgspec.structs.replace(
                known,
                begun=known.begun or crash.begun,
                sent_at=_clearly_earlier(known.sent_at, crash.sent_at),
            )
    by_time = sorted(by_replica.values(), key=lambda crash: crash.at)
    return tuple(by_time[-MAX_CRASHES:])
