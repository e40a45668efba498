"""Finds and quarantines requests and prompt parts that crash replicas.

Callers retry a request that crashes each replica that runs it, at any instance
and with another id each time, and each crash also ends the replica's other
requests.

So when a replica crashes, all requests that it had become suspects, the cause
and the innocent ones beside it. An innocent request is answered by its next
replica, which clears it. One under which replica after replica crashes is
quarantined: it is sent to no replica for a while. If others caused these
crashes, a single probe clears it.

The requests may also be all different and have one part of their prompts in
common. So their parts are suspects as well, and all requests with a part that
is found to be the cause (`evidence.crashing_parts`) are quarantined.
"""

import asyncio
import collections
from collections.abc import Sequence
import datetime

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.suspects import evidence
from nutmeghook.internal.suspects import probes

# A crashing part ends a replica as it begins to answer. After a longer time the
# crash is weaker evidence against parts: something else has ended the replica.
_BEGINNING = datetime.timedelta(seconds=1)
# Memory limits. One crash adds as many suspects as the replica had requests;
# those with the least weight and the oldest crashes are dropped first.
MAX_SUSPECTS = 1000
_SUSPECTS_AFTER_TRIM = 800
MAX_ANSWERED = 4096


class SuspectRegistry:
    """Suspects known to this instance, by the identity of request or part.

    Args:
        clock: Measures time.
        probe_rank: Where this instance stands among those that wait to send a
            probe: from 0, the first, to 1; different on each instance.

    Attributes:
        updates: Set while there are changes not sent to peers.
        unwritten: Set while a quarantine was begun, probed or ended here and
            the store does not have it yet.
    """

    __slots__ = (
        "_answered",
        "_clock",
        "_conclusive",
        "_crashing_parts",
        "_noticed_here",
        "_probe_wait",
        "_suspects",
        "_unsent",
        "_unwritten",
        "unwritten",
        "updates",
    )

    def __init__(self, *, clock: clock_module.Clock, probe_rank: float = 0.0):
        self._clock = clock
        self._probe_wait = probes.own_wait(probe_rank)
        self._suspects: dict[bytes, evidence.Suspicion] = {}
        # When requests and parts were last answered here, the latest at the
        # end.
        self._answered: collections.OrderedDict[bytes, datetime.timedelta] = (
            collections.OrderedDict()
        )
        # The suspects with conclusive evidence, and the parts among them that
        # are found to be causes.
        self._conclusive: set[bytes] = set()
        self._crashing_parts: frozenset[bytes] = frozenset()
        # Suspects with a crash that this instance noticed itself.
        self._noticed_here: set[bytes] = set()
        self._unsent: dict[bytes, None] = {}
        self._unwritten: dict[bytes, None] = {}
        self.updates = asyncio.Event()
        self.unwritten = asyncio.Event()

    def note_crash(
        self,
        identity: bytes,
        *,
        replica_hash: int,
        begun: bool,
        begun_for: datetime.timedelta = datetime.timedelta(),
        sent_at: datetime.timedelta | None = None,
        parts: Sequence[bytes] = (),
    ) -> None:
        """Records that a replica crashed that had a request from here.

        Args:
            identity: The request.
            replica_hash: Identifies the start of the replica.
            begun: It was running the request.
            begun_for: For how long it had been answering.
            sent_at: When the replica was sent the request; None if not known.
            parts: The parts of its prompt that others may have, too.
        """
        crash = evidence.ReplicaCrash(
            replica_hash=replica_hash,
            begun=begun,
            at=self._clock.monotonic(),
            sent_at=sent_at,
        )
        self._note_suspect(
            evidence.Suspicion(identity=identity, crashes=(crash,))
        )
        request_hashes = (evidence.request_hash(identity),)
        part_crash = msgspec.structs.replace(
            crash, begun=begun and begun_for < _BEGINNING, sent_at=None
        )
        for part in parts:
            if not self._is_in_grace(part):
                self._note_suspect(
                    evidence.Suspicion(
                        identity=part,
                        is_part=True,
                        crashes=(part_crash,),
                        request_hashes=request_hashes,
                    )
                )

    def note_answered(
        self, identity: bytes, parts: Sequence[bytes] = ()
    ) -> None:
        """Records that a replica ran a request to its end."""
        now = self._clock.monotonic()
        for answered in (identity, *parts):
            self._answered[answered] = now
            self._answered.move_to_end(answered)
            if len(self._answered) > MAX_ANSWERED:
                self._answered.popitem(last=False)
            known = self._suspects.get(answered)
            if known is not None and known.crashes:
                if self._is_cause(answered):
                    self.write_later(answered)
                self._clear(known, now)

    def merge(self, received: evidence.Suspicion) -> None:
        """Merges evidence about a request or part, from here or from a peer.

        The merge is commutative and idempotent: crashes are a set, and the
        latest answer clears earlier ones. A peer that sent a crash that an
        answer has cleared is sent the answer.
        """
        identity = received.identity
        known = self._suspects.get(
            identity,
            evidence.Suspicion(identity=identity, is_part=received.is_part),
        )
        merged = evidence.merged(known, received)
        cleared_at = evidence.latest(
            merged.cleared_at, self._answered.get(identity)
        )
        merged = msgspec.structs.replace(merged, cleared_at=cleared_at)
        merged = self._without_old(merged)
        is_behind = (
            cleared_at is not None
            and evidence.is_clearly_later(cleared_at, received.cleared_at)
            and not received.replica_hashes <= merged.replica_hashes
        )
        was_quarantined = self._is_cause(identity)
        if merged != known:
            self._put(merged)
        if is_behind or _is_update(merged, known):
            self._send_later(identity)
        if not merged.is_part and not was_quarantined:
            self._note_if_quarantined(merged)

    def suspicion(self, identity: bytes) -> evidence.Suspicion:
        """Returns the evidence that counts now against a request or part."""
        known = self._suspects.get(identity)
        if known is None:
            return evidence.Suspicion(identity=identity)
        return known.since(self._clock.monotonic() - probes.SUSPICION_LIFETIME)

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence against any request or part."""
        return not self._suspects

    def is_suspect(self, identity: bytes, parts: Sequence[bytes] = ()) -> bool:
        """Returns whether a replica has crashed under a request or its parts.

        A part that has just been answered is no suspect.
        """
        return any(self.suspicion(one).crashes for one in (identity, *parts))

    def is_quarantined(
        self, identity: bytes, parts: Sequence[bytes] = ()
    ) -> bool:
        """Returns whether a request must not be sent to any replica."""
        return bool(self._causes(identity, parts))

    def is_probe_due(
        self, identity: bytes, parts: Sequence[bytes] = ()
    ) -> bool:
        """Returns whether a quarantined request may be sent as a probe."""
        causes = self._causes(identity, parts)
        now = self._clock.monotonic()
        # A request with several causes would spend the early probe of a sound
        # part that is shared with crashing requests.
        return bool(causes) and all(
            probes.is_left(cause)
            and now >= probes.due_at(cause, self._probe_wait)
            and (len(causes) == 1 or probes.is_last(cause))
            for cause in causes
        )

    def try_probe(self, identity: bytes, parts: Sequence[bytes] = ()) -> bool:
        """Claims the one probe of a quarantined request if it is due.

        To be called immediately before the send.
        """
        if not self.is_probe_due(identity, parts):
            return False
        now = self._clock.monotonic()
        for cause in self._causes(identity, parts):
            logs.note("suspect:on_trial", identity=cause.identity.hex())
            self._put(
                msgspec.structs.replace(
                    cause, probed_at=now, probes=cause.probes + 1
                )
            )
            self._send_later(cause.identity)
            self.write_later(cause.identity)
        return True

    def refused_for(
        self, identity: bytes, parts: Sequence[bytes] = ()
    ) -> datetime.timedelta:
        """Returns for how much longer a quarantined request is refused."""
        causes = self._causes(identity, parts)
        if not causes:
            return datetime.timedelta()
        until = max(probes.due_at(cause, self._probe_wait) for cause in causes)
        return max(datetime.timedelta(), until - self._clock.monotonic())

    def quarantined(self) -> list[evidence.Suspicion]:
        """Returns the requests and parts in quarantine."""
        return [
            self.suspicion(identity)
            for identity in self._conclusive
            if self._is_cause(identity)
        ]

    def take_updates(self, max_count: int) -> list[evidence.Suspicion]:
        """Returns some changes not sent to peers, and marks them as sent."""
        taken = list(self._unsent)[:max_count]
        for identity in taken:
            del self._unsent[identity]
        if not self._unsent:
            self.updates.clear()
        return [self._suspects[i] for i in taken if i in self._suspects]

    def write_later(self, identity: bytes) -> None:
        """Schedules a write of a quarantine to the store."""
        self._unwritten[identity] = None
        self.unwritten.set()

    def unwritten_identities(self) -> list[bytes]:
        """Returns the suspects whose quarantine has to be written."""
        return list(self._unwritten)

    def note_written(self, identity: bytes) -> None:
        """Records that a quarantine was written to the store."""
        self._unwritten.pop(identity, None)
        if not self._unwritten:
            self.unwritten.clear()

    def most_suspect(
        self, max_count: int, *, age: datetime.timedelta
    ) -> list[evidence.Suspicion]:
        """Returns suspicions to send to peers, the most suspect first.

        Quarantined parts come first, since each concerns many requests.

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
        selected.sort(
            key=lambda s: (
                s.identity in self._crashing_parts,
                s.weight,
                s.last_update_at,
            ),
            reverse=True,
        )
        return selected[:max_count]

    def _note_suspect(self, suspicion: evidence.Suspicion) -> None:
        """Records evidence that this instance noticed itself."""
        self._noticed_here.add(suspicion.identity)
        self.merge(suspicion)
        if self._is_cause(suspicion.identity):
            self.write_later(suspicion.identity)

    def _causes(
        self, identity: bytes, parts: Sequence[bytes]
    ) -> list[evidence.Suspicion]:
        """Returns why a request is quarantined: itself, or parts of it."""
        return [
            self.suspicion(one)
            for one in (identity, *parts)
            if self._is_cause(one)
        ]

    def _is_cause(self, identity: bytes) -> bool:
        """Tells whether a request or part is itself in quarantine."""
        if identity not in self._conclusive:
            return False
        suspicion = self.suspicion(identity)
        if suspicion.is_part and identity not in self._crashing_parts:
            return False
        return suspicion.is_conclusive

    def _is_in_grace(self, identity: bytes) -> bool:
        """Tells whether it was answered here so recently that none counts."""
        answered_at = self._answered.get(identity)
        return (
            answered_at is not None
            and self._clock.monotonic() <= answered_at + evidence.ANSWER_GRACE
        )

    def _without_old(self, suspicion: evidence.Suspicion) -> evidence.Suspicion:
        """Returns it without crashes that count no more."""
        oldest = self._clock.monotonic() - probes.SUSPICION_LIFETIME
        return suspicion.without_answered().since(oldest)

    def _clear(
        self, known: evidence.Suspicion, now: datetime.timedelta
    ) -> None:
        logs.note(
            "suspect:cleared",
            identity=known.identity.hex(),
            ends=len(known.crashes),
        )
        self._put(
            evidence.Suspicion(
                identity=known.identity, is_part=known.is_part, cleared_at=now
            )
        )
        self._send_later(known.identity)

    def _put(self, suspicion: evidence.Suspicion) -> None:
        identity = suspicion.identity
        was_conclusive = identity in self._conclusive
        self._suspects[identity] = suspicion
        if suspicion.is_conclusive:
            self._conclusive.add(identity)
        else:
            self._conclusive.discard(identity)
        if len(self._suspects) > MAX_SUSPECTS:
            self._trim()
        if was_conclusive or suspicion.is_conclusive:
            self._find_crashing_parts()

    def _trim(self) -> None:
        """Drops the least suspect."""
        most_suspect = sorted(
            self._suspects.values(),
            key=lambda s: (s.weight, s.last_update_at),
            reverse=True,
        )
        self._suspects = {
            s.identity: s for s in most_suspect[:_SUSPECTS_AFTER_TRIM]
        }
        self._noticed_here &= self._suspects.keys()
        self._conclusive &= self._suspects.keys()

    def _find_crashing_parts(self) -> None:
        """Finds the causes among the parts anew."""
        known = self._crashing_parts
        found = evidence.crashing_parts(map(self.suspicion, self._conclusive))
        self._crashing_parts = frozenset(part.identity for part in found)
        for part in found:
            if part.identity not in known:
                self._note_if_quarantined(part)

    def _note_if_quarantined(self, suspicion: evidence.Suspicion) -> None:
        """Logs a quarantine that begins, and has it written."""
        identity = suspicion.identity
        if not self._is_cause(identity):
            return
        replicas = [crash.replica_hash for crash in suspicion.crashes]
        if suspicion.is_part:
            logs.note(
                "part:quarantined",
                identity=identity.hex(),
                replicas=replicas,
                lost_requests=round(suspicion.lost_requests),
            )
        else:
            logs.note(
                "request:quarantined",
                identity=identity.hex(),
                replicas=replicas,
            )
        # Every crash may have been noticed by another instance, so that none
        # reaches the quarantine in `note_crash`.
        if identity in self._noticed_here:
            self.write_later(identity)

    def _send_later(self, identity: bytes) -> None:
        self._unsent[identity] = None
        self.updates.set()


def _is_update(merged: evidence.Suspicion, known: evidence.Suspicion) -> bool:
    """Returns whether a merge changed something that peers need.

    Times alone do not count: two instances that send each other the same
    answer or crash would never stop.
    """
    return (
        _replicas(merged) != _replicas(known)
        or merged.request_hashes != known.request_hashes
        or (merged.cleared_at is None) != (known.cleared_at is None)
        or merged.probes != known.probes
    )


def _replicas(suspicion: evidence.Suspicion) -> set[tuple[int, bool]]:
    """Returns which replicas crashed, and whether they were running it."""
    return {(crash.replica_hash, crash.begun) for crash in suspicion.crashes}
