"""Collects all log lines about one request from all instances' logs."""

from collections.abc import Iterable
import dataclasses
import heapq

from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import state_records

Line = log_reading.Line

# Lines that concern every request of their instance.
_RELEVANT_TO_ALL = (
    state_records.ConfigurationInForce,
    state_records.EvacuationChange,
    state_records.LinesDropped,
    state_records.ProcessChange,
    state_records.RollOutChange,
    state_records.StoreChange,
)

_REPLICA_RECORDS = (
    log_records.AttemptSent,
    log_records.AttemptAnswered,
    log_records.AttemptLeft,
)

# States of a replica that hold beside its entry in the list.
_OWN_SUBJECTS = (
    log_decoding.REPLICA_COLD,
    log_decoding.REPLICA_RATE_LIMIT,
    log_decoding.REPLICA_REST,
    log_decoding.REPLICA_SENDER,
    log_decoding.REPLICA_SPEED,
    log_decoding.REPLICA_UNREADABLE_SIGNAL,
)


@dataclasses.dataclass(slots=True, kw_only=True)
class InstanceTrace:
    """An instance's lines about a request, and about its own state then.

    Attributes:
        instance: The instance's name.
        request_lines: The lines about the request, in the order logged.
        replicas: The replicas of the request's attempts, and those that it was
            held back from.
        arrived_s: When the request arrived; if not known, the time of its
            first line.
        until_s: The time of the request's last line. For a request without an
            end, when the process started again, or the log's end.
        log: A summary of the instance's log.
        state_changes: Other lines between arrival and end that are relevant
            to the request.
        earlier_state: The newest relevant line before the arrival, by subject.
        has_start: The process's start, before the arrival, is in the log.
        services: The services of the replicas, as far as they were logged.
    """

    instance: str
    request_lines: list[Line]
    replicas: frozenset[str]
    arrived_s: float
    until_s: float
    log: log_reading.Summary
    state_changes: list[Line] = dataclasses.field(default_factory=list)
    earlier_state: dict[str, Line] = dataclasses.field(default_factory=dict)
    has_start: bool = False
    services: set[str] = dataclasses.field(default_factory=set)

    @property
    def records(self) -> list[log_records.RequestRecord]:
        """The request's records."""
        return [line.record for line in self.request_lines]

    @property
    def has_arrival(self) -> bool:
        """Whether some line tells when the request arrived."""
        return any(
            isinstance(record, log_records.RequestEnded)
            and record.duration_ms is not None
            for record in self.records
        )

    @property
    def is_ended(self) -> bool:
        """Whether the request's last line is that of its end."""
        return isinstance(self.records[-1], log_records.RequestEnded)

    @property
    def admitted_by(self) -> int | None:
        """The configuration that admitted the request; None if not logged."""
        ends = [
            r for r in self.records if isinstance(r, log_records.RequestEnded)
        ]
        # Later attempts name the configuration in force by then.
        first = [
            record
            for record in self.records
            if isinstance(record, log_records.AttemptSent)
            and record.attempt == 1
        ]
        for record in (*ends, *first):
            if record.configuration is not None:
                return record.configuration
        return None

    @property
    def missing_attempts(self) -> list[int]:
        """The numbers of attempts that lack a line of their sending."""
        sent, known = set(), set()
        for record in self.records:
            if isinstance(record, log_records.AttemptRecord):
                known.add(record.attempt)
            if isinstance(record, log_records.AttemptSent):
                sent.add(record.attempt)
            if isinstance(record, log_records.RequestEnded):
                known.add(record.attempts or 0)
        return [n for n in range(1, max(known, default=0) + 1) if n not in sent]

    def believed_speed(self, sending: Line) -> Line | None:
        """Returns the last line about a replica's speed before a sending.

        None if none is logged: the replica was taken for an average one, or
        the line is missing.
        """
        known = [*self.earlier_state.values(), *self.state_changes]
        lines = [
            line
            for line in known
            if line.record.event == log_decoding.REPLICA_SPEED
            and line.record.replica == sending.record.replica
            and line.number < sending.number
        ]
        return max(lines, key=lambda line: line.number, default=None)

    def lines(self) -> list[Line]:
        """Returns all lines from the arrival on, in the order logged."""
        return sorted(
            self.request_lines + self.state_changes,
            key=lambda line: line.number,
        )

    def add_line(self, line: Line) -> None:
        """Adds another line of the instance, if relevant to the request."""
        record = line.record
        if not self._is_relevant(record) or line.at_s > self.until_s:
            return
        if isinstance(record, state_records.ReplicaChange) and record.service:
            self.services.add(record.service)
        is_start = record.event == log_decoding.STARTED
        if line.at_s >= self.arrived_s:
            self.state_changes.append(line)
            if is_start and line.number > self.request_lines[-1].number:
                # Later lines are by a new process without this request.
                self.until_s = line.at_s
            return
        if is_start:
            self.has_start = True
            self.earlier_state.clear()
        subject = _subject(record)
        if subject is not None:
            self.earlier_state[subject] = line

    def _is_relevant(self, record: log_records.Record) -> bool:
        if isinstance(record, state_records.ReplicaChange):
            return record.replica in self.replicas
        return isinstance(record, _RELEVANT_TO_ALL)


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestTrace:
    """A request's traces on all instances; none if no line names it."""

    request: str
    traces: list[InstanceTrace]

    def lines(self) -> list[tuple[InstanceTrace, Line]]:
        """Returns all lines from the arrival on, in order of time.

        Lines of one instance keep the order in which it logged them, also
        where its wall clock was set back.
        """
        by_instance = [
            [(trace, line) for line in trace.lines()] for trace in self.traces
        ]
        return list(heapq.merge(*by_instance, key=lambda pair: pair[1].at_s))


