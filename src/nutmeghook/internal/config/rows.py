"""The configuration's rows in the table service, and their keys.

Rows are JSON, so that operators can read them with the platform's own tools.
Decoding ignores unknown fields: the previous release must be able to read the
rows that the next release writes.
"""

import datetime
import enum
import hashlib

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import faults as faults_module

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
DOCUMENT_PREFIX = "config/document/"
OPERATION_PREFIX = "config/operation/"


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The newest revision; each change advances this one row."""

    revision: int


class Author(msgspec.Struct, frozen=True, kw_only=True):
    """The author of a change: a token's name and team."""

    team: str
    name: str

    def __str__(self) -> str:
        """Returns the form for reports."""
        return f"{self.team}/{self.name}"


class BaseRevision(msgspec.Struct, frozen=True, kw_only=True):
    """The revision of a document that a change replaced; 0 for a new one."""

    document: str
    revision: int


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change; never rewritten. These rows are the audit log.

    Attributes:
        operation_id: Chosen by the operator's client.
        accepted_at: Wall time of the accepting instance.
        bases: The revisions of the documents before the change.
        replacement: The whole documents as of this revision.
    """

    revision: int
    operation_id: str
    author: Author
    reason: str
    accepted_at: datetime.datetime
    bases: tuple[BaseRevision, ...]
    replacement: edits.Replacement


class DocumentRow(msgspec.Struct, frozen=True, kw_only=True):
    """A current document; exactly one of the three is set."""

    revision: int
    fleet: documents.Fleet | None = None
    team: documents.Team | None = None
    template: documents.Template | None = None


class Outcome(enum.Enum):
    """The final outcome of an operation."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    ABANDONED = "abandoned"


class OperationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The first and only outcome of an operation id.

    Attributes:
        edit_digest: Distinguishes a retry from another use of the same id;
            empty if the operation was abandoned by an instance that did not
            know its edit.
        revision: Of the accepted change; else the newest one examined.
        code_number: The reason for a refusal, from `foundation.codes`.
        conflict: The change that was accepted first.
    """

    operation_id: str
    outcome: Outcome
    author: Author
    settled_at: datetime.datetime
    edit_digest: str = ""
    reason: str = ""
    revision: int = 0
    code_number: int = 0
    detail: str = ""
    faults: tuple[faults_module.FieldFault, ...] = ()
    conflict: faults_module.Conflict | None = None


def edit_digest(edit: edits.Edit) -> str:
    """Returns a digest of an edit's content."""
    content = msgspec.json.encode(edit, order="deterministic")
    return hashlib.sha256(content).hexdigest()


def change_key(revision: int) -> str:
    """Returns the key of a change's row; keys sort like revisions."""
    return f"{CHANGE_PREFIX}{revision:012d}"


def document_row_key(document: str) -> str:
    """Returns the key of a document's row."""
    return DOCUMENT_PREFIX + document


def operation_key(team: str, operation_id: str) -> str:
    """Returns the key of an operation's row.

    Ids are scoped by the team of the token, so that a team can neither read
    nor abandon another team's operation by guessing its id.
    """
    return f"{OPERATION_PREFIX}{team}/{operation_id}"
