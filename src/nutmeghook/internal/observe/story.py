"""Gathers a request's whole way from the log lines of all instances."""

from collections.abc import Iterable
import dataclasses
import heapq

from nutmeghook.internal.observe import belief_records
from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import log_records

Line = log_reading.Line

# Lines that bear on every request of their instance.
_BEARS_ON_ALL = (
    belief_records.ConfigurationInForce,
    belief_records.EvacuationChange,
    belief_records.LinesDropped,
    belief_records.ProcessChange,
    belief_records.RollOutChange,
    belief_records.StoreChange,
)

_NAMING_REPLICAS = (
    log_records.AttemptSent,
    log_records.AttemptAnswered,
    log_records.AttemptLeft,
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Visit:
    """What one instance did with a request, and believed meanwhile.

    Attributes:
        instance: Its name.
        own: The lines about the request, as they were logged.
        replicas: Those of the request's attempts.
        arrived_s: When it arrived, or its first line if that is not known.
        until_s: When its last line was logged. Of a request without an end,
            when the process started again, or the log's end.
        log: What is known of the instance's log as a whole.
        beliefs: Lines between arrival and end that bear on the request.
        earlier: The newest line from before the arrival about each subject
            that bears on the request.
        knows_start: The process's start, before the arrival, is in the log.
        services: Those of the replicas of its attempts, as far as was logged.
    """

    instance: str
    own: list[Line]
    replicas: frozenset[str]
    arrived_s: float
    until_s: float
    log: log_reading.Summary
    beliefs: list[Line] = dataclasses.field(default_factory=list)
    earlier: dict[str, Line] = dataclasses.field(default_factory=dict)
    knows_start: bool = False
    services: set[str] = dataclasses.field(default_factory=set)

    @property
    def records(self) -> list[log_records.RequestRecord]:
        """The request's records."""
        return [line.record for line in self.own]

    @property
    def knows_arrival(self) -> bool:
        """Tells whether some line says when the request arrived."""
        return any(
            isinstance(record, log_records.RequestEnded)
            and record.duration_ms is not None
            for record in self.records
        )

    @property
    def is_ended(self) -> bool:
        """Tells whether the request's last line is that of its end."""
        return isinstance(self.records[-1], log_records.RequestEnded)

    @property
    def let_in_by(self) -> int | None:
        """The configuration that let the request in, if a line says so."""
        ends = [
            r for r in self.records if isinstance(r, log_records.RequestEnded)
        ]
        # Later attempts name the one that is in force by then.
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
        """The attempts that were made and whose sending is not in the log."""
        sent, known = set(), set()
        for record in self.records:
            if isinstance(record, log_records.AttemptRecord):
                known.add(record.attempt)
            if isinstance(record, log_records.AttemptSent):
                sent.add(record.attempt)
            if isinstance(record, log_records.RequestEnded):
                known.add(record.attempts or 0)
        return [n for n in range(1, max(known, default=0) + 1) if n not in sent]

    def lines(self) -> list[Line]:
        """Returns all lines from the arrival on, as they were logged."""
        return sorted(self.own + self.beliefs, key=lambda line: line.number)

    def take(self, line: Line) -> None:
        """Takes in another line of the instance, if it bears on the request."""
        record = line.record
        if not self._bears(record) or line.at_s > self.until_s:
            return
        if isinstance(record, belief_records.ReplicaChange) and record.service:
            self.services.add(record.service)
        is_start = record.event == log_decoding.STARTED
        if line.at_s >= self.arrived_s:
            self.beliefs.append(line)
            if is_start and line.number > self.own[-1].number:
                # What comes now is another process's, without this request.
                self.until_s = line.at_s
            return
        if is_start:
            self.knows_start = True
            self.earlier.clear()
        subject = _subject(record)
        if subject is not None:
            self.earlier[subject] = line

    def _bears(self, record: log_records.Record) -> bool:
        if isinstance(record, belief_records.ReplicaChange):
            return record.replica in self.replicas
        return isinstance(record, _BEARS_ON_ALL)


@dataclasses.dataclass(slots=True, kw_only=True)
class Story:
    """A request's way over all instances; no visits if no line names it."""

    request: str
    visits: list[Visit]

    def lines(self) -> list[tuple[Visit, Line]]:
        """Returns all lines from the arrival on, in order of time.

        Lines of one instance keep the order in which it logged them, also
        where its wall clock was set back.
        """
        ways = [
            [(visit, line) for line in visit.lines()] for visit in self.visits
        ]
        return list(heapq.merge(*ways, key=lambda pair: pair[1].at_s))


def gather(files: log_reading.LogFiles, request: str) -> Story:
    """Reads a request's story.

    The files are read twice: what bears on a request, and from when to when,
    is known only once its own lines are.
    """
    own: dict[log_reading.Source, list[Line]] = {}
    for line in files.lines():
        record = line.record
        if (
            isinstance(record, log_records.RequestRecord)
            and record.request == request
        ):
            own.setdefault(line.source, []).append(line)
    names = files.names()
    visits = {
        source: _visit(names[source], own[source], files.summaries[source])
        for source in sorted(own, key=lambda source: (names[source], source))
    }
    if visits:
        _add_beliefs(visits, files.lines({source.path for source in own}))
    return Story(request=request, visits=list(visits.values()))


def _visit(name: str, own: list[Line], log: log_reading.Summary) -> Visit:
    arrivals = [
        line.at_s - line.record.duration_ms / 1000.0
        for line in own
        if isinstance(line.record, log_records.RequestEnded)
        and line.record.duration_ms is not None
    ]
    visit = Visit(
        instance=name,
        own=own,
        replicas=frozenset(
            line.record.replica
            for line in own
            if isinstance(line.record, _NAMING_REPLICAS)
        ),
        arrived_s=min([*arrivals, own[0].at_s]),
        until_s=own[-1].at_s,
        log=log,
    )
    if not visit.is_ended:
        visit.until_s = max(log.last_s, visit.until_s)
    return visit


def _add_beliefs(
    visits: dict[log_reading.Source, Visit], lines: Iterable[Line]
) -> None:
    for line in lines:
        visit = visits.get(line.source)
        if visit is not None:
            visit.take(line)


def _subject(record: log_records.Record) -> str | None:
    """Returns what a newer line about the same says anew."""
    if isinstance(record, belief_records.ConfigurationInForce):
        return "configuration"
    if record.event in (log_decoding.STORE_AWAY, log_decoding.STORE_BACK):
        return "store"
    if record.event == log_decoding.REPLICA_COLD:
        return f"{record.event} {record.replica}"
    if isinstance(record, belief_records.ReplicaChange):
        return f"replica {record.replica}"
    if isinstance(record, belief_records.EvacuationChange):
        return f"data centre {record.data_centre}"
    if isinstance(record, belief_records.ProcessChange):
        return record.event.partition(":")[0]
    if isinstance(record, belief_records.RollOutChange) and record.service:
        return f"{record.event} {record.service}"
    return None
