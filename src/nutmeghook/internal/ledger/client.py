"""Client of the ledger: claims and bills of this instance's requests."""

import asyncio
from collections.abc import Awaitable
import contextlib
import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import directory as directory_module
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import overflow as overflow_module
from nutmeghook.internal.ledger import records
from nutmeghook.internal.ledger import sender as sender_module
from nutmeghook.internal.ledger import settings as settings_module
from nutmeghook.internal.ledger import store_health

_RETRY_PAUSE = datetime.timedelta(milliseconds=200)
_SETTLE_TIMEOUT = datetime.timedelta(seconds=2)


class LedgerClient(ledger.Ledger):
    """Sends claims and bills to the partitions' holders.

    A request without a caller's key needs no claim, as no other instance can
    receive the same identity. Only its bill is written to the store.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_incarnation",
        "_objects_health",
        "_overflow",
        "_random",
        "_senders",
        "_settings",
        "_table_health",
        "_unsettled",
    )

    def __init__(
        self,
        *,
        incarnation: str,
        senders: tuple[sender_module.PartitionSender, ...],
        directory: directory_module.HolderDirectory,
        overflow: overflow_module.BillOverflow,
        table_health: store_health.StoreHealth,
        objects_health: store_health.StoreHealth,
        clock: clock_module.Clock,
        rng: random.Random,
        settings: settings_module.LedgerSettings,
    ):
        self._incarnation = incarnation
        self._senders = senders
        self._directory = directory
        self._overflow = overflow
        self._table_health = table_health
        self._objects_health = objects_health
        self._clock = clock
        self._random = rng
        self._settings = settings
        self._unsettled: set[asyncio.Task[None]] = set()

    @property
    def unsettled(self) -> int:
        """Bills, and claims in doubt, that are not durable yet."""
        return len(self._unsettled)

    def accepting_work(self) -> bool:
        """Whether a bill of new work could be made durable.

        False while both stores are out, or while `max_unsettled` bills and
        claims are pending: work that can't be billed must not start.
        """
        if self._table_health.is_out and self._objects_health.is_out:
            return False
        return len(self._unsettled) < self._settings.max_unsettled

    async def claim(
        self,
        identity: ledger.RequestIdentity,
        *,
        request_id: str,
        timeout: datetime.timedelta,
    ) -> ledger.ClaimResult:
        """Claims the right to run a request; at most one caller wins."""
        if not identity.given_by_caller:
            return ledger.ClaimResult(state=ledger.ClaimState.WON)
        if not self.accepting_work():
            raise self._store_out("too many bills and claims are unsettled")
        claim = records.ClaimRecord(
            team=identity.team,
            key=identity.key,
            body_digest=identity.body_digest,
            request_id=request_id,
            claimant=self._incarnation,
        )
        try:
            reply = await self._sender(identity).append(claim, timeout=timeout)
        except sender_module.NotAppendedError as error:
            if error.in_doubt:
                self._void(identity, request_id)
            raise self._refusal(error) from error
        except asyncio.CancelledError:
            # The caller disconnected; the claim may still take effect.
            self._void(identity, request_id)
            raise
        return ledger.ClaimResult(state=reply.state, answer=reply.answer)

    async def release(
        self, identity: ledger.RequestIdentity, *, request_id: str
    ) -> None:
        """Releases a won claim; the work provably did not run."""
        if identity.given_by_caller:
            await self._settle_within_timeout(
                identity,
                records.ReleaseRecord(
                    team=identity.team, key=identity.key, request_id=request_id
                ),
            )

    async def mark_unknown(
        self, identity: ledger.RequestIdentity, *, request_id: str
    ) -> None:
        """Records that a claimed request was sent and its outcome is lost."""
        if identity.given_by_caller:
            await self._settle_within_timeout(
                identity,
                records.UnknownRecord(
                    team=identity.team, key=identity.key, request_id=request_id
                ),
            )

    async def finish(
        self,
        *,
        bill: ledger.Bill,
        answer: ledger.KeptAnswer | None,
        timeout: datetime.timedelta,
    ) -> None:
        """Makes the bill durable; the last byte is sent only after this."""
        record = records.finish_record(bill, self._without_large_body(answer))
        # A separate task: the work ran, so its bill is retried even if the
        # caller disconnects or the timeout passes.
        task = self._start(self._record_bill(record))
        try:
            await self._clock.wait_for(asyncio.shield(task), timeout)
        except TimeoutError as error:
            raise errors.CodedError(
                code=codes.Code.BILL_UNSETTLED,
                detail=f"the bill was not durable within {timeout}",
                retry_after=self._table_health.suggested_retry_after(),
            ) from error

    async def append_bill(self, record: records.FinishRecord) -> bool:
        """Appends a bill to the log; returns whether it is durable there."""
        try:
            await self._bill_sender(record).append(
                record, timeout=self._settings.append_patience
            )
        except sender_module.NotAppendedError:
            return False
        return True

    async def drain(self, *, timeout: datetime.timedelta) -> None:
        """Waits until nothing is unsettled, for at most `timeout`."""
        give_up_at = self._clock.monotonic() + timeout
        while self._unsettled and self._clock.monotonic() < give_up_at:
            await self._clock.sleep(_RETRY_PAUSE)
        await self._overflow.recover()

    async def _record_bill(self, record: records.FinishRecord) -> None:
        while True:
            if await self.append_bill(record):
                return
            if await self._overflow.put(record):
                return
            await self._pause()

    def _void(self, identity: ledger.RequestIdentity, request_id: str) -> None:
        """Voids a claim in doubt, also if it has yet to take effect."""
        release = records.ReleaseRecord(
            team=identity.team, key=identity.key, request_id=request_id
        )
        self._start(self._settle(identity, release))

    async def _settle_within_timeout(
        self, identity: ledger.RequestIdentity, record: records.Request
    ) -> None:
        """Waits up to 2 s for a record; retries go on in the background."""
        task = self._start(self._settle(identity, record))
        # Until it is durable, the caller's retries get the state `RUNNING`.
        with contextlib.suppress(TimeoutError):
            await self._clock.wait_for(asyncio.shield(task), _SETTLE_TIMEOUT)

    async def _settle(
        self, identity: ledger.RequestIdentity, record: records.Request
    ) -> None:
        while True:
            try:
                await self._sender(identity).append(
                    record, timeout=_SETTLE_TIMEOUT
                )
                return
            except sender_module.NotAppendedError:
                await self._pause()

    def _start(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._unsettled.add(task)
        task.add_done_callback(self._unsettled.discard)
        return task

    def _sender(
        self, identity: ledger.RequestIdentity
    ) -> sender_module.PartitionSender:
        key = records.entry_key(identity.team, identity.key)
        return self._senders[records.partition_of(key, len(self._senders))]

    def _bill_sender(
        self, record: records.FinishRecord
    ) -> sender_module.PartitionSender:
        key = records.entry_key(record.team, record.key)
        if record.given_by_caller:
            partition = records.partition_of(key, len(self._senders))
        else:
            partition = self._directory.local_partition(key)
        return self._senders[partition]

    def _without_large_body(
        self, answer: ledger.KeptAnswer | None
    ) -> ledger.KeptAnswer | None:
        limit = self._settings.kept_answer_bytes
        if answer is None or answer.body is None or len(answer.body) <= limit:
            return answer
        return ledger.KeptAnswer(
            status=answer.status, content_type=answer.content_type, body=None
        )

    async def _pause(self) -> None:
        await self._clock.sleep(_RETRY_PAUSE * (1 + self._random.random()))

    def _store_out(self, detail: str) -> errors.CodedError:
        return errors.CodedError(
            code=codes.Code.STORE_OUT,
            detail=detail,
            retry_after=self._table_health.suggested_retry_after(),
        )

    def _refusal(
        self, error: sender_module.NotAppendedError
    ) -> errors.CodedError:
        if not error.full:
            return self._store_out("the claim could not be made durable")
        return errors.CodedError(
            code=codes.Code.OVERLOADED,
            detail="the ledger can't keep more claims now",
            retry_after=self._table_health.suggested_retry_after(),
        )
