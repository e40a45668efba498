"""Asks one member of each routing cell what is loaded on its engines.

The members of a cell have these reports already (`routing/poller.py`). Reading
each engine directly takes the lease holder 450 bytes an engine and 37 minutes a
pass at the planned fleet size; a cell whose engines have not changed answers in
a few bytes.
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
# For this long after a member failed to answer, others of its cell come first.
_UNRESPONSIVE_BACKOFF = datetime.timedelta(seconds=30)

# The inner addresses of the members of one cell.
_CellMembers = tuple[str, ...]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class GatheredReports:
    """Reports of the cells.

    Attributes:
        pages: One for each cell that answered.
        calls: Number of calls to other instances.
        changed: Number of answers that held a whole page.
    """

    pages: tuple[report_pages.ReportPage, ...] = ()
    calls: int = 0
    changed: int = 0


class ReportSource(abc.ABC):
    """Reports what is loaded on many engines without reading each of them."""

    @abc.abstractmethod
    async def gather(self) -> GatheredReports:
        """Returns what is known now; a failed call only omits its cell."""


class NoReports(ReportSource):
    """Reports nothing: all engines have to be read directly."""

    __slots__ = ()

    async def gather(self) -> GatheredReports:
        """Returns nothing."""
        return GatheredReports()


class CellReports(ReportSource):
    """Requests the pages of other cells and serves the page of its own.

    Args:
        members: All members; cells follow from them.
        caller: Calls other members.
        handlers: Gets the handler for `LoadedPull`.
        known: Returns the backend servers that routing knows.
        clock: This instance's clock.
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
        """Asks one member of each cell, and a second one if it is silent."""
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
        """Returns the sort key: 0, or the end of a silent member's back-off."""
        until = self._avoided.get(address, now)
        return until if until > now else datetime.timedelta()

    def _refresh(self) -> None:
        """Recomputes the cells if the members have changed."""
        found = tuple(self._members.members())
        locations = [(m.inner_address, m.region, m.data_centre) for m in found]
        before = [
            (m.inner_address, m.region, m.data_centre)
            for m in self._cell_members
        ]
        if locations == before:
            return
        self._cell_members = found
        self._cells = cells_among(found)
        addresses = {member.inner_address for member in found}
        for by_address in (self._pages, self._avoided):
            for address in by_address.keys() - addresses:
                del by_address[address]


def cells_among(
    found: tuple[members_module.Member, ...],
) -> tuple[_CellMembers, ...]:
    """Returns all cells, each as its members' inner addresses."""
    remaining = {member.inner_address: member for member in found}
    cells: list[_CellMembers] = []
    while remaining:
        _, member = remaining.popitem()
        others = tuple(m for m in found if m is not member)
        cell = cells_module.cell_of(
            members_module.FixedMemberView(myself=member, others=others)
        )
        for address in cell.peers:
            remaining.pop(address, None)
        cells.append((member.inner_address, *cell.peers))
    return tuple(cells)
