"""Gives peers the rows that they lack, piece by piece."""

import collections
import dataclasses
import datetime

import xxhash

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.table_replication import bandwidth_limiter
from nutmeghook.internal.table_replication import pages
from nutmeghook.internal.table_replication import shared_table

# On a link of 5 Mbit/s a piece takes 26 ms, so callers' answers wait little
# behind one, and a peer that still sends is told from one that does not.
PIECE_BYTES = 16 * 1024
# Peers lag behind at a few different revisions at a time.
_MAX_CACHED_CONTENTS = 6
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Content:
    """A page's bytes.

    Attributes:
        revision: The table's when it was made.
        whole: It holds all rows, not changes only.
        hash_of_data: Names the bytes; the same on every instance.
    """

    revision: int
    whole: bool
    data: bytes
    data_hash: int


class PageServer:
    """Answers peers that ask for a table's changes.

    Full copies for all that ask would share a slow link until each takes longer
    than its receiver waits. So a copy goes in pieces, what is sent is limited
    to a share of the link, and who asks beyond that hears at once that another
    peer is the better one to ask.
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
            errors.CodedError: The table is not known here, or the link is
                busy; another peer may help.
        """
        table = self._tables.get(request.table_name)
        if table is None or table.revision < 0:
            raise errors.CodedError(
                code=codes.Code.NOT_FOUND,
                detail=f"nothing is known of table {request.table_name}",
            )
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
        )

    def _content(
        self,
        table: shared_table.SharedTable,
        name: str,
        after_revision: int,
        *,
        whole_values: bool,
    ) -> _Content:
        """Returns the bytes for a peer at a revision; made once for all."""
        key = (name, after_revision, whole_values)
        known = self._contents.get(key)
        if known is not None and known.revision == table.revision:
            self._contents.move_to_end(key)
            return known
        changes = table.copy.changes_after(after_revision)
        whole = changes is None
        data = pages.encode(
            table.copy.rows() if changes is None else changes,
            table=table.copy,
            known_revision=None if whole or whole_values else after_revision,
        )
        made = _Content(
            revision=table.revision,
            whole=whole,
            data=data,
            # Half of the range, as thrift's numbers have a sign.
            data_hash=xxhash.xxh3_64_intdigest(data) >> 1,
        )
        self._contents[key] = made
        self._contents.move_to_end(key)
        if len(self._contents) > _MAX_CACHED_CONTENTS:
            self._contents.popitem(last=False)
        return made
