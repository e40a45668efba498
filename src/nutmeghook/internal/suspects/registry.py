"""Requests under which replicas have ended, and which of them to stop.

A request that ends each replica that runs it comes again, at any instance,
under another id each time, and takes with it what those replicas ran for
others.

So the end of a replica is held against the requests that it had. All of them
are suspects, and beside the one that did it are many that only were there. An
innocent one is answered at its next replica, which clears it; one that ends
replica after replica is quarantined, and sent to none for a while. Should it
have been beside others that do it each time, one trial clears it.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs

# A replica that had begun to answer was at work on the request. One that had
# not may have had it in its queue, as it had others' in a time of need.
_WEIGHT_BEGUN = 2
_WEIGHT_QUEUED = 1
# Three replicas that were at work on it, or six that may have been.
_QUARANTINE_WEIGHT = 6
# Since the last replica that ended. Copies come for as long as somebody tries
# again; a fault that is mended should not keep its requests out for a day.
SUSPICION_LIFETIME = datetime.timedelta(hours=1)
# Since the last one, until one copy is sent to see if it was innocent. One
# more replica may end, so there is one trial, which all instances know of.
PROBE_DELAY = datetime.timedelta(minutes=1)
# What was answered a moment ago ends no replicas, also where many of them had a
# copy of it when they ended together.
ANSWER_GRACE = datetime.timedelta(seconds=30)
# Bounds of memory. One end of a replica brings as many suspects as it had
# requests; those that were there once, long ago, are dropped first.
MAX_SUSPECTS = 1000
_SUSPECTS_AFTER_TRIM = 800
MAX_ANSWERED = 4096
MAX_CRASHES = 8


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReplicaCrash:
    """A replica ended that had a request.

    Attributes:
        replica_hash: Names the start of the replica.
        begun: Its answer to the request had begun.
        at: Monotonic time at which it was noticed.
    """

    replica_hash: int
    begun: bool
    at: datetime.timedelta

    @property
    def weight(self) -> int:
        """How much it says against the request."""
        return _WEIGHT_BEGUN if self.begun else _WEIGHT_QUEUED


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Suspicion:
    """What is held against a request.

    Attributes:
        crashes: Of different replicas.
        cleared_at: When a replica answered it; no end before that counts.
        probed_at: When it was sent on trial.
    """

    identity: bytes
    crashes: tuple[ReplicaCrash, ...] = ()
    cleared_at: datetime.timedelta | None = None
    probed_at: datetime.timedelta | None = None

    @property
    def weight(self) -> int:
        """How much there is against the request."""
        return sum(crash.weight for crash in self.crashes)

    @property
    def last_update_at(self) -> datetime.timedelta:
        """When something was last learnt of it."""
        times = [crash.at for crash in self.crashes]
        if self.cleared_at is not None:
            times.append(self.cleared_at)
        return max(times, default=datetime.timedelta())

    def since(self, moment: datetime.timedelta) -> "Suspicion":
        """Returns it without what is older; a trial is of the ends before."""
        crashes = tuple(crash for crash in self.crashes if crash.at > moment)
        return dataclasses.replace(
            self, crashes=crashes, probed_at=self.probed_at if crashes else None
        )


class SuspectRegistry:
    """Suspects known to this instance, by what they are.

    Attributes:
        updates: Set while there is something that peers were not told.
        unwritten: Set while a quarantine was begun, tried or ended here and
            the store does not know.
    """

    __slots__ = (
        "_answered",
        "_clock",
        "_seen_here",
        "_suspects",
        "_unsent",
        "_unwritten",
        "unwritten",
        "updates",
    )

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._suspects: dict[bytes, Suspicion] = {}
        # When each was answered here, the latest last.
        self._answered: collections.OrderedDict[bytes, datetime.timedelta] = (
            collections.OrderedDict()
        )
        # Under which a replica of this instance's ended.
        self._seen_here: set[bytes] = set()
        self._unsent: dict[bytes, None] = {}
        self._unwritten: dict[bytes, None] = {}
        self.updates = asyncio.Event()
        self.unwritten = asyncio.Event()

    def note_crash(
        self, identity: bytes, *, replica_hash: int, begun: bool
    ) -> None:
        """Takes in that a replica of this instance's ended under a request."""
        crash = ReplicaCrash(
            replica_hash=replica_hash, begun=begun, at=self._clock.monotonic()
        )
        self._seen_here.add(identity)
        self.merge(Suspicion(identity=identity, crashes=(crash,)))
        if self.is_quarantined(identity):
            self.write_later(identity)

    def note_answered(self, identity: bytes) -> None:
        """Takes in that a replica ran a request to its end."""
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
        """Takes in what was seen of a request, here or by a peer.

        Whatever order it comes in, and however often, the outcome is the
        same: the ends are a set, and the latest answer clears those before.
        A peer that holds an end against a request that was answered hears of
        the answer.
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
            # Each end may have been seen by another instance, so that none
            # has come to this by itself.
            if identity in self._seen_here:
                self.write_later(identity)

    def suspicion(self, identity: bytes) -> Suspicion:
        """Returns what counts against a request now."""
        known = self._suspects.get(identity)
        if known is None:
            return Suspicion(identity=identity)
        return known.since(self._clock.monotonic() - SUSPICION_LIFETIME)

    @property
    def is_empty(self) -> bool:
        """Tells whether nothing is held against any request."""
        return not self._suspects

    def is_suspect(self, identity: bytes) -> bool:
        """Tells whether a replica has ended under a request."""
        return bool(self.suspicion(identity).crashes)

    def is_quarantined(self, identity: bytes) -> bool:
        """Tells whether a request is to be sent to no replica."""
        return self.suspicion(identity).weight >= _QUARANTINE_WEIGHT

    def is_probe_due(self, identity: bytes) -> bool:
        """Tells whether a quarantined request may be sent once."""
        suspicion = self.suspicion(identity)
        if suspicion.probed_at is not None or not suspicion.crashes:
            return False
        return self._clock.monotonic() >= suspicion.last_update_at + PROBE_DELAY

    def try_probe(self, identity: bytes) -> bool:
        """Takes leave to send a quarantined request once, if it is time.

        Taken as it is about to be sent: there is only one.
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
        """Returns how long a quarantined request is sent nowhere from now."""
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

    def take_updates(self, most: int) -> list[Suspicion]:
        """Returns some of what peers were not told; it counts as told now."""
        taken = list(self._unsent)[:most]
        for identity in taken:
            del self._unsent[identity]
        if not self._unsent:
            self.updates.clear()
        return [self._suspects[i] for i in taken if i in self._suspects]

    def write_later(self, identity: bytes) -> None:
        """Has the store be told of a request's quarantine."""
        self._unwritten[identity] = None
        self.unwritten.set()

    def unwritten_identities(self) -> list[bytes]:
        """Returns the requests whose quarantine the store does not know."""
        return list(self._unwritten)

    def note_written(self, identity: bytes) -> None:
        """Takes in that the store knows of a request's quarantine."""
        self._unwritten.pop(identity, None)
        if not self._unwritten:
            self.unwritten.clear()

    def most_suspect(
        self, most: int, *, age: datetime.timedelta
    ) -> list[Suspicion]:
        """Returns what peers should know, the most suspect first.

        Args:
            most: The most to return.
            age: Leave out what one replica has ended under if it is older.
        """
        now = self._clock.monotonic()
        selected = [
            self.suspicion(suspicion.identity)
            for suspicion in self._suspects.values()
            if len(suspicion.crashes) > 1
            or (suspicion.crashes and now - suspicion.last_update_at <= age)
        ]
        selected.sort(key=lambda s: (s.weight, s.last_update_at), reverse=True)
        return selected[:most]

    def _counted_from(
        self, cleared_at: datetime.timedelta | None
    ) -> datetime.timedelta:
        """Returns the moment up to which ends of replicas don't count."""
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
            self._seen_here &= self._suspects.keys()

    def _send_later(self, identity: bytes) -> None:
        self._unsent[identity] = None
        self.updates.set()


def _is_update(merged: Suspicion, known: Suspicion) -> bool:
    """Tells whether something was learnt that peers have to know.

    A later time alone is no news: two instances that tell each other of one
    answer would never stop.
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
    """Returns ends of different replicas; the first to be noticed first.

    An end that several requests or instances noticed is one.
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
