"""Serves peers the rows that they lack, in pieces."""

import collections
import datetime

import msgspec
import xxhash

from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.table_replication import bandwidth_limiter
from nutmeghook.internal.table_replication import pages
from nutmeghook.internal.table_replication import shared_table
from nutmeghook.internal.table_replication import source

# A piece takes 26 ms on a link of 5 Mbit/s: it delays responses to callers
# little, and a receiver soon notices a peer that has stopped sending.
PIECE_BYTES = 16 * 1024
# Peers that lag behind are at a few different revisions at a time.
_MAX_CACHED_CONTENTS = 6
_MILLISECOND = datetime.timedelta(milliseconds=1)


class _Content(msgspec.Struct, frozen=True, kw_only=True):
    """A page's bytes.

    Attributes:
        revision: The table's when the page was encoded.
        whole: It holds all rows, not only changes.
        data_hash: Identifies the bytes; the same on every instance.
    """

    revision: int
    whole: bool
    data: bytes
    data_hash: int


class PageServer:
    """Answers peers' requests for a table's changes.

    Whole copies sent to all peers at once would share a slow link until each
    takes longer than its receiver's timeout. So a copy is sent in pieces, the
    rate is limited to a share of the link, and requests beyond it are refused
    at once, so that the peer asks another instance.
    """

    __slots__ = ("_contents", "_deletion_grace", "_limiter", "_tables")

    def __init__(
        self,
        *,
        tables: dict[str, shared_table.SharedTable],
        deletion_grace: shared_table.DeletionGrace,
        limiter: bandwidth_limiter.BandwidthLimiter,
    ):
        self._tables = tables
        self._deletion_grace = deletion_grace
        self._limiter = limiter
        self._contents: collections.OrderedDict[
            tuple[str, int, bool], _Content
        ] = collections.OrderedDict()

    async def serve(self, request: ttypes.TablePull) -> ttypes.TablePiece:
        """Returns the next piece of what a peer lacks.

        Raises:
            errors.CodedError: This instance does not have the table, or its
                link is busy; another peer may serve the request.
        """
        table = self._tables.get(request.table_name)
        if table is None or table.revision < 0:
            raise errors.CodedError(
                code=codes.Code.NOT_FOUND,
                detail=f"table {request.table_name} has not been loaded",
            )
        same_rows = request.rows_hash == table.copy.rows_hash and (
            revisions.epoch_of(request.after_revision)
            == revisions.epoch_of(table.revision)
        )
        if same_rows:
            content = _encoded((), table=table)
        else:
            content = self._content(
                table,
                request.table_name,
                request.after_revision,
                whole_values=bool(request.whole_values),
            )
        first_byte = 0
        if request.content_hash == content.data_hash:
            first_byte = min(max(0, request.first_byte), len(content.data))
        data = content.data[first_byte : first_byte + PIECE_BYTES]
        if not self._limiter.try_take(len(data)):
            raise errors.CodedError(
                code=codes.Code.OVERLOADED, detail="the link is busy"
            )
        return ttypes.TablePiece(
            revision=table.revision,
            whole=content.whole,
            settle_ms=round(self._deletion_grace.remaining() / _MILLISECOND),
            content_hash=content.data_hash,
            content_bytes=len(content.data),
            first_byte=first_byte,
            data=data,
            same_rows=same_rows or None,
        )

    def _content(
        self,
        table: shared_table.SharedTable,
        name: str,
        after_revision: int,
        *,
        whole_values: bool,
    ) -> _Content:
        """Returns the encoded page for peers at a revision, cached."""
        key = (name, after_revision, whole_values)
        known = self._contents.get(key)
        if known is not None and known.revision == table.revision:
            self._contents.move_to_end(key)
            return known
        changes = table.copy.changes_after(after_revision)
        whole = changes is None
        made = _encoded(
            table.copy.rows() if changes is None else changes,
            table=table,
            whole=whole,
            known_revision=None if whole or whole_values else after_revision,
        )
        self._contents[key] = made
        self._contents.move_to_end(key)
        if len(self._contents) > _MAX_CACHED_CONTENTS:
            self._contents.popitem(last=False)
        return made


def _encoded(
    rows: tuple[source.FollowedRow, ...],
    *,
    table: shared_table.SharedTable,
    whole: bool = False,
    known_revision: int | None = None,
) -> _Content:
    """Returns the page with some rows of a table at its revision."""
    data = pages.encode(rows, table=table.copy, known_revision=known_revision)
    return _Content(
        revision=table.revision,
        whole=whole,
        data=data,
        # 63 bits, since thrift's integers are signed.
        data_hash=xxhash.xxh3_64_intdigest(data) >> 1,
    )
