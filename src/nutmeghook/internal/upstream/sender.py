"""Makes a single attempt on one replica and reports its outcome."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import unreadable_values
from nutmeghook.internal.relay import request_bytes
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import backlog as backlog_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.replicas import send_window
from nutmeghook.internal.replicas import signal_registry
from nutmeghook.internal.upstream import answer_match
from nutmeghook.internal.upstream import cold_watch as cold_watch_module
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import pool as pool_module
from nutmeghook.internal.upstream import reachability as reachability_module

# A request that may run only once goes on a connection that was just used or
# on a new one: a replica may close an idle one as the request is written, and
# then it is unknown whether the request ran.
MAX_IDLE_FOR_ONCE_S = 0.5
MAX_IDLE_S = 60.0
# Whole answers are held in memory until they are checked. Those of plain
# services have some kilobytes; this bounds the memory that a faulty one uses.
MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024
# The body of a refusal, a few bytes long, is read so that its connection can be
# used again.
_MAX_REFUSAL_TIME = datetime.timedelta(milliseconds=200)
# Misdirected request: another replica has the address.
_WRONG_REPLICA_STATUS = 421
_NOT_ACCEPTING = frozenset(
    {
        reachability_module.Reachability.REFUSES,
        reachability_module.Reachability.DARK,
    }
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Carrier:
    """What carries an attempt.

    Attributes:
        connection: None before there is one.
    """

    connection: connection_module.ReplicaConnection | None = None


class Outgoing(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it is sent to a replica.

    Attributes:
        carrier: Set as the attempt gets its connection.
        target: Path and query exactly as the caller sent them.
        repeatable: It may run more than once.
        prefill: Prefill of its prompt; None for a request without one.
        send_slot: Slot in a send window; None if its slots are not counted.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: wire.Headers
    body: bytes
    repeatable: bool
    prefill: backlog_module.Prefill | None = None
    send_slot: send_window.SendSlot | None = None
    carrier: Carrier = msgspec.field(default_factory=Carrier)

    def encoded_head(self) -> bytes:
        """Returns the message up to its body."""
        lines = [f"{self.method} {self.target} HTTP/1.1", f"Host: {self.host}"]
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(self.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1")


class Answer:
    """An answer whose head has arrived.

    Attributes:
        head: Status and headers as the replica sent them.
        facts: What the headers say.
        replica: The replica that answered.
    """

    __slots__ = ("facts", "head", "replica")

    def __init__(
        self,
        *,
        head: connection_module.AnswerHead,
        facts: wire.AnswerFacts,
        replica: replica_module.Replica,
    ):
        self.head = head
        self.facts = facts
        self.replica = replica

    @property
    def is_of_wrong_replica(self) -> bool:
        """Tells whether another replica has the address."""
        return self.head.status == _WRONG_REPLICA_STATUS

    async def read_whole(
        self, held: request_bytes.RequestBytes | None = None
    ) -> bytes:
        """Returns the whole body.

        If the answer states its length, room for all of it is awaited before it
        is read: two answers that each wait for the room that the other has
        would both end at their deadline.

        Args:
            held: What is held for the request; counts the body from now on.
                None for the body of a refusal, which is dropped at once.

        Raises:
            outcomes.UnknownOutcomeError: It is incomplete or too large.
        """
        pieces = []
        read_bytes = 0
        held_bytes_here = 0
        try:
            if held is not None:
                stated = self._stated_length()
                await held.hold_answer(stated)
                held_bytes_here = stated
            while piece := await self.head.read():
                pieces.append(piece)
                read_bytes += len(piece)
                if read_bytes > MAX_WHOLE_ANSWER_BYTES:
                    raise outcomes.NoAnswerError("the answer is too large")
                if held is not None and read_bytes > held_bytes_here:
                    await held.hold_answer(read_bytes - held_bytes_here)
                    held_bytes_here = read_bytes
        except BaseException:
            if held is not None:
                held.release_answer(held_bytes_here)
            raise
        if held is not None:
            held.release_answer(held_bytes_here - read_bytes)
        return b"".join(pieces)

    def _stated_length(self) -> int:
        """Returns the stated length of a body that is still to come.

        Answers to HEAD, and some others, state a length and have no body.

        Raises:
            outcomes.NoAnswerError: It is too large.
        """
        if self.head.is_received:
            return 0
        stated = self.head.header("content-length") or ""
        if not stated.isdecimal():
            return 0
        if int(stated) > MAX_WHOLE_ANSWER_BYTES:
            raise outcomes.NoAnswerError("the answer is too large")
        return int(stated)


class Sender:
    """Makes single attempts and keeps count of them."""

    __slots__ = (
        "_clock",
        "_cold_watch",
        "_directory",
        "_gate",
        "_pool",
        "_signals",
        "_unreadable",
        "_wire_format",
    )

    def __init__(
        self,
        *,
        pool: pool_module.ConnectionPool,
        directory: directory_module.ReplicaDirectory,
        gate: send_gate.SendGate,
        signals: signal_registry.SignalRegistry,
        unreadable: unreadable_values.UnreadableValues,
        cold_watch: cold_watch_module.ColdWatch,
        wire_format: wire.WireFormat,
        clock: clock_module.Clock,
    ):
        self._unreadable = unreadable
        self._cold_watch = cold_watch
        self._pool = pool
        self._directory = directory
        self._gate = gate
        self._signals = signals
        self._wire_format = wire_format
        self._clock = clock

    @contextlib.asynccontextmanager
    async def attempt(
        self, replica: replica_module.Replica, outgoing: Outgoing
    ) -> AsyncIterator[Answer]:
        """Sends once; the answer's body is to be read inside the context.

        Leaving the context early drops the connection, so that the replica
        stops its work.

        Raises:
            outcomes.NotSentError: Nothing was written.
            outcomes.RefusedError: The replica says that it did not run it.
            outcomes.UnknownOutcomeError: It may have run.
        """
        address = replica.entry.address
        connection = None
        answer = None
        replica.in_flight += 1
        self._cold_watch.note_send(replica)
        try:
            with self._prefill(replica, outgoing.prefill):
                connection = await self._connect(replica, outgoing)
                outgoing.carrier.connection = connection
                answer = await self._exchange(connection, replica, outgoing)
            yield answer
        except outcomes.UnknownOutcomeError as error:
            replica.health.note_failure(self._clock.monotonic())
            if isinstance(error, outcomes.NoAnswerError):
                self._unreadable.note(
                    "answer", str(error), source=replica.entry.replica_id
                )
            raise
        finally:
            replica.in_flight -= 1
            if connection is not None:
                self._release(address, connection, answer)

    @contextlib.contextmanager
    def _prefill(
        self,
        replica: replica_module.Replica,
        prefill: backlog_module.Prefill | None,
    ) -> Iterator[None]:
        """Counts a prompt in the prefill backlog until its answer's head.

        An answer's head comes with its first event, so the prefill is done.
        """
        if prefill is None:
            yield
            return
        self._directory.begin_prefill(replica, prefill)
        try:
            yield
        finally:
            self._directory.end_prefill(replica, prefill)

    async def is_unreachable(
        self,
        replica: replica_module.Replica,
        outgoing: Outgoing | None = None,
    ) -> bool:
        """Tells whether attempts to connect to a replica go unanswered.

        A replica that refuses connections is alive: it is leaving, or has
        reached its connection limit, and finishes the work that it has.
        Refusing and unreachable replicas are both ejected, so that they get no
        new requests.

        Args:
            replica: The replica.
            outgoing: A silent attempt there. If only peers reach the replica
                any more, it is lost with its direct connection.
        """
        address = replica.entry.address
        reachability = await self._pool.probe(address)
        if reachability in _NOT_ACCEPTING:
            replica.health.note_unreachable(self._clock.monotonic())
        if reachability is reachability_module.Reachability.BYPASSED:
            connection = outgoing.carrier.connection if outgoing else None
            is_direct = connection is not None and connection.helper is None
            return is_direct and self._pool.paths.is_silent(address)
        return reachability is reachability_module.Reachability.DARK

    def is_path_lost(self, replica: replica_module.Replica) -> bool:
        """Tells whether peers reach a replica that this instance does not."""
        return self._pool.paths.is_bypassed(replica.entry.address)

    async def _connect(
        self, replica: replica_module.Replica, outgoing: Outgoing
    ) -> connection_module.ReplicaConnection:
        max_idle_s = MAX_IDLE_S if outgoing.repeatable else MAX_IDLE_FOR_ONCE_S
        try:
            connection = await self._pool.acquire(
                replica.entry.address,
                request_id=outgoing.request_id,
                max_idle_s=max_idle_s,
            )
        except outcomes.NotSentError:
            replica.health.note_unreachable(self._clock.monotonic())
            raise
        if connection.helper is not None:
            logs.note(
                "attempt:tunnelled",
                request=outgoing.request_id,
                replica=replica.entry.replica_id,
                helper=connection.helper,
            )
        return connection

    async def _exchange(
        self,
        connection: connection_module.ReplicaConnection,
        replica: replica_module.Replica,
        outgoing: Outgoing,
    ) -> Answer:
        if not self._gate.may_write(replica, outgoing.send_slot):
            raise outcomes.NotSentError(
                f"{replica.entry.replica_id} may not be sent to any more"
            )
        sent_at = self._clock.monotonic()
        head = await connection.exchange(
            outgoing.encoded_head(),
            body=outgoing.body,
            has_body=outgoing.method != "HEAD",
            expected=answer_match.ExpectedAnswer(
                request_id=outgoing.request_id,
                read_id=self._wire_format.read_answered_id,
            ),
        )
        facts = self._wire_format.read_answer(head.status, head.headers)
        answer = Answer(head=head, facts=facts, replica=replica)
        self._note_facts(replica, answer, sent_at=sent_at)
        if facts.not_run:
            await self._drop_body(answer)
            raise outcomes.RefusedError(
                f"{replica.entry.replica_id} refused with {head.status} in"
                f" exchange {connection.exchanges} of its connection",
                status=head.status,
                wrong_replica=answer.is_of_wrong_replica,
            )
        return answer

    async def _drop_body(self, answer: Answer) -> None:
        """Reads the body of a refusal; its head alone says what it says."""
        with contextlib.suppress(TimeoutError, outcomes.UnknownOutcomeError):
            await self._clock.wait_for(
                answer.head.read_short(), _MAX_REFUSAL_TIME
            )

    def _note_facts(
        self,
        replica: replica_module.Replica,
        answer: Answer,
        *,
        sent_at: datetime.timedelta,
    ) -> None:
        """Records what an answer's head says of its replica."""
        facts = answer.facts
        for ignored in facts.unreadable:
            self._unreadable.note(
                ignored.field, ignored.value, source=replica.entry.replica_id
            )
        for description in facts.signals.unreadable:
            self._unreadable.count(description.partition(" ")[0])
        if facts.load is not None:
            self._directory.note_load(
                replica,
                running=facts.load.running,
                waiting=facts.load.waiting,
                work_time_percent=facts.load.work_time_percent,
            )
        if facts.cold_left:
            self._directory.note_cold(replica, facts.cold_left)
        if facts.sealed or (facts.not_run and not answer.is_of_wrong_replica):
            self._signals.note_answer(
                replica,
                facts.signals,
                sent_at=sent_at,
                refused=facts.not_run,
            )

    def _release(
        self,
        address: str,
        connection: connection_module.ReplicaConnection,
        answer: Answer | None,
    ) -> None:
        idle_limit_s = answer.facts.idle_limit_s if answer else None
        self._pool.release(address, connection, idle_limit_s=idle_limit_s)
