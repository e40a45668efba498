"""State of a request under way."""

import datetime

import msgspec

from nutmeghook.internal.foundation import identities
from nutmeghook.internal.relay import incoming as incoming_module
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import outcomes

_MILLISECOND = datetime.timedelta(milliseconds=1)
_FIRST_OTHER_STATUS = 300
_FIRST_FAILURE_STATUS = 500
# Prompts have a handful; this bounds what one request adds to the suspects.
_MAX_SHARED_PARTS = 16


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Permission for one further attempt, with its replica chosen."""

    service: str
    choice: choice_module.Choice


class FallbackReplica(msgspec.Struct, frozen=True, kw_only=True):
    """Replica of an abandoned attempt; a retry is reserved for it."""

    service: str
    replica_id: str
    model_index: int


class WholeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A replica's answer with its whole body."""

    status: int
    headers: wire.Headers
    body: bytes

    @property
    def succeeded(self) -> bool:
        """Tells whether the status is a success."""
        return self.status < _FIRST_OTHER_STATUS

    @property
    def failed(self) -> bool:
        """Tells whether the replica reports a failure of its own."""
        return self.status >= _FIRST_FAILURE_STATUS


class StreamProgress:
    """The events of a stream that were forwarded to its caller.

    Attributes:
        events: How many.
        first_at: Monotonic time of the first one; None before it.
        last_at: Monotonic time of the latest one; None before the first.
    """

    __slots__ = ("events", "first_at", "last_at")

    def __init__(self):
        self.events = 0
        self.first_at: datetime.timedelta | None = None
        self.last_at: datetime.timedelta | None = None

    def note_event(self, now: datetime.timedelta) -> None:
        """Records that an event was forwarded."""
        self.events += 1
        self.last_at = now
        if self.first_at is None:
            self.first_at = now

    @property
    def interval(self) -> datetime.timedelta | None:
        """The mean time between events; None before the second one."""
        if self.events <= 1:
            return None
        return (self.last_at - self.first_at) / (self.events - 1)

    def logged(self, arrived_at: datetime.timedelta) -> dict[str, int]:
        """Returns the fields of a log line; none before the first event.

        Args:
            arrived_at: Monotonic time at which the request arrived.
        """
        if self.first_at is None or self.last_at is None:
            return {}
        fields = {
            "events": self.events,
            "first_event_ms": round(
                (self.first_at - arrived_at) / _MILLISECOND
            ),
            "last_event_ms": round((self.last_at - arrived_at) / _MILLISECOND),
        }
        if self.interval is not None:
            fields["event_interval_ms"] = round(self.interval / _MILLISECOND)
        return fields


class Job:
    """An admitted request and its attempts so far.

    Attributes:
        admission: The configuration that admitted it.
        deadline: Monotonic time by which it gets its final answer.
        answered_at: Monotonic time at which the last head of an answer arrived.
        answered_try: The last attempt whose answer's head has arrived.
        failure: A replica's own failure, forwarded if no attempt succeeds.
        grant: Permission for its next attempt, if obtained before.
        service: The service chosen for it; None before its first attempt.
        model_index: Index into the route's models.
        tried: Ids of the replicas that were tried.
        tries: Attempts of any outcome.
        fallback: The abandoned replica, until another one begins to answer.
        runs: Attempts that may have run.
        last_event_id: The last event forwarded; None before the first.
        progress: The events of its stream that were forwarded.
    """

    __slots__ = (
        "_identity",
        "_part_identities",
        "admission",
        "answered_at",
        "answered_try",
        "deadline",
        "failure",
        "fallback",
        "grant",
        "incoming",
        "last_event_id",
        "model_index",
        "progress",
        "route",
        "runs",
        "service",
        "sink",
        "team",
        "tried",
        "tries",
    )

    def __init__(
        self,
        *,
        incoming: incoming_module.Incoming,
        sink: incoming_module.AnswerSink,
        route: model.Route,
        team: model.Team | None,
        deadline: datetime.timedelta,
        admission: in_force_module.Admission,
    ):
        self._identity: bytes | None = None
        self._part_identities: tuple[bytes, ...] | None = None
        self.admission = admission
        self.answered_at = datetime.timedelta()
        self.answered_try = 0
        self.incoming = incoming
        self.sink = sink
        self.route = route
        self.team = team
        self.deadline = deadline
        self.failure: WholeAnswer | None = None
        self.grant: Grant | None = None
        self.fallback: FallbackReplica | None = None
        self.service: str | None = None
        self.model_index = 0
        self.tried: set[str] = set()
        self.tries = 0
        self.runs = 0
        self.last_event_id: str | None = None
        self.progress = StreamProgress()

    @property
    def may_have_run(self) -> bool:
        """Tells whether a replica may have begun to work on it."""
        return self.runs > 0

    @property
    def identity(self) -> bytes:
        """Digest of the request, the same for each of its caller's retries."""
        if self._identity is None:
            self._identity = identities.identity_of(
                path=self.incoming.host_name + self.incoming.target,
                caller=self.team.name if self.team else "",
                body=self.incoming.body,
            )
        return self._identity

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the prompt's parts but the last, which is its own."""
        prompt = self.incoming.facts.prompt
        if prompt is None:
            return ()
        shared = prompt.parts[:-1][:_MAX_SHARED_PARTS]
        return tuple(part.part_id for part in shared)

    @property
    def part_identities(self) -> tuple[bytes, ...]:
        """Identities of the parts that other requests may have, too."""
        if self._part_identities is None:
            self._part_identities = tuple(
                map(identities.part_identity_of, self.shared_part_ids)
            )
        return self._part_identities

    @property
    def is_answered(self) -> bool:
        """Tells whether the head of its last attempt's answer has arrived."""
        return self.answered_try == self.tries

    @property
    def log_id(self) -> str:
        """The caller's id of the request, for logs."""
        return self.incoming.facts.request_id

    @property
    def input_tokens(self) -> int:
        """Tokens of a generation's prompt; 0 of other requests."""
        prompt = self.incoming.facts.prompt
        return prompt.input_tokens if prompt else 0

    @property
    def output_tokens(self) -> int:
        """The most tokens that it generates; 0 of other requests."""
        prompt = self.incoming.facts.prompt
        return prompt.max_output_tokens if prompt else 0

    def note_answer_begun(self, now: datetime.timedelta) -> None:
        """Records that the head of its last attempt's answer arrived."""
        self.answered_try = self.tries
        self.answered_at = now

    def note_failure(self, error: outcomes.AttemptError) -> None:
        """Counts an attempt without an answer if it may have run."""
        if isinstance(error, outcomes.UnknownOutcomeError):
            self.runs += 1
