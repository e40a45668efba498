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
_WEIGHT_PERHAPS = 1
# Three replicas that were at work on it, or six that may have been.
_QUARANTINE_WEIGHT = 6
# Since the last replica that ended. Copies come for as long as somebody tries
# again; a fault that is mended should not keep its requests out for a day.
KEPT_FOR = datetime.timedelta(hours=1)
# Since the last one, until one copy is sent to see if it was innocent. One
# more replica may end, so there is one trial, which all instances know of.
TRIAL_AFTER = datetime.timedelta(minutes=1)
# What was answered a moment ago ends no replicas, also where many of them had a
# copy of it when they ended together.
ANSWERED_LATELY = datetime.timedelta(seconds=30)
# Bounds of memory. One end of a replica brings as many suspects as it had
# requests; those that were there once, long ago, are dropped first.
MOST_SUSPECTS = 1000
_KEPT_OF_TOO_MANY = 800
MOST_ANSWERED = 4096
MOST_ENDS = 8


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReplicaEnd:
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
        return _WEIGHT_BEGUN if self.begun else _WEIGHT_PERHAPS


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Suspicion:
    """What is held against a request.

    Attributes:
        ends: Of different replicas.
        cleared_at: When a replica answered it; no end before that counts.
        tried_at: When it was sent on trial.
    """

    identity: bytes
    ends: tuple[ReplicaEnd, ...] = ()
    cleared_at: datetime.timedelta | None = None
    tried_at: datetime.timedelta | None = None

    @property
    def weight(self) -> int:
        """How much there is against the request."""
        return sum(end.weight for end in self.ends)

    @property
    def last_at(self) -> datetime.timedelta:
        """When something was last learnt of it."""
        times = [end.at for end in self.ends]
        if self.cleared_at is not None:
            times.append(self.cleared_at)
        return max(times, default=datetime.timedelta())

    def since(self, moment: datetime.timedelta) -> "Suspicion":
        """Returns it without what is older; a trial is of the ends before."""
        ends = tuple(end for end in self.ends if end.at > moment)
        return dataclasses.replace(
            self, ends=ends, tried_at=self.tried_at if ends else None
        )


