"""Claims idempotency keys, and turns claim states into outcomes."""

import datetime

from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger as ledger_module
from nutmeghook.internal.observe import events as events_module

RETRY_UNBILLABLE = datetime.timedelta(seconds=1)
RETRY_WHILE_RUNNING = datetime.timedelta(seconds=1)
# A claim whose commit is in doubt can be settled only once the store answers
# again. Without this bound, callers with long deadlines would wait through a
# 10 s outage instead of being told when to retry. The ledger voids a claim
# that timed out, so that "not run" stays true.
CLAIM_TIMEOUT = datetime.timedelta(seconds=1)


class Claims:
    """Claims requests that may be retried, and settles those that failed.

    Only a key given by the caller is claimed: an id generated here cannot
    arrive a second time.
    """

    __slots__ = ("_events", "_ledger")

    def __init__(
        self,
        *,
        ledger: ledger_module.Ledger,
        events: events_module.EventRing,
    ):
        self._ledger = ledger
        self._events = events

    async def claim(
        self,
        identity: ledger_module.RequestIdentity,
        *,
        request_id: str,
        timeout: datetime.timedelta,
    ) -> ledger_module.KeptAnswer | None:
        """Returns the first try's answer, or None if this try is to run.

        Raises:
            errors.CodedError: Neither holds; the code says why.
        """
        if not self._ledger.accepting_work():
            # The work could not be billed, so its answer would be withheld
            # until the deadline. The request is refused at once instead.
            raise errors.CodedError(
                code=codes.Code.STORE_OUT,
                detail="no bill can be recorded at present; retry later",
                retry_after=RETRY_UNBILLABLE,
            )
        if not identity.given_by_caller:
            return None
        result = await self._ledger.claim(
            identity, request_id=request_id, timeout=min(timeout, CLAIM_TIMEOUT)
        )
        if result.state is ledger_module.ClaimState.WON:
            self._events.record(
                events_module.EventKind.CLAIM_WON, request_id, key=identity.key
            )
            return None
        self._events.record(
            events_module.EventKind.CLAIM_LOST,
            request_id,
            key=identity.key,
            state=result.state.value,
        )
        return _answer_of_first_try(result)

    async def settle_failed(
        self,
        identity: ledger_module.RequestIdentity,
        *,
        request_id: str,
        progress: progress_module.Progress,
    ) -> None:
        """Releases a claim, or records that its outcome is unknown.

        A failure to settle does not change the error that the caller gets: the
        ledger treats a claim whose holder is gone as unknown.
        """
        if not identity.given_by_caller:
            return
        try:
            if progress.possibly_run:
                await self._ledger.mark_unknown(identity, request_id=request_id)
            else:
                await self._ledger.release(identity, request_id=request_id)
        except errors.CodedError as error:
            self._events.record(
                events_module.EventKind.REQUEST_UNKNOWN,
                request_id,
                claim=error.code.name,
            )


def _answer_of_first_try(
    result: ledger_module.ClaimResult,
) -> ledger_module.KeptAnswer:
    match result.state:
        case ledger_module.ClaimState.ANSWERED:
            if result.answer is None or result.answer.body is None:
                raise errors.CodedError(code=codes.Code.ANSWER_NOT_KEPT)
            return result.answer
        case ledger_module.ClaimState.RUNNING:
            raise errors.CodedError(
                code=codes.Code.ALREADY_RUNNING,
                retry_after=RETRY_WHILE_RUNNING,
            )
        case ledger_module.ClaimState.BODY_DIFFERS:
            raise errors.CodedError(code=codes.Code.KEY_REUSED)
        case _:
            raise errors.CodedError(code=codes.Code.FIRST_TRY_UNKNOWN)
