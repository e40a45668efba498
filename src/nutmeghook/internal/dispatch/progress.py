"""What a request's attempts have done so far, and what may be claimed."""

import dataclasses

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Delivered:
    """The part of an answer that the caller has taken."""

    model_version: engine.ModelVersion
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """Bookkeeping of one request.

    Attributes:
        attempts: Attempts started, whatever became of them.
        possibly_run: Attempts that ran or may have run.
        spent_micros: Cost of all of them.
        used_tokens: Tokens of prompt and output of all of them, as far as
            they are known.
        relayed: Some text of the answer is on its way to the caller.
        delivered: How much, as of the attempts that have ended.
        must_finish: Work that no cancelling would undo is under way.
        held: The latest whole answer that was judged too weak; given if
            nothing better begins.
        caller_left: The request was cancelled because nobody waits for it.
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

        It is counted before it is sent: should anything go wrong in between,
        the caller hears `unknown` rather than a false `not_run`.
        """
        self.attempts += 1
        self.possibly_run += 1
        return f"{request_id}/{self.attempts}"

    def attempt_not_run(self) -> None:
        """Takes back an attempt that provably did not run."""
        self.possibly_run -= 1

    def final_error(
        self, error: errors.CodedError, *, may_be_sent_again: bool
    ) -> errors.CodedError:
        """Returns the error as it is true of the whole request.

        The raiser of an error sees one step; a refusal at a later step (a
        retry that finds no backend server) must not say `not_run` when an
        earlier attempt may have run.

        Args:
            error: What the last step said.
            may_be_sent_again: Whether the caller may repeat what may have
                run; if not, it is not told when to come again.
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
    """Returns what a refusal is called once something may have run.

    The failure: a repeat is refused because the team lost its route. The body
    said `unknown`, but the status, 403, and the time line said "refused", and
    callers that go by the status took the call for not run. A further step is
    taken only after a backend server failed, so that is what they are told,
    whatever refused the step.
    """
    if code is codes.Code.DEADLINE_BEFORE_RUN:
        return codes.Code.DEADLINE_DURING_RUN
    return codes.Code.BACKEND_FAILED
