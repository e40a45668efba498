"""A replica of the users' platform with fault injection, on a real socket.

It writes HTTP itself, because no library sends wrong framing, a second answer
or a reset within an answer.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import socket
import struct

from nutmeghook.platform import headers
from nutmeghook.standins import loopback_host

# A fall takes so long, and refusals count for so long.
FALL_S = 2.0
REFUSALS_WINDOW_S = 1.0
# More connections than a listener with a backlog of 0 accepts.
_QUEUE_FILLERS = 3
_NO_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReceivedRequest:
    """A request as it was received.

    Attributes:
        connection: Number of the connection, counted from 1.
        arrived_s: Time of arrival on the event loop's clock.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int
    arrived_s: float

    @property
    def request_id(self) -> str:
        """The request id that the caller sent; empty if none."""
        return self.headers.get(headers.REQUEST_ID.lower(), "")

    @property
    def prompt_part_ids(self) -> list[str]:
        """The ids of its prompt's parts."""
        listed = self.headers.get(headers.PROMPT_PARTS.lower(), "")
        return [part.partition(":")[0] for part in listed.split(",")]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Reply:
    """What the replica does with one request.

    Attributes:
        status: Status of the answer.
        body: Body of a whole answer; ignored if there are events.
        events: Numbers of the events of a stream. It starts after the caller's
            last event if the request names one.
        sealed: The answer carries the seal, the replica's proof of origin.
        not_run: The answer states that the request was not run.
        confidence: The model's confidence in the answer.
        framed: The answer has a content length or is chunked.
        send_bytes: The answer ends after so many bytes of the body.
        reset: It ends by a connection reset instead of a close.
        crash: It ends by a crash of the replica.
        answer_id: Another request's id instead of the echoed one.
        extra: Bytes that follow the whole answer.
        late_copy: The head and body follow once more, as the next request on
            the connection arrives; not for a stream.
        copy_delay_s: The copy follows after this time instead, or behind the
            answer that is being sent by then. None for as the next request
            arrives.
        silent: No byte is sent until the caller closes the connection.
        pause_s: Pause before each event.
        padding: Bytes of filler in each event.
        stall_after: No byte follows this many events until the caller closes
            the connection.
    """

    status: int = 200
    body: bytes = b"done"
    events: tuple[int, ...] = ()
    sealed: bool = True
    not_run: bool = False
    confidence: int | None = None
    framed: bool = True
    send_bytes: int | None = None
    reset: bool = False
    crash: bool = False
    answer_id: str | None = None
    extra: bytes = b""
    late_copy: bool = False
    copy_delay_s: float | None = None
    silent: bool = False
    pause_s: float = 0.0
    padding: int = 0
    stall_after: int | None = None


def event(number: int, padding: int = 0) -> bytes:
    """Returns the bytes of the event with a number."""
    filler = b"." * padding
    return b"id: %d\ndata: part %d%b\n\n" % (number, number, filler)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Fall:
    """When a brittle replica fell over.

    Attributes:
        refused_ids: The requests that it had turned away in the second before.
    """

    at_s: float
    refused_ids: tuple[str, ...]


