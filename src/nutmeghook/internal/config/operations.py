"""Requested changes and their outcomes."""

import dataclasses

from nutmeghook.internal.config import edits
from nutmeghook.internal.config import faults
from nutmeghook.internal.config import rows
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.leases import lease as lease_module


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Operation:
    """A requested change.

    Attributes:
        operation_id: Chosen by the client, unique within the author's team.
        fence: The lease that the author must still hold when the change
            commits; None for operators.
    """

    operation_id: str
    author: rows.Author
    reason: str
    edit: edits.Edit
    fence: lease_module.Lease | None = None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Draft:
    """The effect that a change would have if it were accepted now."""

    revision: int
    faults: tuple[faults.FieldFault, ...]
    differences: tuple[faults.Difference, ...]


def recorded_outcome(
    record: rows.OperationRecord, operation: Operation
) -> rows.OperationRecord:
    """Returns the recorded outcome, if it belongs to this operation.

    Raises:
        errors.CodedError: `OPERATION_REUSED`: the id was used for another
            change.
    """
    digest = rows.edit_digest(operation.edit)
    if record.edit_digest and record.edit_digest != digest:
        raise errors.CodedError(
            code=codes.Code.OPERATION_REUSED,
            detail=f"operation id {operation.operation_id!r} was "
            f"{record.outcome.value} by {record.author} for another change; "
            f"use a new id for this one",
        )
    return record


def error_of(record: rows.OperationRecord) -> errors.CodedError | None:
    """Returns the error for a recorded outcome; None if accepted."""
    if record.outcome is rows.Outcome.ACCEPTED:
        return None
    for code in codes.Code:
        if code.number == record.code_number:
            return errors.CodedError(code=code, detail=record.detail)
    return errors.CodedError(
        code=codes.Code.INTERNAL,
        detail=f"operation {record.operation_id} has the unknown error code "
        f"{record.code_number}",
    )
