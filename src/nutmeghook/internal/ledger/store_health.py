"""Detects outages of the platform's stores, for the whole instance.

Work that depends on a store is refused at once during its outage, so that
waiting requests do not fill the instance's memory.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import random
from typing import TypeVar

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import objects as objects_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module

_ResultT = TypeVar("_ResultT")
Probe = Callable[[], Awaitable[object]]
MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
MAX_RETRY_AFTER = datetime.timedelta(seconds=20)
_JITTER_SHARE = 0.2
# Bounds the calls that wait for a slow store.
_MAX_CONCURRENT_CALLS = 128


class StoreHealth:
    """Counts consecutive failures; probes a store that is out.

    Args:
        name: The store's name on the time line.
        failures_to_out: Consecutive failures after which it counts as out.
        probe: A cheap read; it raises `failures.PlatformError` while out.
        probe_every: Time between probes, with jitter so that instances do not
            return at the same moment.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_failures",
        "_failures_to_out",
        "_name",
        "_out",
        "_out_since",
        "_probe",
        "_probe_every",
        "_random",
    )

    def __init__(
        self,
        *,
        name: str,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        rng: random.Random,
        failures_to_out: int,
        probe: Probe,
        probe_every: datetime.timedelta,
    ):
        self._name = name
        self._clock = clock
        self._events = events
        self._random = rng
        self._failures_to_out = failures_to_out
        self._probe = probe
        self._probe_every = probe_every
        self._failures = 0
        self._out = False
        self._out_since = datetime.timedelta()

    def suggested_retry_after(self) -> datetime.timedelta:
        """Returns the delay before a refused caller should retry.

        At the planned peak, retries after one second would add thousands of
        requests a second that can only be refused again. A long outage is
        likely to go on, so the delay is half the outage's age, within bounds,
        plus jitter of up to half the delay. Retries then stay a fraction of
        the load.
        """
        wait = MIN_RETRY_AFTER
        if self._out:
            age = self._clock.monotonic() - self._out_since
            wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, age / 2))
        return wait * (1 + 0.5 * self._random.random())

    @property
    def is_out(self) -> bool:
        """Whether work that depends on the store should be refused."""
        return self._out

    def record_success(self) -> None:
        """Records that the store answered."""
        self._failures = 0
        if self._out:
            self._out = False
            self._events.record(events_module.EventKind.STORE_BACK, self._name)

    def record_failure(self) -> None:
        """Records that a call failed or timed out."""
        self._failures += 1
        if self._failures >= self._failures_to_out and not self._out:
            self._out = True
            self._out_since = self._clock.monotonic()
            self._events.record(events_module.EventKind.STORE_OUT, self._name)

    async def run(self) -> None:
        """Probes the store while it is out, until cancelled."""
        while True:
            jitter = 1 + _JITTER_SHARE * (2 * self._random.random() - 1)
            await self._clock.sleep(self._probe_every * jitter)
            if self._out:
                await self._probe_once()

    async def _probe_once(self) -> None:
        try:
            await self._probe()
        except failures.PlatformError:
            return
        self.record_success()


class _CallMonitor:
    """Bounds a store's calls in time and number, and reports outcomes."""

    __slots__ = ("_clock", "_health", "_in_flight", "_timeout")

    def __init__(
        self,
        *,
        health: StoreHealth,
        clock: clock_module.Clock,
        timeout: datetime.timedelta,
    ):
        self._health = health
        self._clock = clock
        self._timeout = timeout
        self._in_flight = 0

    async def call(
        self, start: Callable[[], Awaitable[_ResultT]], *, writes: bool
    ) -> _ResultT:
        """Makes a call; a write that times out has an unknown outcome."""
        if self._in_flight >= _MAX_CONCURRENT_CALLS:
            raise failures.NotDoneError(
                f"{_MAX_CONCURRENT_CALLS} calls are waiting already",
                overloaded=True,
            )
        self._in_flight += 1
        try:
            return await self._with_timeout(start(), writes=writes)
        finally:
            self._in_flight -= 1

    async def _with_timeout(
        self, work: Awaitable[_ResultT], *, writes: bool
    ) -> _ResultT:
        try:
            result = await self._clock.wait_for(work, self._timeout)
        except TimeoutError as error:
            self._health.record_failure()
            message = f"no answer within {self._timeout}"
            if writes:
                raise failures.OutcomeUnknownError(message) from error
            raise failures.NotDoneError(message) from error
        except failures.NotDoneError as error:
            if not error.overloaded:
                self._health.record_failure()
            raise
        except failures.OutcomeUnknownError:
            self._health.record_failure()
            raise
        self._health.record_success()
        return result


class MonitoredTable(table_module.TableService):
    """A table service whose every call has a timeout and is counted."""

    __slots__ = ("_monitor", "_table")

    def __init__(
        self,
        *,
        table: table_module.TableService,
        health: StoreHealth,
        clock: clock_module.Clock,
        timeout: datetime.timedelta,
    ):
        self._table = table
        self._monitor = _CallMonitor(
            health=health, clock=clock, timeout=timeout
        )

    async def read(self, key: str) -> table_module.Row | None:
        """Returns the row, or None where there is none."""
        return await self._monitor.call(
            lambda: self._table.read(key), writes=False
        )

    async def scan(
        self, *, prefix: str, after: str = "", limit: int = 1000
    ) -> list[table_module.Row]:
        """Returns rows whose key has the prefix, in order of their keys."""
        return await self._monitor.call(
            lambda: self._table.scan(prefix=prefix, after=after, limit=limit),
            writes=False,
        )

    async def commit(
        self, transaction: table_module.Transaction
    ) -> table_module.CommitResult:
        """Applies the transaction if all its conditions hold."""
        return await self._monitor.call(
            lambda: self._table.commit(transaction),
            writes=True,
        )


class MonitoredObjects(objects_module.ObjectStore):
    """An object store whose every call has a timeout and is counted."""

    __slots__ = ("_monitor", "_objects")

    def __init__(
        self,
        *,
        objects: objects_module.ObjectStore,
        health: StoreHealth,
        clock: clock_module.Clock,
        timeout: datetime.timedelta,
    ):
        self._objects = objects
        self._monitor = _CallMonitor(
            health=health, clock=clock, timeout=timeout
        )

    async def put_if_absent(self, key: str, content: bytes) -> bool:
        """Stores the blob; returns False where the key exists already."""
        return await self._monitor.call(
            lambda: self._objects.put_if_absent(key, content),
            writes=True,
        )

    async def get(self, key: str) -> bytes | None:
        """Returns the blob, or None where there is none."""
        return await self._monitor.call(
            lambda: self._objects.get(key), writes=False
        )

    async def list_keys(
        self, *, prefix: str, after: str = "", limit: int = 1000
    ) -> list[str]:
        """Returns the keys with the prefix greater than `after`, in order."""
        return await self._monitor.call(
            lambda: self._objects.list_keys(
                prefix=prefix, after=after, limit=limit
            ),
            writes=False,
        )

    async def delete(self, key: str) -> None:
        """Removes the blob, if it is there."""
        await self._monitor.call(lambda: self._objects.delete(key), writes=True)
