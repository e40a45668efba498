"""The JSON bodies of the administration API, and their strict decoding."""

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
    """Requests a change.

    Attributes:
        reason: Why, for the history and for the author of a conflicting edit.
        wait_ms: How long to wait for it to be in force on all instances.
    """

    reason: str
    edit: edits.Edit
    wait_ms: int = DEFAULT_WAIT_MS


class DraftBody(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a dry run of a change."""

    edit: edits.Edit


class DraftAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What a change would do to this revision, and its faults."""

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
        revision: The document's revision, which an edit of it has to expect.
        configuration_revision: The revision of the whole configuration.
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
        continue_before: The next page's `before`; 0 if there is none.
    """

    changes: tuple[HistoryItem, ...]
    continue_before: int = 0


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change with its differences."""

    change: HistoryItem
    differences: tuple[faults.Difference, ...]


class UsageItem(msgspec.Struct, frozen=True, kw_only=True):
    """The usage of one team's requests; money in millionths of a euro."""

    team: str
    requests: int
    prompt_tokens: int
    output_tokens: int
    cost_micros: int
    spent_micros: int


class UsageAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The totals of all retained bills, each bill counted once."""

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
    """Decodes a body, rejecting unknown fields.

    The documents' types accept unknown fields, because rows are shared by
    releases that run side by side. In an operator's input a misspelt field
    would be dropped silently and its default be in force, so unknown fields
    are found by comparing the input with the decoded body.

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
