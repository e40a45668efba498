"""Asks one member of each routing cell what is loaded on its engines.

The cells' members have the reports anyway (`routing/poller.py`). Reading each
engine again took the holder 450 bytes an engine and 37 minutes a pass at the
planned size; a cell whose engines have not changed answers in a few bytes.
"""

import abc
import asyncio
from collections.abc import Callable
import dataclasses
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.orders import report_pages
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import cells as cells_module

CALL_TIMEOUT = datetime.timedelta(seconds=1)
_MAX_CONCURRENT_CALLS = 16
# One that does not answer is left for another of its cell for this long.
_UNRESPONSIVE_BACKOFF = datetime.timedelta(seconds=30)

# The inner addresses of the members of one cell.
_CellMembers = tuple[str, ...]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class GatheredReports:
    """What the cells told.

    Attributes:
        pages: One for each cell that answered.
        calls: How many calls to others that took.
        changed: How many of the answers held a whole page.
    """

    pages: tuple[report_pages.ReportPage, ...] = ()
    calls: int = 0
    changed: int = 0


class ReportSource(abc.ABC):
    """Knows what is loaded on many engines without reading them."""

    @abc.abstractmethod
    async def gather(self) -> GatheredReports:
        """Returns what is known now; never fails as a whole."""


class NoReports(ReportSource):
    """Knows nothing: all engines have to be read."""

    __slots__ = ()

    async def gather(self) -> GatheredReports:
        """Returns nothing."""
        return GatheredReports()


class CellReports(ReportSource):
    """Asks the cells, and answers those who ask this instance's cell.

    Args:
        members: All members; cells follow from them.
        caller: Calls other members.
        handlers: Gets the handler for `LoadedPull`.
        known: Returns the routing's backend servers.
        clock: Of this instance.
    """

    __slots__ = (
        "_avoided",
        "_caller",
        "_cell_members",
        "_cells",
        "_clock",
        "_known",
        "_members",
        "_pages",
    )

    def __init__(
        self,
        *,
        members: members_module.MemberView,
        caller: peers.PeerCaller,
        handlers: peers.PeerHandlers,
        known: Callable[[], list[backends.Backend]],
        clock: clock_module.Clock,
    ):
        self._members = members
        self._caller = caller
        self._known = known
        self._clock = clock
        self._cells: tuple[_CellMembers, ...] = ()
        self._cell_members: tuple[members_module.Member, ...] = ()
        self._pages: dict[str, report_pages.ReportPage] = {}
        self._avoided: dict[str, datetime.timedelta] = {}
        handlers.register(ttypes.LoadedPull, self.answer)

    async def answer(self, pull: ttypes.LoadedPull) -> ttypes.LoadedPage:
        """Answers with the page of this instance's cell."""
        now = self._clock.monotonic()
        page = report_pages.page_of(self._known(), now)
        return report_pages.write_page(
            page, known_hash=pull.known_hash, now=now
        )

    async def gather(self) -> GatheredReports:
        """Asks one member of each cell, a second one where it is silent."""
        self._refresh()
        me = self._members.myself.inner_address
        others = [cell for cell in self._cells if me not in cell]
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
        results = await asyncio.gather(
            *(self._ask_cell(cell, semaphore) for cell in others)
        )
        own = report_pages.page_of(self._known(), self._clock.monotonic())
        pages = [page for gathered in results for page in gathered.pages]
        return GatheredReports(
            pages=(own, *pages),
            calls=sum(one.calls for one in results),
            changed=sum(one.changed for one in results),
        )

    async def _ask_cell(
        self, cell: _CellMembers, semaphore: asyncio.Semaphore
    ) -> GatheredReports:
        now = self._clock.monotonic()
        calls = 0
        for address in sorted(cell, key=lambda a: self._avoided_until(a, now))[
            :2
        ]:
            known = self._pages.get(address)
            async with semaphore:
                calls += 1
                page = await self._ask(address, known)
            if page is not None:
                is_new = known is None or page.engines is not known.engines
                return GatheredReports(
                    pages=(page,), calls=calls, changed=int(is_new)
                )
            self._avoided[address] = now + _UNRESPONSIVE_BACKOFF
        return GatheredReports(calls=calls)

    async def _ask(
        self, address: str, known: report_pages.ReportPage | None
    ) -> report_pages.ReportPage | None:
        asked_at = self._clock.monotonic()
        try:
            message = await self._caller.call(
                address,
                ttypes.LoadedPull(
                    known_hash=known.content_hash if known else 0
                ),
                timeout=CALL_TIMEOUT,
            )
        except (peers.PeerUnreachableError, peers.PeerRefusedError):
            return None
        page = report_pages.read_page(message, known=known, asked_at=asked_at)
        if page is None:
            self._pages.pop(address, None)
        else:
            self._pages[address] = page
        return page

    def _avoided_until(
        self, address: str, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns 0 for a member that may be asked; silent ones come last."""
        until = self._avoided.get(address, now)
        return until if until > now else datetime.timedelta()

    def _refresh(self) -> None:
        """Works the cells out again if the members have changed."""
        found = tuple(self._members.members())
        places = [(m.inner_address, m.region, m.data_centre) for m in found]
        before = [
            (m.inner_address, m.region, m.data_centre)
            for m in self._cell_members
        ]
        if places == before:
            return
        self._cell_members = found
        self._cells = cells_among(found)
        addresses = {member.inner_address for member in found}
        for kept in (self._pages, self._avoided):
            for address in kept.keys() - addresses:
                del kept[address]


def cells_among(
    found: tuple[members_module.Member, ...],
) -> tuple[_CellMembers, ...]:
    """Returns all cells, each as its members' inner addresses."""
    left = {member.inner_address: member for member in found}
    cells: list[_CellMembers] = []
    while left:
        _, member = left.popitem()
        others = tuple(m for m in found if m is not member)
        cell = cells_module.cell_of(
            members_module.FixedMemberView(myself=member, others=others)
        )
        for address in cell.peers:
            left.pop(address, None)
        cells.append((member.inner_address, *cell.peers))
    return tuple(cells)
