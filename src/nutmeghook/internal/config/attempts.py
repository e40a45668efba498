"""Prepares one attempt at an operation: the outcome and its transaction."""

import dataclasses
import datetime

import msgspec

from nutmeghook.internal.config import differences
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import faults
from nutmeghook.internal.config import operations
from nutmeghook.internal.config import planning
from nutmeghook.internal.config import rows
from nutmeghook.internal.config import state as state_module
from nutmeghook.internal.config import store as store_module
from nutmeghook.internal.config import validation
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors


class LeaseLapsedError(Exception):
    """The operation's author no longer holds its fencing lease."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Attempt:
    """The outcome that one attempt would write, and its transaction.

    Attributes:
        change: None for a refusal.
    """

    record: rows.OperationRecord
    transaction: table.Transaction
    change: rows.Change | None = None


async def prepare(
    operation: operations.Operation,
    *,
    head: store_module.HeadReading,
    state: state_module.ConfigState,
    store: store_module.ConfigStore,
    now: datetime.datetime,
) -> Attempt:
    """Returns the attempt for a state at the head revision.

    Raises:
        LeaseLapsedError: The operation's lease is no longer held.
        failures.PlatformError: The change that a refusal conflicts with can't
            be read.
    """
    refused = rows.OperationRecord(
        operation_id=operation.operation_id,
        outcome=rows.Outcome.REFUSED,
        author=operation.author,
        settled_at=now,
        edit_digest=rows.edit_digest(operation.edit),
        reason=operation.reason,
        revision=head.revision,
    )
    try:
        replacement = planning.plan(operation.edit, state)
    except planning.StaleRevisionError as error:
        return _refusal(
            refused,
            code=codes.Code.CONFLICT,
            detail=str(error),
            conflict=await _conflict(error, store),
        )
    except errors.CodedError as error:
        return _refusal(refused, code=error.code, detail=error.detail)
    after = state.with_replacement(replacement, revision=head.revision + 1)
    found = find_faults(operation.edit, state, after)
    if found:
        return _refusal(
            refused,
            code=codes.Code.INVALID_TEMPLATE,
            detail="; ".join(str(fault) for fault in found),
            found=tuple(found),
        )
    return _acceptance(operation, head, state, replacement, now)


def find_faults(
    edit: edits.Edit,
    before: state_module.ConfigState,
    after: state_module.ConfigState,
) -> list[faults.FieldFault]:
    """Returns the faults for which an edit is refused."""
    found = validation.added_faults(before.snapshot, after.snapshot)
    if isinstance(edit, edits.WithdrawVersion) and edit.allow_unusable:
        found = [fault for fault in found if not fault.waivable]
    return found


def find_differences(
    before: state_module.ConfigState,
    after: state_module.ConfigState,
    replacement: edits.Replacement,
) -> tuple[faults.Difference, ...]:
    """Returns what a replacement changes, with paths that name documents."""
    return tuple(
        msgspec.structs.replace(
            difference, path=f"{document}: {difference.path}"
        )
        for document in replacement.documents()
        for difference in differences.between(
            before.document(document), after.document(document)
        )
    )


def check_fence(
    operation: operations.Operation, result: table.CommitResult
) -> None:
    """Distinguishes a lapsed lease from a concurrent change.

    Raises:
        LeaseLapsedError: The lease's row differs from the version that the
            holder knows now. The commit's condition can't be used for this:
            the holder's own renewal changes the version too.
    """
    lease = operation.fence
    if lease is None:
        return
    for row in result.current:
        if row.key == lease.row_key and row.version != lease.row_version():
            raise LeaseLapsedError(lease.name)


def absent_operation(team: str, operation_id: str) -> table.Condition:
    """Returns the condition that an operation has no outcome yet."""
    return table.Condition(
        key=rows.operation_key(team, operation_id),
        version=table.ABSENT_VERSION,
    )


def put_record(record: rows.OperationRecord) -> table.Put:
    """Returns the write of an operation's outcome."""
    return _put(
        rows.operation_key(record.author.team, record.operation_id), record
    )


