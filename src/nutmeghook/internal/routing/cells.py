"""Assignment of instances and backend servers to cells.

The instances of a cell gossip what they have in flight a few times a second.
That keeps the choice of backend server good while reports are a second late,
but its traffic grows with the square of the number of instances. So a large
data centre is divided into cells of about six instances and an equal part of
its backend servers; each is as well informed as a fleet of seven instances.
Work leaves the cell only when the cell is full.

Each instance computes its cell from the members and backend servers that it
knows. While views differ, two instances gossip a little less than they could;
nothing depends on their agreement.
"""

import collections
import dataclasses

import xxhash

from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import directory as directory_module

# Up to this many instances of a region, or else of a data centre, form one
# cell; more are divided into cells of about `CELL_MEMBERS`.
WHOLE_CELL_MEMBERS = 8
CELL_MEMBERS = 6
# A service with fewer backend servers than this for each cell is shared by
# several cells, since one or two leave no choice for balancing.
SMALLEST_CELL_BACKENDS = 3


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Cell:
    """This instance's cell.

    Attributes:
        peers: Inner addresses of the other instances in it.
        spans_region: It includes the whole region's backend servers.
        index: Its number among the cells of the data centre.
        count: How many cells there are.
    """

    peers: tuple[str, ...]
    spans_region: bool
    index: int
    count: int


class CellView:
    """Keeps this instance's cell and the locality of backend servers."""

    __slots__ = ("_cell", "_directory", "_generation", "_members")

    def __init__(
        self,
        *,
        members: members_module.MemberView,
        directory: directory_module.BackendDirectory,
    ):
        self._members = members
        self._directory = directory
        self._cell = cell_of(members)
        self._generation = -1

    @property
    def cell(self) -> Cell:
        """This instance's cell as of the last `refresh`."""
        return self._cell

    def refresh(self) -> None:
        """Recomputes everything if members or backend servers changed."""
        cell = cell_of(self._members)
        generation = self._directory.generation
        if cell == self._cell and generation == self._generation:
            return
        self._cell = cell
        self._generation = generation
        myself = self._members.myself
        # Grouped by service, which the instance list gives to all. Versions
        # would divide more evenly, but are known of the own cell's replicas
        # only: each part would shrink to what the instance knows.
        services = collections.defaultdict(list)
        for backend in self._directory.known():
            if _in_scope(backend, cell, myself):
                services[backend.service].append(backend)
            else:
                self._directory.set_locality(
                    backend, _locality_outside_cell(backend, myself)
                )
        for service_backends in services.values():
            self._assign_localities(service_backends, myself)

    def polls(self, backend: backends.Backend) -> bool:
        """Tells whether this instance polls the backend server's reports.

        The instance of the cell with the highest rendezvous hash does.
        """
        if backend.locality is not backends.Locality.OWN_CELL:
            return False
        me = _rendezvous_hash(
            self._members.myself.inner_address, backend.address
        )
        return all(
            me >= _rendezvous_hash(peer, backend.address)
            for peer in self._cell.peers
        )

    def _assign_localities(
        self,
        service_backends: list[backends.Backend],
        myself: members_module.Member,
    ) -> None:
        """Assigns each cell its part of the backend servers of a service."""
        cell = self._cell
        size = len(service_backends)
        parts = min(cell.count, max(1, size // SMALLEST_CELL_BACKENDS))
        mine = cell.index * parts // cell.count
        service_backends.sort(key=lambda b: _rendezvous_hash("", b.address))
        for number, backend in enumerate(service_backends):
            if number * parts // size == mine:
                locality = backends.Locality.OWN_CELL
            else:
                locality = _locality_outside_cell(backend, myself)
            self._directory.set_locality(backend, locality)


def cell_of(members: members_module.MemberView) -> Cell:
    """Returns the cell of this instance among the members."""
    myself = members.myself
    in_region = [m for m in members.members() if m.region == myself.region]
    spans_region = len(in_region) <= WHOLE_CELL_MEMBERS
    scope = [
        m.inner_address
        for m in in_region
        if spans_region or m.data_centre == myself.data_centre
    ]
    scope.sort(key=lambda address: _rendezvous_hash("", address))
    count = 1
    if len(scope) > WHOLE_CELL_MEMBERS:
        count = round(len(scope) / CELL_MEMBERS)
    index = scope.index(myself.inner_address) * count // len(scope)
    peers = tuple(
        address
        for number, address in enumerate(scope)
        if number * count // len(scope) == index
        and address != myself.inner_address
    )
    return Cell(
        peers=peers, spans_region=spans_region, index=index, count=count
    )


def _in_scope(
    backend: backends.Backend, cell: Cell, myself: members_module.Member
) -> bool:
    if cell.spans_region:
        return backend.region == myself.region
    return backend.data_centre == myself.data_centre


def _locality_outside_cell(
    backend: backends.Backend, myself: members_module.Member
) -> backends.Locality:
    if backend.data_centre == myself.data_centre:
        return backends.Locality.OWN_DATA_CENTRE
    if backend.region == myself.region:
        return backends.Locality.OWN_REGION
    return backends.Locality.ELSEWHERE


def _rendezvous_hash(salt: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f"{salt}|{address}".encode())