class StandInReplica:
    """Answers requests with a list of replies; the last one repeats.

    Attributes:
        address: Address at which it listens, as `ip:port`.
        received: The requests that it received.
        ran: The ids of the requests that it began to run.
        abandoned: The ids of requests whose caller disconnected before the
            end of the answer.
        crashes: The bodies of the requests that crashed it.
        signals: Headers that its own answers carry in addition.
        slots: How many requests it says to run at once.
        room: How many requests it has at once before it turns further ones
            away; None for no bound.
        brittle: It says that it falls over if it turns more requests away in a
            second, and does; None for a replica that bears any number. With
            one it states its load.
        falls: When it fell over.
        work_time_percent: How long its work takes, in percent of the usual. Its
            own answers state its load with it, and pauses are longer by it.
            None for a replica that states no load.
        answers_probes: It answers liveness probes. If False, it closes their
            connections, as the system does for a process that ends.
        probe_reply: Its answer to liveness probes, with another body if it
            states its start.
        probes: How many liveness probes it has received.
        cold_ms: For how long it stays cold, by its answers to probes; 0 if it
            is not.
        started_ms: The start that it states in its answers to probes; 0 for
            none.
        request_abandoned: Set whenever `abandoned` grows.
        request_received: Set whenever `received` grows.
        crashed: Set once it has crashed or stopped; `restart` clears it.
    """

    __slots__ = (
        "_answering",
        "_connections",
        "_decide",
        "_late_copies",
        "_refused",
        "_replies",
        "_running",
        "_server",
        "_tasks",
        "_unreachable_sockets",
        "_writers",
        "abandoned",
        "address",
        "answers_probes",
        "brittle",
        "cold_ms",
        "crashed",
        "crashes",
        "falls",
        "probe_reply",
        "probes",
        "ran",
        "received",
        "replica_id",
        "request_abandoned",
        "request_received",
        "room",
        "signals",
        "slots",
        "started_ms",
        "work_time_percent",
    )

    def __init__(
        self,
        *,
        replica_id: str,
        decide: Callable[[ReceivedRequest], Reply] | None = None,
    ):
        self.replica_id = replica_id
        self._decide = decide or self._next_reply
        self._replies = [Reply()]
        self._server: asyncio.Server | None = None
        self._connections = 0
        # Numbers of the connections on which an answer has begun.
        self._answering: set[int] = set()
        # By the number of the connection.
        self._late_copies: dict[int, bytes] = {}
        self._running = 0
        self._unreachable_sockets: list[socket.socket] = []
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task] = []
        self.address = ""
        self.received: list[ReceivedRequest] = []
        self.ran: list[str] = []
        self.abandoned: list[str] = []
        self.request_abandoned = asyncio.Event()
        self.request_received = asyncio.Event()
        self.crashed = asyncio.Event()
        self.crashes: list[bytes] = []
        self.signals: tuple[tuple[str, str], ...] = ()
        self.slots = 64
        self.room: int | None = None
        self.brittle: int | None = None
        self.falls: list[Fall] = []
        # When requests were turned away lately, and their ids.
        self._refused: list[tuple[float, str]] = []
        self.work_time_percent: int | None = None
        self.answers_probes = True
        self.probe_reply = Reply(body=b"")
        self.probes = 0
        self.cold_ms = 0
        self.started_ms = 0

    def reply_from(self, replies: list[Reply]) -> None:
        """Takes replies from a list that replicas may share."""
        self._replies = replies

    @property
    def decide(self) -> Callable[[ReceivedRequest], Reply]:
        """Computes each reply."""
        return self._decide

    def decide_by(self, decide: Callable[[ReceivedRequest], Reply]) -> None:
        """Computes each reply from the request."""
        self._decide = decide

    async def start(self) -> None:
        """Listens on a port that the system chooses."""
        await self._listen(loopback_host.own_host(), 0)

    async def _listen(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1024 * 1024
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def refuse_connections(self) -> None:
        """Refuses new connections, as when draining, and keeps open ones."""
        self._server.close()

    def become_unreachable(self) -> None:
        """Lets attempts to connect time out, as a machine without power does.

        Open connections stay open. The system drops connection attempts to a
        listener whose accept queue is full.
        """
        self._server.close()
        host, _, port = self.address.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        self._unreachable_sockets.append(listener)
        for _ in range(_QUEUE_FILLERS):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex((host, int(port)))
            self._unreachable_sockets.append(waiting)

    def crash(self) -> None:
        """Stops listening and aborts all connections, as a crash does."""
        self.crashed.set()
        self._server.close()
        for unreachable in self._unreachable_sockets:
            unreachable.close()
        for writer in self._writers:
            writer.transport.abort()

    async def restart(self, *, replica_id: str) -> None:
        """Listens at the old address after a crash, with a new id."""
        host, _, port = self.address.rpartition(":")
        self.replica_id = replica_id
        self.crashed.clear()
        await self._listen(host, int(port))

    async def stop(self) -> None:
        """Crashes and waits for the tasks of its connections."""
        self.crash()
        await asyncio.gather(*self._tasks)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        number = self._connections
        self._writers.append(writer)
        self._tasks.append(asyncio.current_task())
        try:
            while await self._serve_one(reader, writer, number):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: int,
    ) -> bool:
        request = await _read_request(reader, connection)
        writer.write(self._late_copies.pop(connection, b""))
        if request.target in headers.PROBE_PATHS:
            return await self._answer_probe(request, writer)
        self.received.append(request)
        self.request_received.set()
        reply = self._decide(request)
        expected = request.headers.get(headers.EXPECTED_REPLICA.lower())
        if expected != self.replica_id:
            reply = Reply(status=421, not_run=True, body=b"")
        if self.room is not None and self._running >= self.room:
            reply = Reply(status=503, not_run=True, body=b"")
            self._note_refused(request.request_id)
        if not reply.not_run:
            self.ran.append(request.request_id)
        if self.work_time_percent is not None:
            pause_s = reply.pause_s * self.work_time_percent / 100
            reply = dataclasses.replace(reply, pause_s=pause_s)
        return await self._run(reply, request, reader, writer)

    async def _run(
        self,
        reply: Reply,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Takes a slot and answers; returns whether the connection goes on."""
        self._running += 1
        try:
            if reply.silent:
                await reader.read(1)
                self._record_abandoned(request)
                return False
            self._answering.add(request.connection)
            return await self._answer(reply, request, reader, writer)
        except ConnectionError:
            # A caller that closes a connection with unread bytes resets it.
            self._record_abandoned(request)
            raise
        finally:
            self._running -= 1
            self._answering.discard(request.connection)
            if reply.copy_delay_s is not None:
                asyncio.get_running_loop().call_later(
                    reply.copy_delay_s,
                    self._send_late_copy,
                    request.connection,
                    writer,
                )

    def _send_late_copy(
        self, connection: int, writer: asyncio.StreamWriter
    ) -> None:
        """Sends a copy, unless another answer has begun."""
        if connection not in self._answering and not writer.is_closing():
            writer.write(self._late_copies.pop(connection, b""))

    async def _answer_probe(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        self.probes += 1
        expected = request.headers.get(headers.EXPECTED_REPLICA.lower())
        if not self.answers_probes:
            return False
        reply = self.probe_reply
        if expected not in (None, self.replica_id):
            reply = Reply(status=421, body=b"")
        elif self.started_ms:
            reply = dataclasses.replace(
                reply, body=b'{"born":%d}' % self.started_ms
            )
        stated = ()
        if self.cold_ms:
            stated = ((headers.COLD_LEFT, str(self.cold_ms)),)
        answer = _head(reply, request, stated) + reply.body
        if reply.late_copy:
            self._late_copies[request.connection] = answer
        writer.write(answer)
        await writer.drain()
        return True

    def _stated(self) -> tuple[tuple[str, str], ...]:
        """Returns the headers of its own answers."""
        signals = self.signals
        if self.brittle is not None:
            signals = (*signals, (headers.BRITTLE, str(self.brittle)))
        if self.work_time_percent is None and self.brittle is None:
            return signals
        running = min(self._running, self.slots)
        counts = [running, self._running - running, self.slots]
        if self.work_time_percent is not None:
            counts.append(self.work_time_percent)
        return (*signals, (headers.LOAD, ",".join(map(str, counts))))

    def _note_refused(self, request_id: str) -> None:
        """Counts a request that is turned away; too many fell it."""
        now_s = asyncio.get_running_loop().time()
        oldest_s = now_s - REFUSALS_WINDOW_S
        self._refused = [one for one in self._refused if one[0] > oldest_s]
        self._refused.append((now_s, request_id))
        if self.brittle is None or self.crashed.is_set():
            return
        if len(self._refused) > self.brittle:
            refused_ids = tuple(one for _, one in self._refused)
            self.falls.append(Fall(at_s=now_s, refused_ids=refused_ids))
            self._refused.clear()
            self.crash()
            self._tasks.append(asyncio.create_task(self._stand_up()))

    async def _stand_up(self) -> None:
        await asyncio.sleep(FALL_S)
        await self.restart(replica_id=self.replica_id)

    def _begin_answer(self, reply: Reply, request: ReceivedRequest) -> bytes:
        """Returns an answer's head; keeps the copy that is to follow later."""
        is_own = reply.status != headers.WRONG_REPLICA_STATUS
        head = _head(reply, request, self._stated() if is_own else ())
        if reply.late_copy:
            self._late_copies[request.connection] = head + reply.body
        return head

    def _next_reply(self, request: ReceivedRequest) -> Reply:
        reply = self._replies[0]
        if len(self._replies) > 1:
            self._replies.pop(0)
        return reply

    def _record_abandoned(self, request: ReceivedRequest) -> None:
        self.abandoned.append(request.request_id)
        self.request_abandoned.set()

    async def _answer(
        self,
        reply: Reply,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(self._begin_answer(reply, request))
        sent = 0
        for number, piece in enumerate(_pieces(reply, request)):
            if number == reply.stall_after:
                await reader.read(1)
                self._record_abandoned(request)
                return False
            if reply.pause_s and await _closed_within(reader, reply.pause_s):
                self._record_abandoned(request)
                return False
            if reply.send_bytes is not None:
                piece = piece[: reply.send_bytes - sent]
            sent += len(piece)
            writer.write(_chunk(piece) if _is_chunked(reply) else piece)
            # Waits for a router that does not read.
            await writer.drain()
            if reply.send_bytes is not None and sent >= reply.send_bytes:
                await writer.drain()
                if reply.crash:
                    self.crashes.append(request.body)
                    self.crash()
                else:
                    close_connection(writer, reset=reply.reset)
                return False
        if _is_chunked(reply):
            writer.write(b"0\r\n\r\n")
        writer.write(reply.extra)
        await writer.drain()
        return reply.framed


async def _read_request(
    reader: asyncio.StreamReader, connection: int
) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    fields = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return ReceivedRequest(
        method=method,
        target=target,
        headers=fields,
        body=body,
        connection=connection,
        arrived_s=asyncio.get_running_loop().time(),
    )


def _head(
    reply: Reply,
    request: ReceivedRequest,
    signals: tuple[tuple[str, str], ...],
) -> bytes:
    lines = [f"HTTP/1.1 {reply.status} Stand-in"]
    lines.extend(f"{name}: {value}" for name, value in signals)
    answer_id = reply.answer_id or request.request_id
    if answer_id:
        lines.append(f"{headers.REQUEST_ID}: {answer_id}")
    if reply.sealed and not reply.not_run:
        lines.append(f"{headers.SEAL}: seal-of-{request.request_id}")
    if reply.not_run:
        lines.append(f"{headers.NOT_RUN}: 1")
    if reply.confidence is not None:
        lines.append(f"{headers.CONFIDENCE}: {reply.confidence}")
    if _is_chunked(reply):
        lines.append("Transfer-Encoding: chunked")
    elif reply.framed:
        lines.append(f"Content-Length: {len(reply.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _is_chunked(reply: Reply) -> bool:
    return bool(reply.events) and reply.framed


def _pieces(reply: Reply, request: ReceivedRequest) -> list[bytes]:
    if not reply.events:
        return [reply.body]
    last = int(request.headers.get(headers.LAST_EVENT.lower(), "-1"))
    return [
        event(number, reply.padding) for number in reply.events if number > last
    ]


def _chunk(piece: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(piece), piece) if piece else b""


async def _closed_within(reader: asyncio.StreamReader, pause_s: float) -> bool:
    """Waits; returns whether the caller closed the connection meanwhile."""
    try:
        async with asyncio.timeout(pause_s):
            return await reader.read(1) == b""
    except TimeoutError:
        return False


def close_connection(writer: asyncio.StreamWriter, *, reset: bool) -> None:
    """Closes a connection, optionally by a reset."""
    raw = writer.get_extra_info("socket")
    if reset:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.close()
