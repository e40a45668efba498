"""Client of the ledger's session pins."""

import asyncio
import collections
import datetime
import itertools

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import pins
from nutmeghook.internal.ledger import records
from nutmeghook.internal.ledger import sender as sender_module

_RETRY_AFTER = datetime.timedelta(seconds=1)
_DEFERRED_PAUSE = datetime.timedelta(milliseconds=500)
_DEFERRED_TIMEOUT = datetime.timedelta(seconds=2)
_DEFERRED_BATCH_SIZE = 50


class LedgerSessionPins(pins.SessionPins):
    """Pins in the ledger's log, with a cache for outages.

    The holder is asked every time, and the cache serves only while it does
    not answer. Otherwise, after a version is withdrawn and one instance has
    moved a session, an instance that has not received the withdrawal would
    answer from its cached pin, and the session would switch back and forth.

    Args:
        capacity: Pins in the cache; the least recently used are evicted.
    """

    __slots__ = (
        "_cache",
        "_capacity",
        "_clock",
        "_deferred",
        "_senders",
    )

    def __init__(
        self,
        *,
        senders: tuple[sender_module.PartitionSender, ...],
        clock: clock_module.Clock,
        capacity: int,
    ):
        self._senders = senders
        self._clock = clock
        self._capacity = capacity
        self._deferred: collections.OrderedDict[
            pins.SessionKey, pins.Pinned
        ] = collections.OrderedDict()
        self._cache: collections.OrderedDict[pins.SessionKey, pins.Pinned] = (
            collections.OrderedDict()
        )

    async def pin(
        self,
        key: pins.SessionKey,
        *,
        proposed: engine.ModelVersion,
        unusable: frozenset[engine.ModelVersion],
        revision: int,
        timeout: datetime.timedelta,
    ) -> pins.Pinned:
        """Returns the session's version, pinning one if it has none."""
        request = records.pin_request(
            key,
            proposed=str(proposed),
            unusable=tuple(sorted(str(version) for version in unusable)),
            revision=revision,
        )
        partition = records.partition_of(
            records.pin_key(request), len(self._senders)
        )
        try:
            reply = await self._senders[partition].append(
                request, timeout=timeout
            )
        except sender_module.NotAppendedError as error:
            cached = self._cache.get(key)
            if cached is not None and cached.model_version not in unusable:
                return cached
            raise errors.CodedError(
                code=codes.Code.STORE_OUT,
                detail="the session's pinned version can't be read",
                retry_after=_RETRY_AFTER,
            ) from error
        pinned = pins.Pinned(
            model_version=engine.ModelVersion.parse(reply.model_version),
            revision=reply.revision,
        )
        self._cache_pin(key, pinned)
        return pinned

    def pin_later(
        self,
        key: pins.SessionKey,
        *,
        version: engine.ModelVersion,
        revision: int,
    ) -> None:
        """Pins a session in the background, as soon as that is possible.

        Sessions beyond the capacity are dropped, the oldest first: memory is
        bounded, and an outage may last for hours.
        """
        self._deferred[key] = pins.Pinned(
            model_version=version, revision=revision
        )
        while len(self._deferred) > self._capacity:
            self._deferred.popitem(last=False)

    async def run(self) -> None:
        """Pins deferred sessions, until cancelled."""
        while True:
            await self._clock.sleep(_DEFERRED_PAUSE)
            while self._deferred and await self._pin_deferred():
                pass

    async def _pin_deferred(self) -> bool:
        """Pins up to 50 sessions; returns whether all are durable now."""
        batch = list(
            itertools.islice(self._deferred.items(), _DEFERRED_BATCH_SIZE)
        )
        pinned = await asyncio.gather(
            *(self._pin_one(key, answered) for key, answered in batch)
        )
        return all(pinned)

    async def _pin_one(
        self, key: pins.SessionKey, answered: pins.Pinned
    ) -> bool:
        try:
            await self.pin(
                key,
                proposed=answered.model_version,
                unusable=frozenset(),
                revision=answered.revision,
                timeout=_DEFERRED_TIMEOUT,
            )
        except errors.CodedError:
            return False
        self._deferred.pop(key, None)
        return True

    def _cache_pin(self, key: pins.SessionKey, pinned: pins.Pinned) -> None:
        self._cache[key] = pinned
        self._cache.move_to_end(key)
        while len(self._cache) > self._capacity:
            self._cache.popitem(last=False)
