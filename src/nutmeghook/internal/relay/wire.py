"""Types for requests and answers, independent of header names.

Callers and replicas of different deployments state the same facts by different
headers. The relay uses these types; an implementation of `WireFormat`
translates.
"""

import abc
from collections.abc import Sequence
import datetime
import enum

import msgspec

from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import signals as signals_module

Headers = Sequence[tuple[str, str]]


class FixedResponse(enum.Enum):
    """Status of a refusal or failure of the relay itself."""

    BAD_REQUEST = 400
    BAD_KEY = 401
    NO_ROUTE = 404
    SLOW_SENDER = 408
    TOO_LARGE = 413
    OVERLOADED = 429
    FAILED_PERHAPS_RUN = 502
    NOT_RUN = 503
    LATE_PERHAPS_RUN = 504


class PromptPart(msgspec.Struct, frozen=True, kw_only=True):
    """A leading part of a prompt; equal ids mean equal text."""

    part_id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a generation, and the prompt parts shared with others."""

    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()


class UnreadableValue(msgspec.Struct, frozen=True, kw_only=True):
    """A header whose value can't be read and is ignored.

    Attributes:
        field: The header's name.
    """

    field: str
    value: str


class CallerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller's headers say.

    Attributes:
        request_id: The caller's id for this try; empty if it gave none.
        time_left: How long the caller waits; None if it does not say.
        api_key: The team's key; None if there is none.
        session: Requests of one session stay on one version.
        any_model: The caller leaves the choice of the model to the router.
        last_event_id: The stream resumes after this event.
        forwarded: The headers that are passed to the replica unchanged.
        unreadable: Headers that are ignored.
    """

    request_id: str
    time_left: datetime.timedelta | None
    api_key: str | None
    session: str | None
    any_model: bool
    prompt: Prompt | None
    last_event_id: str | None
    forwarded: Headers
    unreadable: tuple[UnreadableValue, ...] = ()


class AttemptFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What an attempt's headers say in addition to the caller's own.

    Attributes:
        replica_id: The replica meant; another one at its address refuses.
        time_left: When it passes, the replica stops.
        urgency: 0 is the most urgent, 9 the least.
        last_event_id: The event after which a stream is resumed; None leaves
            what the caller sent.
    """

    replica_id: str
    time_left: datetime.timedelta
    team: str | None
    urgency: int | None
    model: str | None
    last_event_id: str | None


class ReportedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A replica's own count of its work.

    Attributes:
        work_time_percent: How long work takes there at this moment, 100 as
            usual; None if the replica does not say, as on a machine of its own.
    """

    running: int
    waiting: int
    slots: int
    work_time_percent: float | None = None


class AnswerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What an answer's headers say.

    Attributes:
        not_run: The replica says that it did not run the request.
        sealed: It carries the replica's proof of origin.
        encoded: The body is not as the replica made it.
        confidence: The model's own rating of its answer, 0 to 100.
        idle_limit_s: How long the replica keeps an idle connection open.
        cold_left: How long the replica stays cold; None if it does not say.
        signals: What the replica asks of its senders.
        unreadable: Headers that are ignored, except for signals.
    """

    not_run: bool
    sealed: bool
    encoded: bool
    confidence: int | None
    load: ReportedLoad | None
    idle_limit_s: float | None
    cold_left: datetime.timedelta | None = None
    signals: signals_module.ReplicaSignals = signals_module.NONE
    unreadable: tuple[UnreadableValue, ...] = ()


class WireFormat(abc.ABC):
    """Translates headers of one deployment."""

    @abc.abstractmethod
    def read_caller(self, headers: Headers) -> CallerFacts:
        """Reads a request's headers.

        Raises:
            ValueError: One is malformed; the text says which.
        """

    @abc.abstractmethod
    def attempt_headers(
        self, caller: CallerFacts, attempt: AttemptFacts
    ) -> Headers:
        """Returns the headers of a request to a replica."""

    @abc.abstractmethod
    def probe_headers(
        self, replica_id: str, *, time_left: datetime.timedelta
    ) -> Headers:
        """Returns the headers of a liveness probe.

        Args:
            replica_id: The replica meant; another one at its address refuses.
            time_left: When it passes, the replica rejects the probe.
        """

    @abc.abstractmethod
    def read_start_ms(self, body: bytes) -> int:
        """Returns the start of the replica that sent a probe's answer.

        Args:
            body: Of the answer, or the beginning of it.

        Returns:
            Unix time; 0 if it states none.
        """

    @abc.abstractmethod
    def read_answered_id(self, headers: Headers) -> str | None:
        """Returns the id of the request that an answer is to, if stated."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Reads an answer's headers."""

    @abc.abstractmethod
    def answer_headers(self, headers: Headers) -> Headers:
        """Returns the headers of the answer to the caller."""


def encode_probe(
    wire_format: WireFormat,
    path: str,
    entry: entries.ReplicaEntry,
    *,
    time_left: datetime.timedelta,
) -> bytes:
    """Returns a request that a replica answers without a caller.

    Args:
        wire_format: Names the headers.
        path: What is asked for.
        entry: The replica's.
        time_left: When it passes, the replica rejects the request.
    """
    fields = wire_format.probe_headers(entry.replica_id, time_left=time_left)
    lines = [f"GET {path} HTTP/1.1", f"Host: {entry.address}"]
    lines.extend(f"{name}: {value}" for name, value in fields)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