class SuspectBook:
    """Suspects known to this instance, by what they are.

    Attributes:
        news: Set while there is something that peers were not told.
        unwritten: Set while a quarantine was begun, tried or ended here and
            the store does not know.
    """

    __slots__ = (
        "_answered",
        "_clock",
        "_noticed",
        "_suspects",
        "_untold",
        "_unwritten",
        "news",
        "unwritten",
    )

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._suspects: dict[bytes, Suspicion] = {}
        # When each was answered here, the latest last.
        self._answered: collections.OrderedDict[bytes, datetime.timedelta] = (
            collections.OrderedDict()
        )
        # Under which a replica of this instance's ended.
        self._noticed: set[bytes] = set()
        self._untold: dict[bytes, None] = {}
        self._unwritten: dict[bytes, None] = {}
        self.news = asyncio.Event()
        self.unwritten = asyncio.Event()

    def note_end(
        self, identity: bytes, *, replica_hash: int, begun: bool
    ) -> None:
        """Takes in that a replica of this instance's ended under a request."""
        end = ReplicaEnd(
            replica_hash=replica_hash, begun=begun, at=self._clock.monotonic()
        )
        self._noticed.add(identity)
        self.merge(Suspicion(identity=identity, ends=(end,)))
        if self.is_quarantined(identity):
            self.write_later(identity)

    def note_answered(self, identity: bytes) -> None:
        """Takes in that a replica ran a request to its end."""
        now = self._clock.monotonic()
        self._answered[identity] = now
        self._answered.move_to_end(identity)
        if len(self._answered) > MOST_ANSWERED:
            self._answered.popitem(last=False)
        known = self._suspects.get(identity)
        if known is not None and known.ends:
            if self.is_quarantined(identity):
                self.write_later(identity)
            self._clear(known, now)

    def merge(self, told: Suspicion) -> None:
        """Takes in what was seen of a request, here or by a peer.

        Whatever order it comes in, and however often, the outcome is the
        same: the ends are a set, and the latest answer clears those before.
        A peer that holds an end against a request that was answered hears of
        the answer.
        """
        identity = told.identity
        known = self._suspects.get(identity, Suspicion(identity=identity))
        cleared_at = _latest(
            told.cleared_at, known.cleared_at, self._answered.get(identity)
        )
        counted_from = self._counted_from(cleared_at)
        merged = Suspicion(
            identity=identity,
            ends=_united(known.ends, told.ends),
            cleared_at=cleared_at,
            tried_at=_latest(known.tried_at, told.tried_at),
        ).since(counted_from)
        is_behind = cleared_at is not None and told.since(counted_from) != told
        was_quarantined = self.is_quarantined(identity)
        if merged != known:
            self._put(merged)
        if is_behind or _is_news(merged, known):
            self._tell_later(identity)
        if self.is_quarantined(identity) and not was_quarantined:
            logs.note(
                "request:quarantined",
                identity=identity.hex(),
                replicas=[end.replica_hash for end in merged.ends],
            )
            # Each end may have been seen by another instance, so that none
            # has come to this by itself.
            if identity in self._noticed:
                self.write_later(identity)

    def suspicion(self, identity: bytes) -> Suspicion:
        """Returns what counts against a request now."""
        known = self._suspects.get(identity)
        if known is None:
            return Suspicion(identity=identity)
        return known.since(self._clock.monotonic() - KEPT_FOR)

    @property
    def is_empty(self) -> bool:
        """Tells whether nothing is held against any request."""
        return not self._suspects

    def is_suspect(self, identity: bytes) -> bool:
        """Tells whether a replica has ended under a request."""
        return bool(self.suspicion(identity).ends)

    def is_quarantined(self, identity: bytes) -> bool:
        """Tells whether a request is to be sent to no replica."""
        return self.suspicion(identity).weight >= _QUARANTINE_WEIGHT

    def is_trial_due(self, identity: bytes) -> bool:
        """Tells whether a quarantined request may be sent once."""
        suspicion = self.suspicion(identity)
        if suspicion.tried_at is not None or not suspicion.ends:
            return False
        return self._clock.monotonic() >= suspicion.last_at + TRIAL_AFTER

    def try_trial(self, identity: bytes) -> bool:
        """Takes leave to send a quarantined request once, if it is time.

        Taken as it is about to be sent: there is only one.
        """
        if not self.is_trial_due(identity):
            return False
        suspicion = self.suspicion(identity)
        now = self._clock.monotonic()
        logs.note("suspect:on_trial", identity=identity.hex())
        self._put(dataclasses.replace(suspicion, tried_at=now))
        self._tell_later(identity)
        self.write_later(identity)
        return True

    def refused_for(self, identity: bytes) -> datetime.timedelta:
        """Returns how long a quarantined request is sent nowhere from now."""
        suspicion = self.suspicion(identity)
        if not suspicion.ends:
            return datetime.timedelta()
        lasts = TRIAL_AFTER if suspicion.tried_at is None else KEPT_FOR
        left = suspicion.last_at + lasts - self._clock.monotonic()
        return max(datetime.timedelta(), left)

    def quarantined(self) -> list[Suspicion]:
        """Returns the requests in quarantine."""
        return [
            self.suspicion(identity)
            for identity in self._suspects
            if self.is_quarantined(identity)
        ]

    def take_news(self, most: int) -> list[Suspicion]:
        """Returns some of what peers were not told; it counts as told now."""
        taken = list(self._untold)[:most]
        for identity in taken:
            del self._untold[identity]
        if not self._untold:
            self.news.clear()
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

    def grave(self, most: int, *, age: datetime.timedelta) -> list[Suspicion]:
        """Returns what peers should know, the most suspect first.

        Args:
            most: The most to return.
            age: Leave out what one replica has ended under if it is older.
        """
        now = self._clock.monotonic()
        wanted = [
            self.suspicion(suspicion.identity)
            for suspicion in self._suspects.values()
            if len(suspicion.ends) > 1
            or (suspicion.ends and now - suspicion.last_at <= age)
        ]
        wanted.sort(key=lambda s: (s.weight, s.last_at), reverse=True)
        return wanted[:most]

    def _counted_from(
        self, cleared_at: datetime.timedelta | None
    ) -> datetime.timedelta:
        """Returns the moment up to which ends of replicas don't count."""
        oldest = self._clock.monotonic() - KEPT_FOR
        if cleared_at is None:
            return oldest
        return max(oldest, cleared_at + ANSWERED_LATELY)

    def _clear(self, known: Suspicion, now: datetime.timedelta) -> None:
        logs.note(
            "suspect:cleared",
            identity=known.identity.hex(),
            ends=len(known.ends),
        )
        self._put(Suspicion(identity=known.identity, cleared_at=now))
        self._tell_later(known.identity)

    def _put(self, suspicion: Suspicion) -> None:
        self._suspects[suspicion.identity] = suspicion
        if len(self._suspects) > MOST_SUSPECTS:
            gravest = sorted(
                self._suspects.values(),
                key=lambda s: (s.weight, s.last_at),
                reverse=True,
            )
            self._suspects = {
                s.identity: s for s in gravest[:_KEPT_OF_TOO_MANY]
            }
            self._noticed &= self._suspects.keys()

    def _tell_later(self, identity: bytes) -> None:
        self._untold[identity] = None
        self.news.set()


def _is_news(merged: Suspicion, known: Suspicion) -> bool:
    """Tells whether something was learnt that peers have to know.

    A later time alone is no news: two instances that tell each other of one
    answer would never stop.
    """
    return (
        merged.ends != known.ends
        or (merged.cleared_at is None) != (known.cleared_at is None)
        or (merged.tried_at is None) != (known.tried_at is None)
    )


def _latest(
    *moments: datetime.timedelta | None,
) -> datetime.timedelta | None:
    return max((at for at in moments if at is not None), default=None)


def _united(
    ends: Iterable[ReplicaEnd], told: Iterable[ReplicaEnd]
) -> tuple[ReplicaEnd, ...]:
    """Returns ends of different replicas; the first to be noticed first.

    An end that several requests or instances noticed is one.
    """
    united = {end.replica_hash: end for end in ends}
    for end in told:
        known = united.get(end.replica_hash)
        if known is None:
            united[end.replica_hash] = end
        elif end.begun and not known.begun:
            united[end.replica_hash] = dataclasses.replace(known, begun=True)
    by_time = sorted(united.values(), key=lambda end: end.at)
    return tuple(by_time[:MOST_ENDS])
