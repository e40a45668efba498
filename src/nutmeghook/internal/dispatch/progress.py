"""Tracks a request's attempts, and the run state that they allow."""

import dataclasses

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Delivered:
    """The part of an answer that the caller has received."""

    model_version: engine.ModelVersion
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """The state of one request.

    Attributes:
        attempts: Attempts started, whatever their outcome.
        possibly_run: Attempts that ran or may have run.
        spent_micros: Cost of all of them, in millionths of a euro.
        used_tokens: Known prompt and output tokens of all of them.
        relayed: Some text of the answer was sent to the caller.
        delivered: How much was sent, as of the attempts that have ended.
        must_finish: Work that cancelling would not undo is under way.
        held: The latest complete answer that was judged too weak; given if no
            later stage's answer begins.
        caller_gone: The request was cancelled because its caller disconnected.
    """

    attempts: int = 0
    possibly_run: int = 0
    spent_micros: int = 0
    used_tokens: int = 0
    relayed: bool = False
    delivered: Delivered | None = None
    must_finish: bool = False
    held: answers.GeneratedAnswer | None = None
    caller_gone: bool = False

    def start_attempt(self, request_id: str) -> str:
        """Counts an attempt as possibly run and returns its id.

        It is counted before it is sent, so that a failure in between is
        reported as `unknown` rather than as a false `not_run`.
        """
        self.attempts += 1
        self.possibly_run += 1
        return f"{request_id}/{self.attempts}"

    def attempt_not_run(self) -> None:
        """Uncounts an attempt that provably did not run."""
        self.possibly_run -= 1

    def final_error(
        self, error: errors.CodedError, *, may_be_sent_again: bool
    ) -> errors.CodedError:
        """Returns the error that is correct for the whole request.

        An error describes only the step that raised it: a refusal at a later
        step, such as a retry without a backend server, must not say `not_run`
        if an earlier attempt may have run.

        Args:
            error: The error of the last step.
            may_be_sent_again: Whether the caller may repeat what may have
                run; if not, the error has no Retry-After.
        """
        if not self.possibly_run:
            return error
        code, state = error.code, error.run_state
        if code.run_state is codes.RunState.NOT_RUN:
            code = _code_once_sent(code)
        if state is codes.RunState.NOT_RUN:
            state = codes.RunState.UNKNOWN
        return errors.CodedError(
            code=code,
            detail=error.detail,
            retry_after=error.retry_after if may_be_sent_again else None,
            run_state=state,
        )


def _code_once_sent(code: codes.Code) -> codes.Code:
    """Returns the code of a refusal once an attempt may have run.

    A refused retry must not keep the refusal's code, such as 403 for a route
    that was removed: callers that go by the status would take the call for not
    run, though the body says `unknown`. A retry is only made after a backend
    server failed, so that is reported, whatever refused the retry.
    """
    if code is codes.Code.DEADLINE_BEFORE_RUN:
        return codes.Code.DEADLINE_DURING_RUN
    return codes.Code.BACKEND_FAILED