def gather(files: log_reading.LogFiles, request: str) -> RequestTrace:
    """Reads a request's traces.

    The files are read twice: which other lines are relevant, and in which
    period, is known only from the request's own lines.
    """
    request_lines: dict[log_reading.Source, list[Line]] = {}
    for line in files.lines():
        record = line.record
        if (
            isinstance(record, log_records.RequestRecord)
            and record.request == request
        ):
            request_lines.setdefault(line.source, []).append(line)
    names = files.names()
    traces = {
        source: _trace(
            names[source], request_lines[source], files.summaries[source]
        )
        for source in sorted(
            request_lines, key=lambda source: (names[source], source)
        )
    }
    if traces:
        _add_state_changes(
            traces,
            files.lines({source.path for source in request_lines}),
        )
    return RequestTrace(request=request, traces=list(traces.values()))


def _trace(
    name: str, request_lines: list[Line], log: log_reading.Summary
) -> InstanceTrace:
    arrivals = [
        line.at_s - line.record.duration_ms / 1000.0
        for line in request_lines
        if isinstance(line.record, log_records.RequestEnded)
        and line.record.duration_ms is not None
    ]
    trace = InstanceTrace(
        instance=name,
        request_lines=request_lines,
        replicas=frozenset(
            replica
            for line in request_lines
            for replica in _named_replicas(line.record)
        ),
        arrived_s=min([*arrivals, request_lines[0].at_s]),
        until_s=request_lines[-1].at_s,
        log=log,
    )
    if not trace.is_ended:
        trace.until_s = max(log.last_s, trace.until_s)
    return trace


def _named_replicas(record: log_records.Record) -> list[str]:
    """Returns the replicas that a request's line is about."""
    if isinstance(record, log_records.RequestHeldBack):
        return record.replicas or []
    return [record.replica] if isinstance(record, _REPLICA_RECORDS) else []


def _add_state_changes(
    traces: dict[log_reading.Source, InstanceTrace],
    lines: Iterable[Line],
) -> None:
    for line in lines:
        trace = traces.get(line.source)
        if trace is not None:
            trace.add_line(line)


def _subject(record: log_records.Record) -> str | None:
    """Returns the subject whose earlier line this record replaces."""
    if isinstance(record, state_records.ConfigurationInForce):
        return "configuration"
    if record.event in (log_decoding.STORE_AWAY, log_decoding.STORE_BACK):
        return "store"
    if record.event in _OWN_SUBJECTS:
        return f"{record.event} {record.replica}"
    if isinstance(record, state_records.ReplicaChange):
        return f"replica {record.replica}"
    if isinstance(record, state_records.EvacuationChange):
        return f"data centre {record.data_centre}"
    if isinstance(record, state_records.ProcessChange):
        return record.event.partition(":")[0]
    if isinstance(record, state_records.RollOutChange) and record.service:
        return f"{record.event} {record.service}"
    return None