def _acceptance(
    operation: operations.Operation,
    head: store_module.HeadReading,
    state: state_module.ConfigState,
    replacement: edits.Replacement,
    now: datetime.datetime,
) -> Attempt:
    change = rows.Change(
        revision=head.revision + 1,
        operation_id=operation.operation_id,
        author=operation.author,
        reason=operation.reason,
        accepted_at=now,
        bases=tuple(
            rows.BaseRevision(
                document=document, revision=state.revision_of(document)
            )
            for document in replacement.documents()
        ),
        replacement=replacement,
    )
    record = rows.OperationRecord(
        operation_id=operation.operation_id,
        outcome=rows.Outcome.ACCEPTED,
        author=operation.author,
        settled_at=now,
        edit_digest=rows.edit_digest(operation.edit),
        reason=operation.reason,
        revision=change.revision,
    )
    transaction = table.Transaction(
        conditions=(
            table.Condition(key=rows.HEAD_KEY, version=head.version),
            absent_operation(operation.author.team, operation.operation_id),
            *_fence_conditions(operation),
        ),
        puts=(
            _put(rows.HEAD_KEY, rows.Head(revision=change.revision)),
            _put(rows.change_key(change.revision), change),
            put_record(record),
            *_document_puts(replacement, change.revision),
        ),
        deletes=tuple(
            rows.document_row_key(edits.template_document(t.team, t.name))
            for t in replacement.removed_templates
        ),
    )
    return Attempt(record=record, transaction=transaction, change=change)


def _refusal(
    record: rows.OperationRecord,
    *,
    code: codes.Code,
    detail: str,
    found: tuple[faults.FieldFault, ...] = (),
    conflict: faults.Conflict | None = None,
) -> Attempt:
    record = msgspec.structs.replace(
        record,
        code_number=code.number,
        detail=detail,
        faults=found,
        conflict=conflict,
    )
    absent = absent_operation(record.author.team, record.operation_id)
    return Attempt(
        record=record,
        transaction=table.Transaction(
            conditions=(absent,), puts=(put_record(record),)
        ),
    )


async def _conflict(
    error: planning.StaleRevisionError, store: store_module.ConfigStore
) -> faults.Conflict:
    """Returns the change that was accepted first, and how it differs."""
    winner = await store.change(error.current_revision)
    read = await store.change(error.expected_revision)
    return faults.Conflict(
        document=error.document,
        expected_revision=error.expected_revision,
        current_revision=error.current_revision,
        author=str(winner.author) if winner else "",
        reason=winner.reason if winner else "the document no longer exists",
        operation_id=winner.operation_id if winner else "",
        accepted_at=winner.accepted_at if winner else None,
        differences=differences.between(
            state_module.document_in(read, error.document),
            state_module.document_in(winner, error.document),
        ),
    )


def _fence_conditions(
    operation: operations.Operation,
) -> tuple[table.Condition, ...]:
    lease = operation.fence
    if lease is None:
        return ()
    if lease.fencing_token() is None:
        raise LeaseLapsedError(lease.name)
    # Fencing: if the holder is paused here while another instance takes the
    # lease over, the lease's row changes and the commit fails.
    return (table.Condition(key=lease.row_key, version=lease.row_version()),)


def _document_puts(
    replacement: edits.Replacement, revision: int
) -> list[table.Put]:
    written: list[tuple[str, rows.DocumentRow]] = []
    if replacement.fleet is not None:
        row = rows.DocumentRow(revision=revision, fleet=replacement.fleet)
        written.append((edits.FLEET_DOCUMENT, row))
    for team in replacement.teams:
        row = rows.DocumentRow(revision=revision, team=team)
        written.append((edits.team_document(team.name), row))
    for template in replacement.templates:
        row = rows.DocumentRow(revision=revision, template=template)
        document = edits.template_document(template.team, template.name)
        written.append((document, row))
    return [_put(rows.document_row_key(name), row) for name, row in written]


def _put(key: str, content: msgspec.Struct) -> table.Put:
    return table.Put(key=key, value=msgspec.json.encode(content))
