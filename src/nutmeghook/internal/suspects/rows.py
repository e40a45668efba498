"""Persists quarantines in the platform's store.

The instances' own state is lost when all of them end at once. So an instance
that quarantines a request writes a row, and each instance reads the rows once
when it starts; later changes reach it by gossip.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import random
from typing import Annotated

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import stored_json
from nutmeghook.internal.observe import logs
from nutmeghook.internal.suspects import evidence
from nutmeghook.internal.suspects import probes
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.table_replication import restored_rows

TABLE = "quarantine"
_PREFIX = f"{TABLE}/"
# Delays after a failed call. The first is short, since all instances may lose
# power before the next. In an outage all instances of a large fleet retry, and
# gossip works without the store.
_FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=250)
_MAX_RETRY_DELAY = datetime.timedelta(seconds=4)
# Until the rows were read, requests that are quarantined crash replicas.
_MAX_READ_RETRY_DELAY = datetime.timedelta(milliseconds=500)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_MAX_PROBES = 1_000_000
# A suspicion has to fit into one datagram.
_MAX_HASHES = 100
_MAX_IDENTITY_BYTES = 32
# Up to the year 2100.
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=4_102_444_800_000)]
# Peers are told them in 32 signed bits.
_Hash = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]
_Hashes = Annotated[tuple[_Hash, ...], msgspec.Meta(max_length=_MAX_HASHES)]


class _Row(msgspec.Struct, frozen=True, kw_only=True):
    """A quarantine.

    Attributes:
        replica_hashes: Hashes of the replicas that crashed.
        ended_ms: Unix time of the last crash.
        tried_ms: Unix time of the last probe; None if there was none.
        probes: How many probes there were; 0 in rows of older releases.
        is_part: A prompt part is quarantined, not a request.
        request_hashes: Of requests that were lost with the part.
    """

    replica_hashes: _Hashes
    ended_ms: _UnixMs
    tried_ms: _UnixMs | None = None
    probes: Annotated[int, msgspec.Meta(ge=0, le=_MAX_PROBES)] = 0
    is_part: bool = False
    request_hashes: _Hashes = ()


_DECODER = msgspec.json.Decoder(_Row)


class QuarantineRows(restored_rows.RestorableRows):
    """Reads all rows once and writes the changes made by this instance."""

    __slots__ = ("_clock", "_random", "_registry", "_retry_delay", "_table")

    def __init__(
        self,
        *,
        registry: registry_module.SuspectRegistry,
        table: table_module.TableService,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._registry = registry
        self._table = table
        self._clock = clock
        self._random = random_source
        self._retry_delay = _FIRST_RETRY_DELAY

    async def run(self) -> None:
        """Reads the rows, then writes each change until cancelled."""
        while not await self._try(self.read, max_delay=_MAX_READ_RETRY_DELAY):
            pass
        while True:
            await self._registry.unwritten.wait()
            await self._try(self.write)

    async def read(self) -> None:
        """Merges all rows into the registry and deletes expired ones.

        Raises:
            failures.PlatformError: The store did not answer.
        """
        expired = []
        for row in await self._table.scan(prefix=_PREFIX):
            suspicion = self._suspicion(row)
            if suspicion is None:
                expired.append(row.key)
            else:
                self._registry.merge(suspicion)
        if expired:
            await self._table.commit(
                table_module.Transaction(deletes=tuple(expired))
            )

    async def write(self) -> None:
        """Writes the changes made by this instance.

        Raises:
            failures.PlatformError: The store refused the write, or its outcome
                is unknown; a repeated write does no harm.
        """
        for identity in self._registry.unwritten_identities():
            key = _PREFIX + identity.hex()
            if self._registry.is_quarantined(identity):
                value = msgspec.json.encode(self._row(identity))
                put = table_module.Put(key=key, value=value)
                transaction = table_module.Transaction(puts=(put,))
            else:
                transaction = table_module.Transaction(deletes=(key,))
            # A change during the commit has to be written again.
            self._registry.note_written(identity)
            try:
                await self._table.commit(transaction)
            except failures.PlatformError:
                self._registry.write_later(identity)
                raise

    async def write_again(self) -> None:
        """Schedules the quarantines that the store has lost.

        Raises:
            failures.PlatformError: The store did not answer.
        """
        stored = {row.key for row in await self._table.scan(prefix=_PREFIX)}
        for suspicion in self._registry.quarantined():
            if _PREFIX + suspicion.identity.hex() not in stored:
                self._registry.write_later(suspicion.identity)

    async def _try(
        self,
        call: Callable[[], Awaitable[None]],
        *,
        max_delay: datetime.timedelta = _MAX_RETRY_DELAY,
    ) -> bool:
        try:
            await call()
        except failures.PlatformError as error:
            logs.note("quarantine:store_failed", error=str(error))
            await self._clock.sleep(
                self._retry_delay * self._random.uniform(0.5, 1.5)
            )
            self._retry_delay = min(2 * self._retry_delay, max_delay)
            return False
        self._retry_delay = _FIRST_RETRY_DELAY
        return True

    def _row(self, identity: bytes) -> _Row:
        suspicion = self._registry.suspicion(identity)
        return _Row(
            replica_hashes=tuple(
                crash.replica_hash for crash in suspicion.crashes
            ),
            ended_ms=self._unix_ms(suspicion.last_update_at),
            tried_ms=None
            if suspicion.probed_at is None
            else self._unix_ms(suspicion.probed_at),
            probes=suspicion.probes,
            is_part=suspicion.is_part,
            request_hashes=suspicion.request_hashes,
        )

    def _suspicion(self, row: table_module.Row) -> evidence.Suspicion | None:
        """Returns a row's suspicion; None if it is expired or malformed."""
        try:
            found = stored_json.decode(row.value, _DECODER)
            identity = _identity(row.key)
        except ValueError as error:
            logs.note("quarantine:bad_row", key=row.key, error=str(error))
            return None
        at = self._moment(found.ended_ms)
        if self._clock.monotonic() - at >= probes.SUSPICION_LIFETIME:
            return None
        return evidence.Suspicion(
            identity=identity,
            probes=found.probes or int(found.tried_ms is not None),
            is_part=found.is_part,
            request_hashes=found.request_hashes,
            crashes=tuple(
                evidence.ReplicaCrash(replica_hash=h, begun=True, at=at)
                for h in found.replica_hashes
            ),
            probed_at=None
            if found.tried_ms is None
            else self._moment(found.tried_ms),
        )

    def _unix_ms(self, moment: datetime.timedelta) -> int:
        at = self._clock.now() - (self._clock.monotonic() - moment)
        return round(at.timestamp() * 1000)

    def _moment(self, unix_ms: int) -> datetime.timedelta:
        """Converts a row's time to monotonic time, at the latest now.

        Wall clocks may differ between instances, and jump.
        """
        now_ms = self._clock.now().timestamp() * 1000
        return self._clock.monotonic() - max(0, now_ms - unix_ms) * _MILLISECOND


def _identity(key: str) -> bytes:
    """Returns the identity that a row's key names; raises ValueError."""
    identity = bytes.fromhex(key.removeprefix(_PREFIX))
    if not 0 < len(identity) <= _MAX_IDENTITY_BYTES:
        raise ValueError(f"an identity of {len(identity)} bytes")
    return identity
