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

    A pin never changes but by a withdrawal, and the caller says which
    versions are withdrawn: so a remembered pin is as good as the log's.

    Args:
        refresh_after: A remembered pin older than this is asked for again,
            so that its holder sees that the session is in use.
        capacity: Pins remembered; the longest unused go first.
    """

    __slots__ = (
        "_capacity",
        "_clock",
        "_later",
        "_refresh_after",
        "_remembered",
        "_senders",
    )

    def __init__(
        self,
        *,
        senders: tuple[sender_module.PartitionSender, ...],
        clock: clock_module.Clock,
        refresh_after: datetime.timedelta,
        capacity: int,
    ):
        self._senders = senders
        self._clock = clock
        self._refresh_after = refresh_after
        self._capacity = capacity
        self._later: collections.OrderedDict[
            pins.SessionKey, engine.ModelVersion
        ] = collections.OrderedDict()
        self._remembered: collections.OrderedDict[
            pins.SessionKey, tuple[engine.ModelVersion, datetime.timedelta]
        ] = collections.OrderedDict()

    async def pin(
        self,
        key: pins.SessionKey,
        *,
        proposed: engine.ModelVersion,
        unusable: frozenset[engine.ModelVersion],
        timeout: datetime.timedelta,
    ) -> engine.ModelVersion:
        """Returns the session's version, pinning one if it has none."""
        remembered = self._usable(key, unusable)
        if remembered is not None and self._is_fresh(key):
            return remembered
        request = records.pin_request(
            key,
            proposed=str(proposed),
            unusable=tuple(sorted(str(version) for version in unusable)),
        )
        partition = records.partition_of(
            records.pin_key(request), len(self._senders)
        )
        try:
            reply = await self._senders[partition].append(
                request, timeout=timeout
            )
        except sender_module.NotAppendedError as error:
            if remembered is not None:
                return remembered
            raise errors.CodedError(
                code=codes.Code.STORE_OUT,
                detail="the session's version can't be found out",
                retry_after=_RETRY_AFTER,
            ) from error
        version = engine.ModelVersion.parse(reply.model_version)
        self._remember(key, version)
        return version

    def pin_later(
        self, key: pins.SessionKey, *, version: engine.ModelVersion
    ) -> None:
        """Has a session pinned as soon as that is possible.

        Sessions beyond the capacity are forgotten, the oldest first: memory
        is bounded, and an outage may last for hours.
        """
        self._later[key] = version
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
            *(self._pin_now(key, version) for key, version in chosen)
        )
        return all(pinned)

    async def _pin_now(
        self, key: pins.SessionKey, version: engine.ModelVersion
    ) -> bool:
        try:
            await self.pin(
                key,
                proposed=version,
                unusable=frozenset(),
                timeout=_LATER_TIMEOUT,
            )
        except errors.CodedError:
            return False
        self._later.pop(key, None)
        return True

    def _usable(
        self, key: pins.SessionKey, unusable: frozenset[engine.ModelVersion]
    ) -> engine.ModelVersion | None:
        found = self._remembered.get(key)
        if found is None or found[0] in unusable:
            return None
        self._remembered.move_to_end(key)
        return found[0]

    def _is_fresh(self, key: pins.SessionKey) -> bool:
        age = self._clock.monotonic() - self._remembered[key][1]
        return age < self._refresh_after

    def _remember(
        self, key: pins.SessionKey, version: engine.ModelVersion
    ) -> None:
        self._remembered[key] = (version, self._clock.monotonic())
        self._remembered.move_to_end(key)
        while len(self._remembered) > self._capacity:
            self._remembered.popitem(last=False)
