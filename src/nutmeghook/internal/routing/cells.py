"""The small part of the fleet whose load this instance knows well.

Instances tell each other what they have in flight a few times a second. That
is what keeps the choice of backend server good while reports are a second
late, but its bytes grow with the square of the number of instances. So a
large data centre is cut into cells of about six instances and an equal part
of its backend servers; each cell is as well informed as today's seven
instances are. Work leaves the cell only where the cell is full.

Each instance works its cell out by itself from the members and backend
servers that it knows. Where views differ for a moment, two instances share a
little less than they could; nothing depends on their agreeing.
"""

import collections
import dataclasses

import xxhash

from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import directory as directory_module

# Up to this many instances of a region, or else of a data centre, form one
# cell; above it they are cut into cells of about the second number.
WHOLE_CELL_MEMBERS = 8
CELL_MEMBERS = 6
# A service with fewer backend servers than this for each cell is shared by
# several cells: balance among one or two would be no balance.
SMALLEST_CELL_BACKENDS = 3


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Cell:
    """This instance's cell.

    Attributes:
        peers: Inner addresses of the other instances in it.
        spans_region: It takes in the whole region's backend servers.
        index: Its number among the cells of the data centre.
        count: How many cells there are.
    """

    peers: tuple[str, ...]
    spans_region: bool
    index: int
    count: int


class CellView:
    """Keeps this instance's cell and the backend servers' nearness."""

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
        """Works everything out again if members or backend servers changed."""
        cell = cell_of(self._members)
        generation = self._directory.generation
        if cell == self._cell and generation == self._generation:
            return
        self._cell = cell
        self._generation = generation
        place = self._members.myself
        # By service only, which the list tells to all. The versions would
        # part more evenly, but are known of the own cell's replicas alone:
        # parts would shrink with what each instance knows.
        services = collections.defaultdict(list)
        for backend in self._directory.known():
            if _in_scope(backend, cell, place):
                services[backend.service].append(backend)
            else:
                self._directory.set_nearness(
                    backend, _outer_nearness(backend, place)
                )
        for of_one_service in services.values():
            self._part(of_one_service, place)

    def reads(self, backend: backends.Backend) -> bool:
        """Tells whether this instance polls the backend server's reports.

        Of the cell's instances, the one with the highest hash does.
        """
        if backend.nearness is not backends.Nearness.OWN_CELL:
            return False
        me = _rank(self._members.myself.inner_address, backend.address)
        return all(
            me >= _rank(peer, backend.address) for peer in self._cell.peers
        )

    def _part(
        self,
        of_one_service: list[backends.Backend],
        place: members_module.Member,
    ) -> None:
        """Gives each cell its part of the backend servers of one service."""
        cell = self._cell
        size = len(of_one_service)
        parts = min(cell.count, max(1, size // SMALLEST_CELL_BACKENDS))
        mine = cell.index * parts // cell.count
        of_one_service.sort(key=lambda b: _rank("", b.address))
        for number, backend in enumerate(of_one_service):
            if number * parts // size == mine:
                nearness = backends.Nearness.OWN_CELL
            else:
                nearness = _outer_nearness(backend, place)
            self._directory.set_nearness(backend, nearness)


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
    scope.sort(key=lambda address: _rank("", address))
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
    backend: backends.Backend, cell: Cell, place: members_module.Member
) -> bool:
    if cell.spans_region:
        return backend.region == place.region
    return backend.data_centre == place.data_centre


def _outer_nearness(
    backend: backends.Backend, place: members_module.Member
) -> backends.Nearness:
    if backend.data_centre == place.data_centre:
        return backends.Nearness.OWN_DATA_CENTRE
    if backend.region == place.region:
        return backends.Nearness.OWN_REGION
    return backends.Nearness.ELSEWHERE


def _rank(salt: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f"{salt}|{address}".encode())
