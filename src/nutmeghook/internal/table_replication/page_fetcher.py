"""Fetches from peers the rows that this instance lacks, in pieces."""

import dataclasses
import datetime
import enum

from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.inner import peers as peers_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.observe import logs
from nutmeghook.internal.table_replication import pages
from nutmeghook.internal.table_replication import shared_table

# For one piece, which takes 26 ms on a slow link and a few ms on others. A
# slower peer is abandoned, since others have the same bytes; the transfer
# continues after the pieces received from it.
_PIECE_TIMEOUT = datetime.timedelta(milliseconds=400)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Outcome(enum.Enum):
    """The result of an attempt to catch up from a peer."""

    CAUGHT_UP = "caught_up"
    # To be requested from the same peer again shortly: its link was busy, the
    # store's feed advanced the table meanwhile, or a delta's base is missing.
    TRY_AGAIN = "try_again"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Partial:
    """The pieces received so far.

    Attributes:
        after_revision: The table's when the first piece was requested.
        content_hash: Of the whole content; the same from every peer.
    """

    after_revision: int
    content_hash: int
    data: bytearray


class PageFetcher:
    """Fetches one table's changes.

    A transfer that a peer breaks off is resumed from another one, as long as
    both serve the same bytes; so a large change arrives even if each peer fails
    halfway.
    """

    __slots__ = (
        "_caller",
        "_clock",
        "_deletion_grace",
        "_name",
        "_partial",
        "_table",
        "_whole_values",
    )

    def __init__(
        self,
        *,
        name: str,
        table: shared_table.SharedTable,
        caller: peers_module.PeerCaller,
        deletion_grace: shared_table.DeletionGrace,
        clock: clock_module.Clock,
    ):
        self._name = name
        self._table = table
        self._caller = caller
        self._deletion_grace = deletion_grace
        self._clock = clock
        self._partial: _Partial | None = None
        # The last deltas received did not apply to the row held here.
        self._whole_values = False

    async def catch_up(self, address: str) -> Outcome:
        """Fetches pieces from a peer until the content is complete."""
        previous_revision = self._table.revision
        try:
            piece = await self._next_piece(address)
            while not self._is_complete(piece):
                piece = await self._next_piece(address)
        except (
            peers_module.PeerRefusedError,
            peers_module.PeerUnreachableError,
        ) as error:
            if _is_busy(error):
                return Outcome.TRY_AGAIN
            logs.note("peer:pull_failed", peer=address, error=str(error))
            return Outcome.FAILED
        return self._apply(piece, address, previous_revision)

    async def _next_piece(self, address: str) -> ttypes.TablePiece:
        """Requests the next piece and appends it."""
        partial = self._partial
        if partial and partial.after_revision != self._table.revision:
            # The store's feed advanced the table; other rows are missing now.
            partial = None
        after_revision = self._table.revision
        piece = await self._caller.call(
            address,
            ttypes.TablePull(
                table_name=self._name,
                after_revision=after_revision,
                whole_values=self._whole_values or None,
                content_hash=partial.content_hash if partial else None,
                first_byte=len(partial.data) if partial else None,
                rows_hash=(
                    self._table.copy.rows_hash if after_revision >= 0 else None
                ),
            ),
            timeout=_PIECE_TIMEOUT,
        )
        if not partial or piece.content_hash != partial.content_hash:
            partial = _Partial(
                after_revision=after_revision,
                content_hash=piece.content_hash,
                data=bytearray(),
            )
        if piece.first_byte != len(partial.data):
            raise peers_module.PeerUnreachableError(
                f"piece starts at byte {piece.first_byte}, expected "
                f"{len(partial.data)}"
            )
        partial.data += piece.data
        self._partial = partial
        return piece

    def _is_complete(self, piece: ttypes.TablePiece) -> bool:
        return len(self._partial.data) >= piece.content_bytes

    def _apply(
        self, piece: ttypes.TablePiece, address: str, previous_revision: int
    ) -> Outcome:
        partial, self._partial = self._partial, None
        if not piece.whole and self._table.revision != partial.after_revision:
            # The store's feed advanced the table, and the page applies to an
            # older revision.
            return Outcome.TRY_AGAIN
        try:
            rows = pages.decode(bytes(partial.data), table=self._table.copy)
        except pages.InvalidPageError as error:
            logs.note("peer:page_unusable", peer=address, error=str(error))
            self._whole_values = True
            return Outcome.TRY_AGAIN
        self._whole_values = False
        if piece.settle_ms > 0 and not self._is_store_steady():
            self._deletion_grace.hold_deletions(
                self._clock.monotonic() + piece.settle_ms * _MILLISECOND
            )
        if piece.same_rows:
            self._table.note_same_rows(piece.revision)
        else:
            self._table.apply_update(rows, piece.revision, whole=piece.whole)
        logs.note(
            "peer:caught_up",
            table=self._name,
            epoch=revisions.epoch_of(piece.revision),
            revision=revisions.version_of(piece.revision),
            before=revisions.version_of(previous_revision),
            peer=address,
            bytes=len(partial.data),
        )
        return Outcome.CAUGHT_UP

    def _is_store_steady(self) -> bool:
        """Tells whether no entry can have expired in an outage of the store.

        A peer that was cut off from all others takes that for an outage.
        """
        steady_time = self._table.follower.steady_time()
        return steady_time > shared_table.LAPSE_GRACE


def _is_busy(error: Exception) -> bool:
    """Tells whether a peer refused because its link was busy."""
    return (
        isinstance(error, peers_module.PeerRefusedError)
        and error.code_number == codes.Code.OVERLOADED.number
    )
