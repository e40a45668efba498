"""Which backend servers exist, and which of them may take which work.

Updated from the platform's instance list and load reports; read on every
request. Work that grows with the number of backend servers is done when they
change, not when a request is routed.
"""

import collections
from collections.abc import Callable
import datetime

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import load_tracker
from nutmeghook.internal.routing import pools

# If more than this share of the live rows is gone from one list to the next,
# the list is taken to be faulty. A rack or one data centre of three is less.
LIST_FAULT_SHARE = 0.4

# A plain service sends no reports. If the list still shows an instance as live
# this long after it refused work as leaving, it is used again.
LEAVING_TTL = datetime.timedelta(seconds=30)
# The same for an engine whose reports no longer show it as leaving. Those
# measured before it began to leave arrive for a few seconds more.
MAX_REPORT_DELAY = datetime.timedelta(seconds=10)

PoolKey = engine.ModelVersion | str


class BackendDirectory:
    """The backend servers, indexed by model version and by plain service.

    Attributes:
        generation: Counts changes of which backend servers there are and of
            what they serve.
    """

    __slots__ = (
        "_backends",
        "_clock",
        "_events",
        "_fault",
        "_forget_callbacks",
        "_pools",
        "_service_sizes",
        "_tracker",
        "generation",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        tracker: load_tracker.LoadTracker,
    ):
        self._clock = clock
        self._events = events
        self._tracker = tracker
        self._backends: dict[str, backends.Backend] = {}
        self._pools: dict[PoolKey, pools.BackendPool] = {}
        self._service_sizes: collections.Counter[str] = collections.Counter()
        self._forget_callbacks: list[Callable[[backends.Backend], None]] = []
        self._fault = False
        self.generation = 0

    def on_forget(self, callback: Callable[[backends.Backend], None]) -> None:
        """Registers a callback to run for each dropped backend server."""
        self._forget_callbacks.append(callback)

    def known(self) -> list[backends.Backend]:
        """Returns all known backend servers."""
        return list(self._backends.values())

    def find(self, address: str) -> backends.Backend | None:
        """Returns the backend server at `ip:port`, if it is known."""
        return self._backends.get(address)

    def service_size(self, service: str) -> int:
        """Returns how many backend servers of a service are known."""
        return self._service_sizes[service]

    def pool(
        self, criteria: backends.BackendCriteria
    ) -> pools.BackendPool | None:
        """Returns the backend servers that may take this work now."""
        if criteria.model_version is not None:
            return self._pools.get(criteria.model_version)
        return self._pools.get(criteria.service)

    def apply_list(self, rows: list[instances.ListedInstance]) -> None:
        """Applies a new instance list."""
        listed = {
            row.address: row
            for row in rows
            if row.role is not instances.InstanceRole.ENTRY
        }
        for row in listed.values():
            self._apply_row(row)
        missing = [
            b for b in self._backends.values() if b.address not in listed
        ]
        for backend in self._removable(missing):
            self._forget(backend)

    def note_report(
        self,
        backend: backends.Backend,
        report: engine.LoadReport,
        *,
        measured_at: datetime.timedelta,
    ) -> None:
        """Applies a load report, unless a newer one is known."""
        if backend.report is not None and measured_at <= backend.reported_at:
            return
        before = _pool_keys(backend)
        backend.report = report
        backend.reported_at = measured_at
        self._tracker.note_total(
            backend,
            total=report.running + report.waiting,
            measured_at=measured_at,
        )
        if _pool_keys(backend) != before:
            self.generation += 1
            self._unindex(backend, before)
        if report.leaving:
            self.note_leaving(backend)
        elif measured_at > backend.leaving_since + MAX_REPORT_DELAY:
            self._note_not_leaving(backend)
        self._index(backend)

    def note_leaving(self, backend: backends.Backend) -> None:
        """Stops new work to a backend server that is leaving."""
        if backend.leaving:
            return
        backend.leaving = True
        backend.leaving_since = self._clock.monotonic()
        self._unindex(backend, _pool_keys(backend))
        self._events.record(
            events_module.EventKind.BACKEND_LEAVING, backend.address
        )

    def eject(self, backend: backends.Backend) -> None:
        """Stops new work to a backend server until `restore`."""
        backend.ejected = True
        self._unindex(backend, _pool_keys(backend))

    def restore(self, backend: backends.Backend) -> None:
        """Lets an ejected backend server take work again."""
        backend.ejected = False
        self._index(backend)

    def set_locality(
        self, backend: backends.Backend, locality: backends.Locality
    ) -> None:
        """Moves a backend server to another tier of its pools."""
        if backend.locality is locality:
            return
        self._unindex(backend, _pool_keys(backend))
        backend.locality = locality
        self._index(backend)

    def _apply_row(self, row: instances.ListedInstance) -> None:
        backend = self._backends.get(row.address)
        if backend is not None and _is_replacement(backend, row):
            self._forget(backend)
            backend = None
        if backend is None:
            backend = self._add(row)
        if row.state is instances.InstanceState.LEAVING:
            backend.listed_leaving = True
            self.note_leaving(backend)
        elif backend.plain:
            since = self._clock.monotonic() - backend.leaving_since
            if since > LEAVING_TTL:
                self._note_not_leaving(backend)

    def _add(self, row: instances.ListedInstance) -> backends.Backend:
        backend = backends.Backend(
            address=row.address,
            region=row.region,
            data_centre=row.data_centre,
            service=row.service,
            plain=row.role is instances.InstanceRole.PLAIN_SERVICE,
        )
        self._backends[row.address] = backend
        self._service_sizes[row.service] += 1
        self.generation += 1
        self._index(backend)
        return backend

    def _note_not_leaving(self, backend: backends.Backend) -> None:
        if backend.leaving and not backend.listed_leaving:
            backend.leaving = False
            self._index(backend)

    def _removable(
        self, missing: list[backends.Backend]
    ) -> list[backends.Backend]:
        """Returns those of the missing that are to be dropped.

        A list that is emptied, or loses a large part at once, is faulty:
        applying it would stop all work although every backend server is
        healthy. So the missing are kept, except for those that this instance
        knows to be leaving or has ejected. Keeping a dead one costs little,
        since its failed attempts soon eject it.
        """
        unexplained = [b for b in missing if not (b.leaving or b.ejected)]
        live = [b for b in self._backends.values() if not b.leaving]
        fault = _is_sudden_loss(unexplained, live)
        if fault and not self._fault:
            self._events.record(
                events_module.EventKind.LIST_FAULT,
                "instance list",
                missing=str(len(unexplained)),
                known=str(len(live)),
            )
        self._fault = fault
        if fault:
            return [b for b in missing if b.leaving or b.ejected]
        return missing

    def _forget(self, backend: backends.Backend) -> None:
        self._unindex(backend, _pool_keys(backend))
        del self._backends[backend.address]
        self._service_sizes[backend.service] -= 1
        self.generation += 1
        self._tracker.forget(backend)
        for callback in self._forget_callbacks:
            callback(backend)

    def _index(self, backend: backends.Backend) -> None:
        if backend.leaving or backend.ejected:
            return
        for key in _pool_keys(backend):
            pool = self._pools.get(key)
            if pool is None:
                pool = self._pools[key] = pools.BackendPool()
            pool.add(backend)

    def _unindex(
        self, backend: backends.Backend, keys: tuple[PoolKey, ...]
    ) -> None:
        for key in keys:
            pool = self._pools.get(key)
            if pool is not None:
                pool.remove(backend)
                if not pool:
                    del self._pools[key]


def _pool_keys(backend: backends.Backend) -> tuple[PoolKey, ...]:
    if backend.plain:
        return (backend.service,)
    if backend.report is None:
        return ()
    return backend.report.loaded


def _is_replacement(
    backend: backends.Backend, row: instances.ListedInstance
) -> bool:
    """Tells whether the row is of another server at the same address."""
    returned = (
        backend.listed_leaving and row.state is instances.InstanceState.LIVE
    )
    plain = row.role is instances.InstanceRole.PLAIN_SERVICE
    return returned or (
        (backend.service, backend.data_centre, backend.plain)
        != (row.service, row.data_centre, plain)
    )


def _is_sudden_loss(
    unexplained: list[backends.Backend], live: list[backends.Backend]
) -> bool:
    """Tells whether too many are gone at once, in total or of one service."""
    if len(unexplained) > max(1, LIST_FAULT_SHARE * len(live)):
        return True
    lost = collections.Counter(b.service for b in unexplained)
    known = collections.Counter(b.service for b in live)
    return any(
        count == known[service] and count > 1 for service, count in lost.items()
    )
