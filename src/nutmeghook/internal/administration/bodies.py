"""The JSON bodies of the administration API, and their strict reading."""

from collections.abc import Iterator
import datetime
from typing import Any
from typing import TypeVar

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import faults
from nutmeghook.internal.config import in_force
from nutmeghook.internal.config import rows
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

_T = TypeVar("_T")
DEFAULT_WAIT_MS = 4000


class SubmitBody(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for a change.

    Attributes:
        reason: Why, for the audit and for whoever loses a race to it.
        wait_ms: How long to wait for it to be in force on all instances.
    """

    reason: str
    edit: edits.Edit
    wait_ms: int = DEFAULT_WAIT_MS


class DraftBody(msgspec.Struct, frozen=True, kw_only=True):
    """Asks what a change would do."""

    edit: edits.Edit


class DraftAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What a change would do on this revision, and what is wrong with it."""

    revision: int
    faults: tuple[faults.FieldFault, ...]
    differences: tuple[faults.Difference, ...]


class OperationAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A settled operation; `where` is set after an accepted change."""

    operation: rows.OperationRecord
    where: in_force.InForce | None = None


class DocumentAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A document in force on the answering instance.

    Attributes:
        document: Its name, for example `template/agency/dossier`.
        revision: What an edit of it has to expect.
        configuration_revision: The whole configuration's.
    """

    document: str
    revision: int
    configuration_revision: int
    fleet: documents.Fleet | None = None
    team: documents.Team | None = None
    template: documents.Template | None = None


class ListItem(msgspec.Struct, frozen=True, kw_only=True):
    """A document's name and revision."""

    document: str
    revision: int


class ListAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The documents that the caller may see."""

    configuration_revision: int
    documents: tuple[ListItem, ...]


class HistoryItem(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change, without the documents' content."""

    revision: int
    accepted_at: datetime.datetime
    author: str
    reason: str
    operation_id: str
    documents: tuple[str, ...]


class HistoryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted changes, newest first.

    Attributes:
        continue_before: Give this as `before` to go on; 0 at the end.
    """

    changes: tuple[HistoryItem, ...]
    continue_before: int = 0


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change with all that it changed."""

    change: HistoryItem
    differences: tuple[faults.Difference, ...]


class UsageItem(msgspec.Struct, frozen=True, kw_only=True):
    """What one team's requests used; money in millionths of a euro."""

    team: str
    requests: int
    prompt_tokens: int
    output_tokens: int
    cost_micros: int
    spent_micros: int


class UsageAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The totals of all bills that are kept, each bill counted once."""

    teams: tuple[UsageItem, ...]


class ErrorFields(msgspec.Struct, frozen=True, kw_only=True):
    """What went wrong; codes are in docs/RESULT_CODES.md."""

    code: int
    name: str
    message: str
    run_state: str
    retry_after_ms: int | None = None


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of every answer that is an error.

    Attributes:
        operation: The settled outcome behind the error, if there is one,
            with its field faults or the change that won.
    """

    error: ErrorFields
    operation: rows.OperationRecord | None = None


def decode(content: bytes, body_type: type[_T]) -> _T:
    """Reads a body strictly.

    Rows are read leniently, for releases that run side by side, so the
    documents' types let unknown fields pass. An operator's misspelt field
    must not: it would be dropped in silence and its default be in force. The
    unknown ones are found by comparing with what was understood.

    Raises:
        errors.CodedError: `BAD_JSON`, or `BAD_FIELD` naming every unknown
            field.
    """
    try:
        raw = msgspec.json.decode(content)
        body = msgspec.convert(raw, body_type)
    except msgspec.ValidationError as error:
        raise errors.CodedError(
            code=codes.Code.BAD_FIELD, detail=str(error)
        ) from error
    except msgspec.DecodeError as error:
        raise errors.CodedError(
            code=codes.Code.BAD_JSON, detail=str(error)
        ) from error
    unknown = list(_unknown_fields("$", raw, msgspec.to_builtins(body)))
    if unknown:
        raise errors.CodedError(
            code=codes.Code.BAD_FIELD,
            detail=f"unknown fields, check their spelling: "
            f"{', '.join(unknown)}",
        )
    return body


def _unknown_fields(path: str, raw: Any, understood: Any) -> Iterator[str]:
    if isinstance(raw, dict):
        for name, value in raw.items():
            if name in understood:
                yield from _unknown_fields(
                    f"{path}.{name}", value, understood[name]
                )
            else:
                yield f"{path}.{name}"
    elif isinstance(raw, list):
        for index, pair in enumerate(zip(raw, understood, strict=True)):
            yield from _unknown_fields(f"{path}[{index}]", *pair)
