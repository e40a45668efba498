"""Finds and quarantines requests that crash replicas.

Callers retry a request that crashes each replica that runs it, at any instance
and with another id each time, and each crash also ends the replica's other
requests.

So when a replica crashes, all requests that it had become suspects, the cause
and the innocent ones beside it. An innocent request is answered by its next
replica, which clears it. One under which replica after replica crashes is
quarantined: it is sent to no replica for a while. If others caused these
crashes, a single probe clears it.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs

# A replica that had begun to answer was running the request. One that had not
# may only have had it in its queue, as under overload it has many.
_WEIGHT_BEGUN = 2
_WEIGHT_QUEUED = 1
# Three replicas that were running it, or six that may have been.
_QUARANTINE_WEIGHT = 6
# Time for which a crash counts. Copies come for as long as callers retry, but
# after a fault is fixed its requests should not be refused for a day.
SUSPICION_LIFETIME = datetime.timedelta(hours=1)
# Time since the last crash until one copy is sent as a probe, to see whether
# the request is innocent. As it may crash one more replica, there is only one
# probe, which all instances know of.
PROBE_DELAY = datetime.timedelta(minutes=1)
# Crashes before this time after an answer don't count: a request that was just
# answered crashes no replicas, even if many with a copy of it crash together.
ANSWER_GRACE = datetime.timedelta(seconds=30)
# Memory limits. One crash adds as many suspects as the replica had requests;
# those with the least weight and the oldest crashes are dropped first.
MAX_SUSPECTS = 1000
_SUSPECTS_AFTER_TRIM = 800
MAX_ANSWERED = 4096
MAX_CRASHES = 8


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReplicaCrash:
    """The crash of a replica that had a request.

    Attributes:
        replica_hash: Identifies the start of the replica.
        begun: Its answer to the request had begun.
        at: Monotonic time at which the crash was noticed.
    """

    replica_hash: int
    begun: bool
    at: datetime.timedelta

    @property
    def weight(self) -> int:
        """Weight of the crash as evidence against the request."""
        return _WEIGHT_BEGUN if self.begun else _WEIGHT_QUEUED


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Suspicion:
    """The evidence against a request; times are monotonic.

    Attributes:
        identity: Equal for all copies of the request.
        crashes: Of different replicas.
        cleared_at: When a replica answered it; earlier crashes don't count.
        probed_at: When it was sent as a probe.
    """

    identity: bytes
    crashes: tuple[ReplicaCrash, ...] = ()
    cleared_at: datetime.timedelta | None = None
    probed_at: datetime.timedelta | None = None

    @property
    def weight(self) -> int:
        """Total weight of the evidence."""
        return sum(crash.weight for crash in self.crashes)

    @property
    def last_update_at(self) -> datetime.timedelta:
        """Time of the latest crash or answer."""
        times = [crash.at for crash in self.crashes]
        if self.cleared_at is not None:
            times.append(self.cleared_at)
        return max(times, default=datetime.timedelta())

    def since(self, moment: datetime.timedelta) -> "Suspicion":
        """Returns it without older crashes; without any, also without probe."""
        crashes = tuple(crash for crash in self.crashes if crash.at > moment)
        return dataclasses.replace(
            self, crashes=crashes, probed_at=self.probed_at if crashes else None
        )


class SuspectRegistry:
    """Suspects known to this instance, by the identity of the request.

    Attributes:
        updates: Set while there are changes not sent to peers.
        unwritten: Set while a quarantine was begun, probed or ended here and
            the store does not have it yet.
    """

    __slots__ = (
        "_answered",
        "_clock",
        "_noticed_here",
        "_suspects",
        "_unsent",
        "_unwritten",
        "unwritten",
        "updates",
    )

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._suspects: dict[bytes, Suspicion] = {}
        # When requests were last answered here, the latest at the end.
        self._answered: collections.OrderedDict[bytes, datetime.timedelta] = (
            collections.OrderedDict()
        )
        # Requests with a crash that this instance noticed itself.
        self._noticed_here: set[bytes] = set()
        self._unsent: dict[bytes, None] = {}
        self._unwritten: dict[bytes, None] = {}
        self.updates = asyncio.Event()
        self.unwritten = asyncio.Event()

    def note_crash(
        self, identity: bytes, *, replica_hash: int, begun: bool
    ) -> None:
        """Records that a replica crashed that had a request from here."""
        crash = ReplicaCrash(
            replica_hash=replica_hash, begun=begun, at=self._clock.monotonic()
        )
        self._noticed_here.add(identity)
        self.merge(Suspicion(identity=identity, crashes=(crash,)))
        if self.is_quarantined(identity):
            self.write_later(identity)

    def note_answered(self, identity: bytes) -> None:
        """Records that a replica ran a request to its end."""
        now = self._clock.monotonic()
        self._answered[identity] = now
        self._answered.move_to_end(identity)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        known = self._suspects.get(identity)
        if known is not None and known.crashes:
            if self.is_quarantined(identity):
                self.write_later(identity)
            self._clear(known, now)

    def merge(self, received: Suspicion) -> None:
        """Merges evidence about a request, from here or from a peer.

        The merge is commutative and idempotent: crashes are a set, and the
        latest answer clears earlier ones. A peer that sent a crash that an
        answer has cleared is sent the answer.
        """
        identity = received.identity
        known = self._suspects.get(identity, Suspicion(identity=identity))
        cleared_at = _latest(
            received.cleared_at, known.cleared_at, self._answered.get(identity)
        )
        counted_from = self._counted_from(cleared_at)
        merged = Suspicion(
            identity=identity,
            crashes=_merged_crashes(known.crashes, received.crashes),
            cleared_at=cleared_at,
            probed_at=_latest(known.probed_at, received.probed_at),
        ).since(counted_from)
        is_behind = (
            cleared_at is not None and received.since(counted_from) != received
        )
        was_quarantined = self.is_quarantined(identity)
        if merged != known:
            self._put(merged)
        if is_behind or _is_update(merged, known):
            self._send_later(identity)
        if self.is_quarantined(identity) and not was_quarantined:
            logs.note(
                "request:quarantined",
                identity=identity.hex(),
                replicas=[crash.replica_hash for crash in merged.crashes],
            )
            # Every crash may have been noticed by another instance, so that
            # none reaches the quarantine in `note_crash`.
            if identity in self._noticed_here:
                self.write_later(identity)

    def suspicion(self, identity: bytes) -> Suspicion:
        """Returns the evidence against a request that counts now."""
        known = self._suspects.get(identity)
        if known is None:
            return Suspicion(identity=identity)
        return known.since(self._clock.monotonic() - SUSPICION_LIFETIME)

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence against any request."""
        return not self._suspects

    def is_suspect(self, identity: bytes) -> bool:
        """Returns whether a replica has crashed under a request."""
        return bool(self.suspicion(identity).crashes)

    def is_quarantined(self, identity: bytes) -> bool:
        """Returns whether a request must not be sent to any replica."""
        return self.suspicion(identity).weight >= _QUARANTINE_WEIGHT

    def is_probe_due(self, identity: bytes) -> bool:
        """Returns whether a quarantined request may be sent as a probe."""
        suspicion = self.suspicion(identity)
        if suspicion.probed_at is not None or not suspicion.crashes:
            return False
        return self._clock.monotonic() >= suspicion.last_update_at + PROBE_DELAY

    def try_probe(self, identity: bytes) -> bool:
        """Claims the one probe of a quarantined request if it is due.

        To be called immediately before the send.
        """
        if not self.is_probe_due(identity):
            return False
        suspicion = self.suspicion(identity)
        now = self._clock.monotonic()
        logs.note("suspect:on_trial", identity=identity.hex())
        self._put(dataclasses.replace(suspicion, probed_at=now))
        self._send_later(identity)
        self.write_later(identity)
        return True

    def refused_for(self, identity: bytes) -> datetime.timedelta:
        """Returns for how much longer a quarantined request is refused."""
        suspicion = self.suspicion(identity)
        if not suspicion.crashes:
            return datetime.timedelta()
        lasts = (
            PROBE_DELAY if suspicion.probed_at is None else SUSPICION_LIFETIME
        )
        left = suspicion.last_update_at + lasts - self._clock.monotonic()
        return max(datetime.timedelta(), left)

    def quarantined(self) -> list[Suspicion]:
        """Returns the requests in quarantine."""
        return [
            self.suspicion(identity)
            for identity in self._suspects
            if self.is_quarantined(identity)
        ]

    def take_updates(self, max_count: int) -> list[Suspicion]:
        """Returns some changes not sent to peers, and marks them as sent."""
        taken = list(self._unsent)[:max_count]
        for identity in taken:
            del self._unsent[identity]
        if not self._unsent:
            self.updates.clear()
        return [self._suspects[i] for i in taken if i in self._suspects]

    def write_later(self, identity: bytes) -> None:
        """Schedules a write of a request's quarantine to the store."""
        self._unwritten[identity] = None
        self.unwritten.set()

    def unwritten_identities(self) -> list[bytes]:
        """Returns the requests whose quarantine has to be written."""
        return list(self._unwritten)

    def note_written(self, identity: bytes) -> None:
        """Records that a request's quarantine was written to the store."""
        self._unwritten.pop(identity, None)
        if not self._unwritten:
            self.unwritten.clear()

    def most_suspect(
        self, max_count: int, *, age: datetime.timedelta
    ) -> list[Suspicion]:
        """Returns suspicions to send to peers, the most suspect first.

        Args:
            max_count: Maximum number to return.
            age: Maximum age of suspicions with a single crash.
        """
        now = self._clock.monotonic()
        selected = [
            self.suspicion(suspicion.identity)
            for suspicion in self._suspects.values()
            if len(suspicion.crashes) > 1
            or (suspicion.crashes and now - suspicion.last_update_at <= age)
        ]
        selected.sort(key=lambda s: (s.weight, s.last_update_at), reverse=True)
        return selected[:max_count]

    def _counted_from(
        self, cleared_at: datetime.timedelta | None
    ) -> datetime.timedelta:
        """Returns the time up to which crashes don't count."""
        oldest = self._clock.monotonic() - SUSPICION_LIFETIME
        if cleared_at is None:
            return oldest
        return max(oldest, cleared_at + ANSWER_GRACE)

    def _clear(self, known: Suspicion, now: datetime.timedelta) -> None:
        logs.note(
            "suspect:cleared",
            identity=known.identity.hex(),
            ends=len(known.crashes),
        )
        self._put(Suspicion(identity=known.identity, cleared_at=now))
        self._send_later(known.identity)

    def _put(self, suspicion: Suspicion) -> None:
        self._suspects[suspicion.identity] = suspicion
        if len(self._suspects) > MAX_SUSPECTS:
            most_suspect = sorted(
                self._suspects.values(),
                key=lambda s: (s.weight, s.last_update_at),
                reverse=True,
            )
            self._suspects = {
                s.identity: s for s in most_suspect[:_SUSPECTS_AFTER_TRIM]
            }
            self._noticed_here &= self._suspects.keys()

    def _send_later(self, identity: bytes) -> None:
        self._unsent[identity] = None
        self.updates.set()


def _is_update(merged: Suspicion, known: Suspicion) -> bool:
    """Returns whether a merge changed something that peers need.

    A later time alone does not count: two instances that send each other the
    same answer would never stop.
    """
    return (
        merged.crashes != known.crashes
        or (merged.cleared_at is None) != (known.cleared_at is None)
        or (merged.probed_at is None) != (known.probed_at is None)
    )


def _latest(
    *moments: datetime.timedelta | None,
) -> datetime.timedelta | None:
    return max((at for at in moments if at is not None), default=None)


def _merged_crashes(
    crashes: Iterable[ReplicaCrash], received: Iterable[ReplicaCrash]
) -> tuple[ReplicaCrash, ...]:
    """Returns the crashes of different replicas, the earliest first.

    A crash that several requests or instances noticed counts once.
    """
    merged = {crash.replica_hash: crash for crash in crashes}
    for crash in received:
        known = merged.get(crash.replica_hash)
        if known is None:
            merged[crash.replica_hash] = crash
        elif crash.begun and not known.begun:
            merged[crash.replica_hash] = dataclasses.replace(known, begun=True)
    by_time = sorted(merged.values(), key=lambda crash: crash.at)
    return tuple(by_time[:MAX_CRASHES])
