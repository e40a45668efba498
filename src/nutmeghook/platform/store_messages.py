"""Messages of the platform's store, and their translation.

The wire has versions; the product has revisions, see `dependencies.revisions`.
"""

import base64
import datetime
from typing import Annotated

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import stored_json
from nutmeghook.internal.table_replication import source

_MAX_EPOCH_DIGITS = 7
# Some 30,000 years.
_MAX_NOW_MS = 1e15
_Version = Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_VERSION)]


class Row(msgspec.Struct, frozen=True, rename="camel"):
    """A row, or a deleted one."""

    key: str
    table: str = ""
    part: str = ""
    value: str = ""
    row_version: _Version = 0
    deleted: bool = False


class Rows(msgspec.Struct, frozen=True, rename="camel"):
    """The body of an answer."""

    rows: list[Row] = []
    # The newest version of any row; the answer is complete up to it.
    row_version: _Version = 0
    now_ms: Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_NOW_MS)] = 0.0
    has_more: bool = False
    # Stated in a header of the answer.
    epoch: int = 0

    @property
    def revision(self) -> int:
        """The revision that the answer is complete up to."""
        return revisions.combine(self.epoch, self.row_version)

    def revision_of(self, row: Row) -> int:
        """Returns the revision of a row of the answer."""
        return revisions.combine(self.epoch, row.row_version)


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer of the store, in the epoch that it states."""

    status: int
    body: bytes
    epoch: int


class RowRef(msgspec.Struct, frozen=True, rename="camel"):
    """The place of a row."""

    table: str
    key: str
    part: str = ""


class _Expected(msgspec.Struct, frozen=True, rename="camel"):
    table: str
    key: str
    # 0: the row must not exist.
    row_version: int
    part: str = ""


class _Write(msgspec.Struct, frozen=True, rename="camel"):
    table: str
    key: str
    value: str
    part: str = ""


class Transaction(msgspec.Struct, frozen=True, rename="camel"):
    """The body of a conditional write."""

    # Conditions on the versions of rows; the wire calls them revisions.
    expected_rev: list[_Expected]
    write: list[_Write]
    remove: list[RowRef]


_ROWS = msgspec.json.Decoder(Rows)


def split_key(key: str) -> tuple[str, str]:
    """Returns the table and the row's key of `TABLE/KEY`."""
    table, separator, row_key = key.partition("/")
    if not separator:
        raise ValueError(f"key is {key!r}; give TABLE/KEY")
    return table, row_key


def encode(transaction: table_module.Transaction) -> Transaction:
    """Returns a transaction as it is sent."""
    expected = []
    for condition in transaction.conditions:
        table, key = split_key(condition.key)
        expected.append(
            _Expected(
                table=table,
                key=key,
                row_version=revisions.version_of(condition.version),
            )
        )
    writes = []
    for put in transaction.puts:
        table, key = split_key(put.key)
        value = base64.b64encode(put.value).decode()
        writes.append(_Write(table=table, key=key, value=value))
    removed = [split_key(key) for key in transaction.deletes]
    return Transaction(
        expected_rev=expected,
        write=writes,
        remove=[RowRef(table=table, key=key) for table, key in removed],
    )


def epoch_of_conditions(transaction: table_module.Transaction) -> int | None:
    """Returns the earliest epoch of rows that have to be unchanged, if any."""
    return min(
        (
            revisions.epoch_of(condition.version)
            for condition in transaction.conditions
            if condition.version != table_module.ABSENT_VERSION
        ),
        default=None,
    )


def decode(answer: Answer) -> Rows:
    """Returns the body of an answer.

    Raises:
        failures.OutcomeUnknownError: It is malformed.
    """
    try:
        rows = stored_json.decode(answer.body, _ROWS)
    except stored_json.UnreadableError as error:
        raise failures.OutcomeUnknownError(
            f"malformed answer of the store: {error}"
        ) from error
    return msgspec.structs.replace(rows, epoch=answer.epoch)


def table_row(answer: Rows, row: Row, table: str) -> table_module.Row:
    """Returns a row of an answer, for reads and writes."""
    return table_module.Row(
        key=f"{table}/{row.key}",
        value=_value(row),
        version=answer.revision_of(row),
    )


def followed_rows(answer: Rows) -> list[source.FollowedRow]:
    """Returns the rows of an answer, for replication."""
    return [
        source.FollowedRow(
            key=row.key,
            value=_value(row),
            version=answer.revision_of(row),
            deleted=row.deleted,
        )
        for row in answer.rows
    ]


def _value(row: Row) -> bytes:
    """Returns a row's value; empty if it can't be read, as no row's is."""
    try:
        return base64.b64decode(row.value)
    except ValueError:
        return b""


def page(
    answer: Rows, rows: list[source.FollowedRow], revision: int
) -> source.Page:
    """Returns a page of rows that is complete up to a revision."""
    return source.Page(
        rows=tuple(rows),
        revision=revision,
        store_time=datetime.timedelta(milliseconds=answer.now_ms),
    )


def read_epoch(text: str | None) -> int | None:
    """Returns a stated epoch; None if it is missing or can't be read."""
    text = (text or "").strip()
    if not text.isascii() or not text.isdigit():
        return None
    if len(text) > _MAX_EPOCH_DIGITS:
        return None
    epoch = int(text)
    return epoch if epoch <= revisions.MAX_EPOCH else None
