"""Reads each bill once from the overflow, the log and the archive."""

from collections.abc import AsyncIterator
import dataclasses

from nutmeghook.internal.dependencies import objects as objects_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.ledger import archive
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import log
from nutmeghook.internal.ledger import overflow
from nutmeghook.internal.ledger import records

_PAGE_SIZE = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class TeamUsage:
    """What one team's requests used and cost."""

    team: str
    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_micros: int = 0
    spent_micros: int = 0

    def add(self, bill: ledger.Bill) -> None:
        """Adds a bill to the totals."""
        self.requests += 1
        self.prompt_tokens += bill.prompt_tokens
        self.output_tokens += bill.output_tokens
        self.cost_micros += bill.cost_micros
        self.spent_micros += bill.spent_micros


class BillReader:
    """The union of the overflow, the log and the archive, by identity.

    Bills are copied from the overflow to the log and from the log to the
    archive before they are deleted at the source. Reading the three in that
    order finds a bill that moves meanwhile at least once; duplicates are
    dropped by identity. The identities take about 100 bytes a bill.

    Every method may raise `failures.NotDoneError`.
    """

    __slots__ = ("_objects", "_table")

    def __init__(
        self,
        *,
        table: table_module.TableService,
        objects: objects_module.ObjectStore,
    ):
        self._table = table
        self._objects = objects

    async def bills(self) -> AsyncIterator[ledger.Bill]:
        """Yields every bill once."""
        seen: set[str] = set()
        async for record in self.all_records():
            identity = records.entry_key(record.team, record.key)
            if identity not in seen:
                seen.add(identity)
                yield records.bill_of(record)

    async def usage(self) -> list[TeamUsage]:
        """Returns the totals of each team, in order of team names."""
        totals: dict[str, TeamUsage] = {}
        async for bill in self.bills():
            team = bill.identity.team
            totals.setdefault(team, TeamUsage(team=team)).add(bill)
        return [totals[team] for team in sorted(totals)]

    async def all_records(self) -> AsyncIterator[records.FinishRecord]:
        """Yields the records of all three stores; a bill may be repeated."""
        async for record in self._read_objects(overflow.KEY_PREFIX):
            yield record
        async for record in self._read_log():
            yield record
        async for record in self._read_objects(archive.KEY_PREFIX):
            yield record

    async def _read_log(self) -> AsyncIterator[records.FinishRecord]:
        after = ""
        while True:
            rows = await self._table.scan(
                prefix=log.KEY_PREFIX, after=after, limit=_PAGE_SIZE
            )
            for row in rows:
                for record in records.decode_batch(row.value).records:
                    if isinstance(record, records.FinishRecord):
                        yield record
            if len(rows) < _PAGE_SIZE:
                return
            after = rows[-1].key

    async def _read_objects(
        self, prefix: str
    ) -> AsyncIterator[records.FinishRecord]:
        after = ""
        while True:
            keys = await self._objects.list_keys(
                prefix=prefix, after=after, limit=_PAGE_SIZE
            )
            for key in keys:
                content = await self._objects.get(key)
                if content is not None:
                    for record in records.decode_bills(content).records:
                        yield record
            if len(keys) < _PAGE_SIZE:
                return
            after = keys[-1]
