"""Queries of the administration API: documents, history and status."""

import datetime

import msgspec

from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import principals
from nutmeghook.internal.administration import status as status_module
from nutmeghook.internal.config import assembly
from nutmeghook.internal.config import differences
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import faults
from nutmeghook.internal.config import rows
from nutmeghook.internal.config import state as state_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import bills as bills_module

MAX_CHANGES = 200
_STATUS_CHANGES = 5
_STATUS_WAIT = datetime.timedelta(seconds=1)
_CHANGES_PER_PAGE = 200
# Limits a call for a team whose last change is long ago, which would otherwise
# read the whole change log of all teams.
_MAX_PAGES = 5


class Queries:
    """Answers queries with what the principal may see."""

    __slots__ = ("_bills", "_config", "_sources")

    def __init__(
        self,
        *,
        config: assembly.ConfigParts,
        sources: tuple[status_module.WaitingSource, ...] = (),
        bills: bills_module.BillReader | None = None,
    ):
        self._config = config
        self._sources = sources
        self._bills = bills

    def list_documents(
        self, principal: principals.Principal
    ) -> bodies.ListAnswer:
        """Returns the names and revisions of all visible documents."""
        state = self._config.replica.state
        return bodies.ListAnswer(
            configuration_revision=state.revision,
            documents=tuple(
                bodies.ListItem(document=name, revision=revision)
                for name, revision in sorted(state.document_revisions.items())
                if _may_see(principal, name)
            ),
        )

    def document(
        self, principal: principals.Principal, name: str
    ) -> bodies.DocumentAnswer:
        """Returns a document in force on this instance.

        Raises:
            errors.CodedError: `NOT_ALLOWED` or `NOT_FOUND`.
        """
        principal.check_may_read(_team_of(name) or principal.team)
        state = self._config.replica.state
        document = state.document(name)
        if document is None:
            raise _not_found(f"there is no document {name!r}")
        return bodies.DocumentAnswer(
            document=name,
            revision=state.revision_of(name),
            configuration_revision=state.revision,
            fleet=document if isinstance(document, documents.Fleet) else None,
            team=document if isinstance(document, documents.Team) else None,
            template=(
                document if isinstance(document, documents.Template) else None
            ),
        )

    async def history(
        self,
        principal: principals.Principal,
        *,
        document: str = "",
        before: int = 0,
        limit: int = 20,
    ) -> bodies.HistoryAnswer:
        """Returns accepted changes, newest first.

        Args:
            principal: Sees the changes of its own team or the fleet.
            document: Only changes of this document; empty for all.
            before: Only changes below this revision; 0 for the newest.
            limit: The most to return.

        Raises:
            errors.CodedError: `STORE_OUT`.
        """
        revision = before - 1 if before else self._config.replica.revision
        found: list[bodies.HistoryItem] = []
        for _ in range(_MAX_PAGES):
            if revision <= 0 or len(found) >= limit:
                break
            start = max(0, revision - _CHANGES_PER_PAGE)
            changes = await self._changes(start, revision)
            items = [_item(principal, change) for change in changes[::-1]]
            found += [i for i in items if _matches(i, document)]
            revision = start
        shown = tuple(found[:limit])
        if len(found) > limit:
            revision = shown[-1].revision - 1
        return bodies.HistoryAnswer(
            changes=shown, continue_before=revision + 1 if revision > 0 else 0
        )

    async def change(
        self, principal: principals.Principal, revision: int
    ) -> bodies.ChangeAnswer:
        """Returns an accepted change with its differences.

        Raises:
            errors.CodedError: `NOT_FOUND` or `STORE_OUT`.
        """
        try:
            change = await self._config.store.change(revision)
            item = change and _item(principal, change)
            if change is None or not item.documents:
                raise _not_found(f"there is no change {revision} to see")
            shown: list[faults.Difference] = []
            for name in item.documents:
                shown += await self._differences(change, name)
        except failures.PlatformError as error:
            raise _store_out(error) from error
        return bodies.ChangeAnswer(change=item, differences=tuple(shown))

    async def status(
        self, principal: principals.Principal
    ) -> status_module.StatusAnswer:
        """Returns the status for the next shift.

        While the store is unreachable, the newest changes are left out.
        """
        principal.check_may_read(principal.team)
        replica = self._config.replica
        where = await self._config.inquiry.ask(
            replica.revision, timeout=_STATUS_WAIT
        )
        try:
            history = await self.history(principal, limit=_STATUS_CHANGES)
            changes = history.changes
        except errors.CodedError:
            changes = ()
        return await status_module.build(
            principal,
            replica=replica,
            where=where,
            changes=changes,
            sources=self._sources,
        )

    async def usage(
        self, principal: principals.Principal
    ) -> bodies.UsageAnswer:
        """Returns the totals of all bills, for administrators.

        Raises:
            errors.CodedError: `NOT_ALLOWED`; `STORE_OUT` if a bill can't be
                read, because totals without it would be wrong.
        """
        principal.check_may_read("")
        if self._bills is None:
            raise _not_found("this instance keeps no bills")
        try:
            totals = await self._bills.usage()
        except failures.PlatformError as error:
            raise _store_out(error) from error
        return bodies.UsageAnswer(
            teams=tuple(
                msgspec.convert(total, bodies.UsageItem, from_attributes=True)
                for total in totals
            )
        )

    async def _changes(self, after: int, last: int) -> list[rows.Change]:
        try:
            return await self._config.store.changes_after(
                after, limit=last - after
            )
        except failures.PlatformError as error:
            raise _store_out(error) from error

    async def _differences(
        self, change: rows.Change, name: str
    ) -> list[faults.Difference]:
        base = next(b for b in change.bases if b.document == name)
        before = await self._config.store.change(base.revision)
        return [
            msgspec.structs.replace(found, path=f"{name}: {found.path}")
            for found in differences.between(
                state_module.document_in(before, name),
                state_module.document_in(change, name),
            )
        ]


def _item(
    principal: principals.Principal, change: rows.Change
) -> bodies.HistoryItem:
    return bodies.HistoryItem(
        revision=change.revision,
        accepted_at=change.accepted_at,
        author=str(change.author),
        reason=change.reason,
        operation_id=change.operation_id,
        documents=tuple(
            name
            for name in change.replacement.documents()
            if _may_see(principal, name)
        ),
    )


def _matches(item: bodies.HistoryItem, document: str) -> bool:
    if document:
        return document in item.documents
    return bool(item.documents)


def _may_see(principal: principals.Principal, document: str) -> bool:
    team = _team_of(document)
    return principal.is_administrator or team in (None, principal.team)


def _team_of(document: str) -> str | None:
    """Returns the team that a document belongs to; None for the fleet's."""
    if document == edits.FLEET_DOCUMENT:
        return None
    return document.split("/")[1] if "/" in document else ""


def _not_found(detail: str) -> errors.CodedError:
    return errors.CodedError(code=codes.Code.NOT_FOUND, detail=detail)


def _store_out(error: failures.PlatformError) -> errors.CodedError:
    return errors.CodedError(
        code=codes.Code.STORE_OUT,
        detail=f"the platform's store did not give it: {error}",
        retry_after=datetime.timedelta(seconds=2),
    )
