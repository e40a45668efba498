"""Sends an instance's requests to the holders of their partitions.

Requests for one partition share messages. Requests are idempotent by request
id and identity, so sending one again after a lost reply is safe, to the same
holder or to its successor.
"""

import asyncio
import collections
import datetime
import random

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.ledger import directory as directory_module
from nutmeghook.internal.ledger import records
from nutmeghook.internal.ledger import service as service_module
from nutmeghook.internal.ledger import settings as settings_module

_MAX_MESSAGES_IN_FLIGHT = 16
# Even with the largest kept answers the replies fit a frame.
_MAX_MESSAGE_REQUESTS = 200
_RETRY_PAUSE = datetime.timedelta(milliseconds=60)


class NotAppendedError(Exception):
    """A request got no result in time.

    Attributes:
        in_doubt: It may have been recorded, or may still be.
        full: The holder refused because its memory or its queue is full.
    """

    def __init__(self, *, in_doubt: bool, full: bool = False):
        super().__init__(f"no result; in doubt: {in_doubt}, full: {full}")
        self.in_doubt = in_doubt
        self.full = full


class _PendingRequest:
    """One request in flight.

    Attributes:
        in_doubt: A message with it was sent and not answered.
    """

    __slots__ = ("encoded", "in_doubt", "reply", "request")

    def __init__(self, request: records.Request):
        self.request = request
        self.encoded = records.encoder.encode(request)
        self.in_doubt = False
        self.reply: asyncio.Future[records.Result] = (
            asyncio.get_running_loop().create_future()
        )


class PartitionSender:
    """Sends this instance's requests to one partition's holder."""

    __slots__ = (
        "_clock",
        "_directory",
        "_in_flight",
        "_my_address",
        "_partition",
        "_peers",
        "_pending",
        "_random",
        "_service",
        "_settings",
        "_tasks",
    )

    def __init__(
        self,
        *,
        partition: int,
        my_address: str,
        service: service_module.LedgerService,
        directory: directory_module.HolderDirectory,
        peer_caller: peers.PeerCaller,
        clock: clock_module.Clock,
        rng: random.Random,
        settings: settings_module.LedgerSettings,
    ):
        self._partition = partition
        self._my_address = my_address
        self._service = service
        self._directory = directory
        self._peers = peer_caller
        self._clock = clock
        self._random = rng
        self._settings = settings
        self._pending: collections.deque[_PendingRequest] = collections.deque()
        self._in_flight = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def append(
        self, request: records.Request, *, timeout: datetime.timedelta
    ) -> records.Result:
        """Returns the holder's result.

        Raises:
            NotAppendedError: No result came within the timeout, or the
                holder refused.
        """
        item = _PendingRequest(request)
        self._pending.append(item)
        self._start_messages()
        try:
            result = await self._clock.wait_for(item.reply, timeout)
        except TimeoutError as error:
            if item in self._pending:
                self._pending.remove(item)
            raise NotAppendedError(in_doubt=item.in_doubt) from error
        if isinstance(result, records.Refused):
            full = result.reason is records.RefusalReason.FULL
            raise NotAppendedError(in_doubt=item.in_doubt, full=full)
        return result

    def _start_messages(self) -> None:
        """Starts messages while requests wait and fewer than 16 are sent."""
        while self._pending and self._in_flight < _MAX_MESSAGES_IN_FLIGHT:
            self._in_flight += 1
            task = asyncio.ensure_future(self._send_next())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_next(self) -> None:
        try:
            # One iteration of the event loop, so that requests that arrive
            # together share a message.
            await asyncio.sleep(0)
            items = self._next_items()
            if items and not await self._send(items):
                await self._pause()
        finally:
            self._in_flight -= 1
            self._start_messages()

    def _next_items(self) -> list[_PendingRequest]:
        items: list[_PendingRequest] = []
        while self._pending and len(items) < _MAX_MESSAGE_REQUESTS:
            item = self._pending.popleft()
            # A request whose sender timed out is settled by its sender.
            if not item.reply.done():
                items.append(item)
        return items

    async def _send(self, items: list[_PendingRequest]) -> bool:
        """Sends one message; returns whether the holder answered it."""
        address = self._directory.holder(self._partition)
        results = await self._exchange(address, items)
        if results is None:
            self._requeue(items)
            await self._directory.record_miss(self._partition, address, "")
            return False
        return await self._handle_results(address, items, results)

    async def _exchange(
        self, address: str, items: list[_PendingRequest]
    ) -> list[records.Result] | None:
        """Returns the results, or None where none came."""
        in_doubt_before = [item.in_doubt for item in items]
        # In doubt from the moment of sending: a sender that times out now must
        # not conclude that nothing was recorded.
        for item in items:
            item.in_doubt = True
        try:
            results = await self._call(address, items)
        except (
            TimeoutError,
            msgspec.MsgspecError,
            peers.PeerUnreachableError,
            peers.PeerRefusedError,
        ):
            return None
        for item, was_in_doubt in zip(items, in_doubt_before, strict=True):
            item.in_doubt = was_in_doubt
        return results

    async def _call(
        self, address: str, items: list[_PendingRequest]
    ) -> list[records.Result]:
        if address == self._my_address:
            requests = [item.request for item in items]
            return await self._clock.wait_for(
                self._service.append(self._partition, requests),
                self._settings.call_timeout,
            )
        if not address:
            raise peers.PeerUnreachableError("no member is known")
        reply = await self._peers.call(
            address,
            ttypes.LedgerAppend(
                partition=self._partition,
                records=[item.encoded for item in items],
            ),
            timeout=self._settings.call_timeout,
        )
        return records.decode_results(reply.results)

    async def _handle_results(
        self,
        address: str,
        items: list[_PendingRequest],
        results: list[records.Result],
    ) -> bool:
        misdirected: list[_PendingRequest] = []
        hint = ""
        for item, result in zip(items, results, strict=True):
            if isinstance(result, records.NotHolder):
                misdirected.append(item)
                hint = result.inner_address
            elif not item.reply.done():
                item.reply.set_result(result)
        if not misdirected:
            self._directory.record_holder(self._partition, address)
            return True
        self._requeue(misdirected)
        await self._directory.record_miss(self._partition, address, hint)
        return False

    def _requeue(self, items: list[_PendingRequest]) -> None:
        self._pending.extendleft(reversed(items))

    async def _pause(self) -> None:
        await self._clock.sleep(_RETRY_PAUSE * (1 + self._random.random()))
