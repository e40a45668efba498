"""One stage of one request, and what its attempts are made from."""

from collections.abc import Callable
import dataclasses

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import attempts as attempts_module
from nutmeghook.internal.dispatch import consumers
from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.routing import backends as backends_module
from nutmeghook.internal.routing import versions as versions_module

# Long enough for the start of a system prompt to tell prompt templates apart,
# short enough to be cheap to hash.
_PREFIX_CHARS = 256


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class FallbackAttempt:
    """An abandoned attempt, and the consumer that has its text."""

    attempt: attempts_module.Attempt
    consumer: consumers.Consumer


@dataclasses.dataclass(slots=True, kw_only=True)
class StageCall:
    """One stage of one request.

    Attributes:
        consumer_for: Makes the consumer for a version's text.
        choice: The version chosen last.
        consumer: The consumer of the next attempt.
        tried: Addresses that failed.
        failed_attempts: Attempts that gave no answer.
        granted: Where the next attempt goes, if it was permitted while the
            previous one was in progress.
        fallback: The attempt that gave the answer's text so far, from when it
            is abandoned until another one has begun.
    """

    request: requests.GenerationRequest
    progress: progress_module.Progress
    stage_index: int
    consumer_for: Callable[[engine.ModelVersion], consumers.Consumer]
    choice: versions_module.VersionChoice | None = None
    consumer: consumers.Consumer | None = None
    tried: set[str] = dataclasses.field(default_factory=set)
    failed_attempts: int = 0
    granted: backends_module.Backend | None = None
    fallback: FallbackAttempt | None = None


def backend_criteria(
    call: StageCall, exclude: str = ""
) -> backends_module.BackendCriteria:
    """Returns what the next attempt requires of its backend server."""
    request = call.request
    excluded = call.tried | {exclude} if exclude else call.tried
    return backends_module.BackendCriteria(
        model_version=call.choice.model_version,
        affinity_key=_affinity_key(request),
        priority=request.priority,
        exclude=frozenset(excluded),
    )


def _affinity_key(request: requests.GenerationRequest) -> str:
    """Returns a key shared by requests that share a cached prefix."""
    if request.session:
        return f"{request.team.name}/{request.session}"
    opening = request.messages[0].content[:_PREFIX_CHARS]
    return f"{request.team.name}/{request.template.name}/{opening}"


def generation(call: StageCall) -> engine.Generation:
    """Counts a new attempt and returns what to send for it."""
    request = call.request
    return engine.Generation(
        attempt_id=call.progress.start_attempt(request.request_id),
        model_version=call.choice.model_version,
        messages=request.messages,
        max_tokens=request.max_tokens,
        priority=request.priority,
        # Sessions of the same name of two teams must not share a cached prefix.
        session=f"{request.team.name}/{request.session}"
        if request.session
        else "",
    )


def answer(call: StageCall, last: engine.Chunk) -> answers.GeneratedAnswer:
    """Returns the complete answer, given its last chunk."""
    return answers.GeneratedAnswer(
        text=call.consumer.text(),
        model_version=call.choice.model_version,
        finish=last.finish,
        prompt_tokens=last.prompt_tokens,
        output_tokens=last.token_index + last.tokens,
    )
