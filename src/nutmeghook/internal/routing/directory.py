"""Which backend servers exist, and which of them may take which work.

Fed by the platform's instance list and by load reports; read on every
request. All work that grows with the number of backend servers is done when
they change, none of it when a request is routed.
"""

import collections
import dataclasses
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.platform import engine
from nutmeghook.internal.platform import instances
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import pools

# More live rows than this share gone from one list to the next is taken for
# a fault of the list. A rack or one data centre of three is less.
SUDDEN_LOSS_SHARE = 0.4


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Place:
    """Where this instance stands."""

    region: str
    data_centre: str

    def nearness_of(self, row: instances.ListedInstance) -> backends.Nearness:
        """Returns how near a listed instance is."""
        if row.data_centre == self.data_centre:
            return backends.Nearness.OWN_DATA_CENTRE
        if row.region == self.region:
            return backends.Nearness.OWN_REGION
        return backends.Nearness.ELSEWHERE


PoolKey = engine.ModelVersion | str


class BackendDirectory:
    """The backend servers, indexed by model version and by plain service."""

    __slots__ = ("_backends", "_clock", "_events", "_fault", "_place", "_pools")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        place: Place,
    ):
        self._clock = clock
        self._events = events
        self._place = place
        self._backends: dict[str, backends.Backend] = {}
        self._pools: dict[PoolKey, pools.BackendPool] = {}
        self._fault = False

    def known(self) -> list[backends.Backend]:
        """Returns all known backend servers."""
        return list(self._backends.values())

    def find(self, address: str) -> backends.Backend | None:
        """Returns the backend server at `ip:port`, if it is known."""
        return self._backends.get(address)

    def pool(self, need: backends.BackendNeed) -> pools.BackendPool | None:
        """Returns those that may take this kind of work now."""
        if need.model_version is not None:
            return self._pools.get(need.model_version)
        return self._pools.get(need.service)

    def apply_list(self, rows: list[instances.ListedInstance]) -> None:
        """Takes in a new instance list."""
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
        for backend in self._surely_gone(missing):
            self._forget(backend)

    def note_report(
        self,
        backend: backends.Backend,
        report: engine.LoadReport,
        *,
        measured_at: datetime.timedelta,
    ) -> None:
        """Takes in a load report, unless a newer one is known."""
        if backend.report is not None and measured_at < backend.reported_at:
            return
        before = _served(backend)
        backend.report = report
        backend.reported_at = measured_at
        if report.leaving:
            self.note_leaving(backend)
        elif _served(backend) != before:
            self._unindex(backend, before)
        self._index(backend)

    def note_leaving(self, backend: backends.Backend) -> None:
        """Gives a backend server no new work from now on."""
        if backend.leaving:
            return
        backend.leaving = True
        self._unindex(backend, _served(backend))
        self._events.record(
            events_module.EventKind.BACKEND_LEAVING, backend.address
        )

    def eject(self, backend: backends.Backend) -> None:
        """Takes a backend server out until `restore`."""
        backend.ejected = True
        self._unindex(backend, _served(backend))

    def restore(self, backend: backends.Backend) -> None:
        """Lets an ejected backend server take work again."""
        backend.ejected = False
        self._index(backend)

    def _apply_row(self, row: instances.ListedInstance) -> None:
        backend = self._backends.get(row.address)
        if backend is None:
            backend = backends.Backend(
                address=row.address,
                region=row.region,
                data_centre=row.data_centre,
                service=row.service,
                nearness=self._place.nearness_of(row),
                plain=row.role is instances.InstanceRole.PLAIN_SERVICE,
            )
            self._backends[row.address] = backend
        if row.state is instances.InstanceState.LEAVING:
            self.note_leaving(backend)
        self._index(backend)

    def _surely_gone(
        self, missing: list[backends.Backend]
    ) -> list[backends.Backend]:
        """Returns those of the missing that the list may be believed on.

        A list that empties, or loses a large part at once, tells of a fault
        of the list: believing it would stop all work although every backend
        server is well. So the missing are kept, and only those are dropped
        of which this instance knows better: they said that they leave, or
        attempts on them failed. A dead one that is kept is soon ejected by
        the attempts that it fails, so that keeping it costs little.
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
        self._unindex(backend, _served(backend))
        del self._backends[backend.address]

    def _index(self, backend: backends.Backend) -> None:
        if backend.leaving or backend.ejected:
            return
        for key in _served(backend):
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


def _served(backend: backends.Backend) -> tuple[PoolKey, ...]:
    if backend.plain:
        return (backend.service,)
    if backend.report is None:
        return ()
    return backend.report.loaded


def _is_sudden_loss(
    unexplained: list[backends.Backend], live: list[backends.Backend]
) -> bool:
    """Tells whether too many went at once, in all or of one service."""
    if len(unexplained) > max(1, SUDDEN_LOSS_SHARE * len(live)):
        return True
    lost = collections.Counter(b.service for b in unexplained)
    known = collections.Counter(b.service for b in live)
    return any(
        count == known[service] and count > 1 for service, count in lost.items()
    )
