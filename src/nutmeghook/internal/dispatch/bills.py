"""Bills for answers, and for parts received before a disconnect."""

import datetime

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import billing
from nutmeghook.internal.dispatch import meter as meter_module
from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.ledger import ledger as ledger_module
from nutmeghook.internal.observe import events as events_module

# An answer that completes just before its deadline still gets this long for
# its bill: discarding it would cost more than the delay.
MIN_BILL_TIMEOUT = datetime.timedelta(seconds=1)


class Bills:
    """Records bills durably; each request has at most one."""

    __slots__ = ("_clock", "_config", "_events", "_ledger", "_meter")

    def __init__(
        self,
        *,
        ledger: ledger_module.Ledger,
        config: view_module.ConfigView,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        meter: meter_module.Meter,
    ):
        self._ledger = ledger
        self._config = config
        self._clock = clock
        self._events = events
        self._meter = meter

    async def bill_answer(
        self,
        request: requests.GenerationRequest,
        answer: answers.GeneratedAnswer,
        progress: progress_module.Progress,
        kept: ledger_module.KeptAnswer | None,
    ) -> None:
        """Bills a complete answer.

        Raises:
            errors.CodedError: `BILL_UNSETTLED`; the answer must not be given.
        """
        await self._bill_generation(
            request,
            progress_module.Delivered(
                model_version=answer.model_version,
                prompt_tokens=answer.prompt_tokens,
                output_tokens=answer.output_tokens,
            ),
            progress,
            kept,
        )

    async def bill_part(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
    ) -> None:
        """Bills what a caller received before it disconnected.

        Without this, answers would be free to callers that disconnect before
        the last byte. An answer cut short by this instance is not billed.
        """
        if progress.delivered is not None:
            await self._bill_generation(
                request, progress.delivered, progress, None
            )

    async def bill_plain(
        self, request: requests.PlainRequest, answer: plain.PlainAnswer
    ) -> None:
        """Bills a plain service's answer, at a price of zero.

        Raises:
            errors.CodedError: `BILL_UNSETTLED`; the answer must not be given.
        """
        bill = ledger_module.Bill(
            identity=request.identity,
            request_id=request.call.request_id,
            template=request.route.service,
            model_version="",
            prompt_tokens=0,
            output_tokens=0,
            cost_micros=0,
            spent_micros=0,
        )
        kept = None
        if request.identity.given_by_caller:
            kept = ledger_module.KeptAnswer(
                status=answer.status,
                content_type=_content_type(answer),
                body=answer.body,
            )
        await self._finish(bill, kept, request.deadline)

    async def _bill_generation(
        self,
        request: requests.GenerationRequest,
        delivered: progress_module.Delivered,
        progress: progress_module.Progress,
        kept: ledger_module.KeptAnswer | None,
    ) -> None:
        bill = ledger_module.Bill(
            identity=request.identity,
            request_id=request.request_id,
            template=request.template.name,
            model_version=str(delivered.model_version),
            prompt_tokens=delivered.prompt_tokens,
            output_tokens=delivered.output_tokens,
            cost_micros=billing.cost_micros(
                self._config,
                delivered.model_version,
                prompt_tokens=delivered.prompt_tokens,
                output_tokens=delivered.output_tokens,
            ),
            spent_micros=progress.spent_micros,
        )
        await self._finish(bill, kept, request.deadline)

    async def _finish(
        self,
        bill: ledger_module.Bill,
        kept: ledger_module.KeptAnswer | None,
        deadline: datetime.timedelta,
    ) -> None:
        remaining = deadline - self._clock.monotonic()
        await self._ledger.finish(
            bill=bill, answer=kept, timeout=max(remaining, MIN_BILL_TIMEOUT)
        )
        self._meter.answer_billed(
            output_tokens=bill.output_tokens,
            cost_micros=bill.cost_micros,
            spent_micros=bill.spent_micros,
        )
        self._events.record(
            events_module.EventKind.BILL_RECORDED,
            bill.request_id,
            cost_micros=str(bill.cost_micros),
        )


def _content_type(answer: plain.PlainAnswer) -> str:
    for name, value in answer.headers:
        if name.lower() == "content-type":
            return value
    return "application/octet-stream"
