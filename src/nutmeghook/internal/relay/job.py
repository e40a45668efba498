"""What is known of a request while it is under way."""

import dataclasses
import datetime

from nutmeghook.internal.foundation import identities
from nutmeghook.internal.relay import incoming as incoming_module
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import outcomes

_FIRST_OTHER_STATUS = 300
_FIRST_FAILURE_STATUS = 500


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Grant:
    """Leave for one further attempt, all that it needs included."""

    service: str
    choice: choice_module.Choice


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class FallbackReplica:
    """Where work was given up, and leave to have it done there again."""

    service: str
    replica_id: str
    model_index: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class WholeAnswer:
    """A replica's answer with its whole body."""

    status: int
    headers: wire.Headers
    body: bytes

    @property
    def succeeded(self) -> bool:
        """Tells whether the replica did what it was asked."""
        return self.status < _FIRST_OTHER_STATUS

    @property
    def failed(self) -> bool:
        """Tells whether the replica reports a failure of its own."""
        return self.status >= _FIRST_FAILURE_STATUS


class Job:
    """A request that was let in, and its attempts so far.

    Attributes:
        admitted_under: Version of the configuration that let it in.
        deadline: Monotonic time at which it gets its final answer at last.
        answered_try: The last attempt whose answer's head has come.
        failure: A replica's own failure, the caller's if nothing better comes.
        grant: Leave for its next attempt, if it was taken before.
        service: The service chosen for it; None before its first attempt.
        model_index: Index into the route's models.
        tried: Ids of the replicas that were tried.
        tries: Attempts of any outcome.
        fallback: To the replica that was left, until another one has begun.
        runs: Attempts that may have run.
        last_event_id: The last event passed on; None before the first.
    """

    __slots__ = (
        "_identity",
        "admitted_under",
        "answered_try",
        "deadline",
        "failure",
        "fallback",
        "grant",
        "incoming",
        "last_event_id",
        "model_index",
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
        admitted_under: int,
    ):
        self._identity: bytes | None = None
        self.admitted_under = admitted_under
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

    @property
    def possibly_run(self) -> bool:
        """Tells whether a replica may have begun to work on it."""
        return self.runs > 0

    @property
    def identity(self) -> bytes:
        """What the request is, the same at each of its caller's attempts."""
        if self._identity is None:
            self._identity = identities.identity_of(
                path=self.incoming.host_name + self.incoming.target,
                caller=self.team.name if self.team else "",
                body=self.incoming.body,
            )
        return self._identity

    @property
    def is_answered(self) -> bool:
        """Tells whether the head of its present attempt's answer has come."""
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

    def note_failure(self, error: outcomes.AttemptError) -> None:
        """Counts how an attempt without an answer ended."""
        if isinstance(error, outcomes.UnknownOutcomeError):
            self.runs += 1
