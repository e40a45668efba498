"""Reads and writes the configuration's rows, each call within a time limit."""

import dataclasses
import datetime
from typing import TypeVar

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import rows
from nutmeghook.internal.config import state as state_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module

_T = TypeVar("_T")
_PAGE_ROWS = 500
# A replica further behind reads the documents instead of the change log.
_MAX_CATCH_UP_CHANGES = 1000


class HeadReading(msgspec.Struct, frozen=True, kw_only=True):
    """The head row as read.

    Attributes:
        version: The row's version, for the condition of the next change.
        read_at: Monotonic time just before the read was sent; `revision`
            covers everything committed by then.
    """

    revision: int
    version: int
    read_at: datetime.timedelta


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CatchUp:
    """A state brought up to date from the store.

    Attributes:
        state: The new state.
        changes: The changes applied; None if the documents were read instead.
    """

    state: state_module.ConfigState
    changes: list[rows.Change] | None


class ConfigStore:
    """The configuration in the table service.

    Reads raise `failures.PlatformError`. `commit` raises
    `failures.NotDoneError` only if the write had no effect; a call that
    exceeds the time limit raises `failures.OutcomeUnknownError`, because the
    request may still be in flight.
    """

    __slots__ = ("_call_timeout", "_clock", "_table")

    def __init__(
        self,
        *,
        table: table_module.TableService,
        clock: clock_module.Clock,
        call_timeout: datetime.timedelta = datetime.timedelta(seconds=2),
    ):
        self._table = table
        self._clock = clock
        self._call_timeout = call_timeout

    async def head(self) -> HeadReading:
        """Reads the newest revision's number."""
        read_at = self._clock.monotonic()
        row = await self._read(rows.HEAD_KEY)
        if row is None:
            return HeadReading(
                revision=0,
                version=table_module.ABSENT_VERSION,
                read_at=read_at,
            )
        head = _decode(row, rows.Head)
        return HeadReading(
            revision=head.revision, version=row.version, read_at=read_at
        )

    async def change(self, revision: int) -> rows.Change | None:
        """Reads one accepted change."""
        row = await self._read(rows.change_key(revision))
        if row is None:
            return None
        return _decode(row, rows.Change)

    async def changes_after(
        self, revision: int, *, limit: int = _MAX_CATCH_UP_CHANGES
    ) -> list[rows.Change]:
        """Reads the changes after a revision, in order."""
        found: list[rows.Change] = []
        after = rows.change_key(revision)
        while len(found) < limit:
            page_rows = min(_PAGE_ROWS, limit - len(found))
            page = await self._scan(rows.CHANGE_PREFIX, after, page_rows)
            found += [_decode(row, rows.Change) for row in page]
            if len(page) < page_rows:
                break
            after = page[-1].key
        return found

    async def operation(
        self, team: str, operation_id: str
    ) -> rows.OperationRecord | None:
        """Reads an operation's outcome; None if it has none yet."""
        row = await self._read(rows.operation_key(team, operation_id))
        if row is None:
            return None
        return _decode(row, rows.OperationRecord)

    async def catch_up(
        self, state: state_module.ConfigState, revision: int
    ) -> CatchUp:
        """Brings a state to `revision` or newer.

        Raises:
            failures.NotDoneError: Rows up to the head revision are missing.
        """
        if revision - state.revision > _MAX_CATCH_UP_CHANGES:
            return await self._reload()
        changes: list[rows.Change] = []
        while state.revision < revision:
            page = await self.changes_after(state.revision)
            if not _is_contiguous(page, state):
                # Old changes may have been deleted from the table.
                return await self._reload()
            for change in page:
                state = state.with_change(change)
            changes += page
        return CatchUp(state=state, changes=changes)

    async def commit(
        self, transaction: table_module.Transaction
    ) -> table_module.CommitResult:
        """Commits within the time limit."""
        try:
            return await self._clock.wait_for(
                self._table.commit(transaction), self._call_timeout
            )
        except TimeoutError as error:
            raise failures.OutcomeUnknownError(
                f"no answer to a commit within {self._call_timeout}"
            ) from error

    async def _reload(self) -> CatchUp:
        """Reads all documents and the changes committed meanwhile.

        Changes may commit between two pages, so some documents are newer than
        others. Applying the changes between the head before and the head after
        in order makes the state consistent, because each replaces whole
        documents.
        """
        before = await self.head()
        state = await self._load(before.revision)
        after = await self.head()
        while state.revision < after.revision:
            page = await self.changes_after(state.revision)
            if not _is_contiguous(page, state):
                raise failures.NotDoneError(
                    f"the head is at revision {after.revision}, but changes "
                    f"after {state.revision} are missing"
                )
            for change in page:
                state = state.with_change(change)
        return CatchUp(state=state, changes=None)

    async def _load(self, revision: int) -> state_module.ConfigState:
        """Reads all documents and labels the state with a revision."""
        state = state_module.EMPTY_STATE
        after = ""
        while True:
            page = await self._scan(rows.DOCUMENT_PREFIX, after, _PAGE_ROWS)
            for row in page:
                state = _with_row(state, row)
            if len(page) < _PAGE_ROWS:
                break
            after = page[-1].key
        return state_module.ConfigState(
            snapshot=msgspec.structs.replace(state.snapshot, revision=revision),
            document_revisions=state.document_revisions,
        )

    async def _read(self, key: str) -> table_module.Row | None:
        return await self._with_timeout(self._table.read(key))

    async def _scan(
        self, prefix: str, after: str, limit: int
    ) -> list[table_module.Row]:
        return await self._with_timeout(
            self._table.scan(prefix=prefix, after=after, limit=limit)
        )

    async def _with_timeout(self, read) -> _T:
        try:
            return await self._clock.wait_for(read, self._call_timeout)
        except TimeoutError as error:
            raise failures.NotDoneError(
                f"no answer to a read within {self._call_timeout}"
            ) from error


def _is_contiguous(
    changes: list[rows.Change], state: state_module.ConfigState
) -> bool:
    """Tells whether there are changes that continue a state without a gap."""
    first = state.revision + 1
    expected = range(first, first + len(changes))
    return bool(changes) and [c.revision for c in changes] == list(expected)


def _decode(row: table_module.Row, row_type: type[_T]) -> _T:
    # A row that this release can't decode must not end the reading task: the
    # instance keeps its configuration, whose age then grows.
    try:
        return msgspec.json.decode(row.value, type=row_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise failures.NotDoneError(f"row {row.key}: {error}") from error


def _with_row(
    state: state_module.ConfigState, row: table_module.Row
) -> state_module.ConfigState:
    document = _decode(row, rows.DocumentRow)
    return state.with_replacement(
        edits.Replacement(
            fleet=document.fleet,
            teams=_as_tuple(document.team),
            templates=_as_tuple(document.template),
        ),
        revision=document.revision,
    )


def _as_tuple(
    document: documents.Team | documents.Template | None,
) -> tuple:
    return () if document is None else (document,)
