"""A caller's request as the dispatcher takes it: validated and complete."""

import dataclasses
import datetime

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.ledger import ledger


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class GenerationRequest:
    """A request for a model's answer.

    Attributes:
        identity: What it has in common with its retries.
        team: The token's team, as configured on arrival.
        token_sha256: Digest of its token, as in the team's entry.
        session: The caller's session id; empty for none.
        priority: 0 to 9, never above the template's.
        arrived: Monotonic time of arrival.
        deadline: Monotonic time at which the answer is useless.
    """

    request_id: str
    identity: ledger.RequestIdentity
    team: documents.Team
    token_sha256: str
    template: documents.Template
    messages: tuple[engine.Message, ...]
    prompt_chars: int
    max_tokens: int
    session: str
    priority: int
    arrived: datetime.timedelta
    deadline: datetime.timedelta

    @property
    def target(self) -> str:
        """What the caller asked for, as metrics name it."""
        return self.template.name

    @property
    def may_be_sent_again(self) -> bool:
        """Whether a caller may repeat it after its outcome was lost.

        A generation has no effect but its answer. With an idempotency key,
        though, a repeat is only told that the first try's outcome is unknown.
        """
        return not self.identity.given_by_caller

    @property
    def prompt_tokens_estimate(self) -> int:
        """An estimate, for attempts whose engine did not report the size."""
        return self.prompt_chars // _CHARS_PER_TOKEN + 1


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PlainRequest:
    """A request for a plain service's answer.

    Attributes:
        token_sha256: Digest of its token, as in the team's entry.
        arrived: Monotonic time of arrival.
        deadline: Monotonic time at which the answer is useless.
    """

    identity: ledger.RequestIdentity
    team: documents.Team
    token_sha256: str
    route: documents.PlainRoute
    call: plain.PlainCall
    priority: int
    arrived: datetime.timedelta
    deadline: datetime.timedelta

    @property
    def request_id(self) -> str:
        """The id generated on arrival."""
        return self.call.request_id

    @property
    def target(self) -> str:
        """What the caller asked for, as metrics name it."""
        return self.route.service

    @property
    def may_be_sent_again(self) -> bool:
        """Whether a caller may repeat it after its outcome was lost."""
        return self.route.repeatable and not self.identity.given_by_caller


# A rule of thumb for Latin scripts.
_CHARS_PER_TOKEN = 4
