"""Session pins as each instance uses them."""

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
_LATER_PAUSE = datetime.timedelta(milliseconds=500)
_LATER_TIMEOUT = datetime.timedelta(seconds=2)
_LATER_AT_ONCE = 50


class LedgerSessionPins(pins.SessionPins):
    """Pins in the ledger's log, with the latest ones remembered here.

    The holder is asked every time. The failure: a version is withdrawn, and
    an instance that has heard of it moves a session. Another one has not, and
    remembers the old pin: its answers would go back to the withdrawn version,
    and the session's next one forward again. What is remembered serves only
    while the holder does not answer.

    Args:
        capacity: Pins remembered; the longest unused go first.
    """

    __slots__ = (
        "_capacity",
        "_clock",
        "_later",
        "_remembered",
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
        self._later: collections.OrderedDict[pins.SessionKey, pins.Pinned] = (
            collections.OrderedDict()
        )
        self._remembered: collections.OrderedDict[
            pins.SessionKey, pins.Pinned
        ] = collections.OrderedDict()

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
            remembered = self._remembered.get(key)
            if (
                remembered is not None
                and remembered.model_version not in unusable
            ):
                return remembered
            raise errors.CodedError(
                code=codes.Code.STORE_OUT,
                detail="the session's version can't be found out",
                retry_after=_RETRY_AFTER,
            ) from error
        pinned = pins.Pinned(
            model_version=engine.ModelVersion.parse(reply.model_version),
            revision=reply.revision,
        )
        self._remember(key, pinned)
        return pinned

    def pin_later(
        self,
        key: pins.SessionKey,
        *,
        version: engine.ModelVersion,
        revision: int,
    ) -> None:
        """Has a session pinned as soon as that is possible.

        Sessions beyond the capacity are forgotten, the oldest first: memory
        is bounded, and an outage may last for hours.
        """
        self._later[key] = pins.Pinned(model_version=version, revision=revision)
        while len(self._later) > self._capacity:
            self._later.popitem(last=False)

    async def run(self) -> None:
        """Pins what was left for later, until cancelled."""
        while True:
            await self._clock.sleep(_LATER_PAUSE)
            while self._later and await self._pin_some():
                pass

    async def _pin_some(self) -> bool:
        """Pins a few; returns whether all of them are durable now."""
        chosen = list(itertools.islice(self._later.items(), _LATER_AT_ONCE))
        pinned = await asyncio.gather(
            *(self._pin_now(key, answered) for key, answered in chosen)
        )
        return all(pinned)

    async def _pin_now(
        self, key: pins.SessionKey, answered: pins.Pinned
    ) -> bool:
        try:
            await self.pin(
                key,
                proposed=answered.model_version,
                unusable=frozenset(),
                revision=answered.revision,
                timeout=_LATER_TIMEOUT,
            )
        except errors.CodedError:
            return False
        self._later.pop(key, None)
        return True

    def _remember(self, key: pins.SessionKey, pinned: pins.Pinned) -> None:
        self._remembered[key] = pinned
        self._remembered.move_to_end(key)
        while len(self._remembered) > self._capacity:
            self._remembered.popitem(last=False)
