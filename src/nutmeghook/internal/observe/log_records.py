"""The relay's log lines about requests, as typed records.

Fields have the names under which they are logged. Those that a line may lack,
or that older versions did not log, are None.
"""

import msgspec


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Any line.

    Attributes:
        event: What happened.
        timestamp_s: The instance's wall clock; missing only in `log:dropped`,
            which the log writer adds by itself.
    """

    event: str = msgspec.field(name="message_type")
    timestamp_s: float | None = msgspec.field(name="timestamp", default=None)


class RequestRecord(Record, frozen=True, kw_only=True):
    """A line about a request."""

    request: str


class AttemptRecord(RequestRecord, frozen=True, kw_only=True):
    """A line about one attempt of a request."""

    attempt: int


class AttemptSent(AttemptRecord, frozen=True, kw_only=True):
    """An attempt was sent, with its forecast.

    Attributes:
        session: Digest of the request's session.
        rate_limit_per_s: The rate limit that its replica had stated, for all
            instances together.
        waiting_ms: Forecast time in the replica's queue.
        reading_ms: Forecast time of prefill.
        kept: Probability that the replica has the prompt prefix cached.
        expected_first_ms: Expected time to the first event or whole answer.
        expected_end_ms: Expected time to the end.
    """

    replica: str
    version: str | None = None
    session: str | None = None
    model: str | None = None
    configuration: int | None = None
    in_flight: int | None = None
    rate_limit_per_s: float | None = None
    after_event: str | None = None
    waiting_ms: float | None = None
    reading_ms: float | None = None
    kept: float | None = None
    expected_first_ms: float | None = None
    expected_end_ms: float | None = None


class AttemptAnswered(AttemptRecord, frozen=True, kw_only=True):
    """A replica began to answer."""

    replica: str
    version: str | None = None
    status: int | None = None
    after_ms: float | None = None
    replica_running: int | None = None
    replica_waiting: int | None = None


class AttemptTunnelled(RequestRecord, frozen=True, kw_only=True):
    """The present attempt goes through a peer.

    Attributes:
        helper: The peer's inner address.
    """

    replica: str
    helper: str


class AttemptWeak(RequestRecord, frozen=True, kw_only=True):
    """An answer of low confidence was replaced by a larger model's."""

    confidence: float | None = None
    model: str | None = None
    next_model: str | None = None
    waiting: float | None = None
    first_event_ms: float | None = None
    generation_ms: float | None = None
    price: float | None = None


class AttemptFailed(AttemptRecord, frozen=True, kw_only=True):
    """An attempt gave no answer."""

    outcome: str
    error: str | None = None


class AttemptLeft(AttemptRecord, frozen=True, kw_only=True):
    """A silent or unreachable replica was given up for another one.

    Attributes:
        dark: It is unreachable; otherwise it is only silent.
        begun: Its answer had begun.
        after_event: Id of the event after which the next attempt resumes.
        silence_ms: The time-out for silence that applied to it.
    """

    replica: str
    dark: bool | None = None
    begun: bool | None = None
    after_event: str | None = None
    silence_ms: float | None = None


class AttemptLost(AttemptRecord, frozen=True, kw_only=True):
    """An attempt's connection was lost, and its replica was probed.

    Attributes:
        identity: The same for all copies of a request.
        prompt_parts: Identities of the parts of its prompt that other requests
            may have, too, by the callers' ids.
        begun: The replica had begun to work on it.
        replica_now: How the replica responded to a new connection.
        restarted: A later start of the replica answered there.
    """

    identity: str
    replica: str
    restarted: bool | None = None
    prompt_parts: dict[str, str] | None = None
    begun: bool | None = None
    replica_now: str | None = None


class AnswerEndUnconfirmed(RequestRecord, frozen=True, kw_only=True):
    """An answer without a length is not known to be complete.

    Attributes:
        replica_now: How its replica responded to a new connection.
        leaving: Its replica had announced that it leaves.
        restarted: A later start of its replica answered there.
    """

    replica: str
    restarted: bool | None = None
    replica_now: str | None = None
    leaving: bool | None = None


class RequestHeldBack(RequestRecord, frozen=True, kw_only=True):
    """A request was rejected while replicas asked for fewer requests.

    Attributes:
        replicas: Those that asked.
        signals: What each of them asked for.
    """

    service: str | None = None
    replicas: list[str] | None = None
    signals: list[str] | None = None


class RequestNoRoom(RequestRecord, frozen=True, kw_only=True):
    """A request was refused for lack of capacity.

    Attributes:
        share: The team's fair share of its service, as cost per second.
        asked_per_s: What the team asks for, as cost per second.
    """

    team: str | None = None
    service: str | None = None
    priority: int | None = None
    share: float | None = None
    asked_per_s: float | None = None
    expected_wait_ms: float | None = None
    retry_after_ms: float | None = None


class RequestCannotEnd(RequestRecord, frozen=True, kw_only=True):
    """A request was refused before it ran, for its expected end.

    Attributes:
        expected_ms: Least expected time to its end, over its route's models.
        left_ms: Time until its deadline.
    """

    expected_ms: float | None = None
    left_ms: float | None = None


class RequestNoMemory(RequestRecord, frozen=True, kw_only=True):
    """A request was refused because too many bytes were held.

    Attributes:
        held_bytes: What was held for all callers and replicas.
        bound_bytes: How many may be held.
    """

    held_bytes: int | None = None
    bound_bytes: int | None = None


class RequestIncompleteAtStop(RequestRecord, frozen=True, kw_only=True):
    """A request was refused as its body had not come before the stop."""


class CallerNotReading(RequestRecord, frozen=True, kw_only=True):
    """An answer was cut because its caller does not read it.

    Attributes:
        held_bytes: What was held for the caller.
        unread_ms: How long the caller had read nothing.
    """

    held_bytes: int | None = None
    unread_ms: float | None = None


class RequestFault(RequestRecord, frozen=True, kw_only=True):
    """An internal error ended the request."""

    trace: str | None = None


class RequestEnded(RequestRecord, frozen=True, kw_only=True):
    """A request ended.

    Attributes:
        team: None if the request was refused before its team was known, or
            its route needs no key.
        cut: An answer that had begun was broken off.
        configuration: The version that admitted it.
        proof_age_ms: How old the last proof was then that there is no newer
            one; -1 if there was none.
        newer_known: A peer had reported a newer one by then.
        identity: The same for all copies of a request.
        events: How many events of a stream were forwarded.
        first_event_ms: When the first of them was.
        last_event_ms: When the last of them was.
        event_interval_ms: The mean time between two of them.
    """

    route: str
    code: int
    outcome: str
    team: str | None = None
    identity: str | None = None
    attempts: int | None = None
    cut: bool | None = None
    configuration: int | None = None
    proof_age_ms: int | None = None
    newer_known: bool | None = None
    duration_ms: float | None = None
    events: int | None = None
    first_event_ms: float | None = None
    last_event_ms: float | None = None
    event_interval_ms: float | None = None


class OtherRequestRecord(RequestRecord, frozen=True, kw_only=True):
    """A line about a request, of an event without a type here.

    Attributes:
        text: The line as it was logged.
    """

    text: str
