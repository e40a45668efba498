"""Takes from peers the rows that this instance lacks, piece by piece."""

import dataclasses
import datetime
import enum

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.inner import peers as peers_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.observe import logs
from nutmeghook.internal.table_replication import pages
from nutmeghook.internal.table_replication import shared_table

# For one piece, which takes 26 ms on a slow link and some ms on others. A peer
# that is slower is not worth waiting for, as others know the same; the pieces
# that it gave are kept.
_PIECE_TIMEOUT = datetime.timedelta(milliseconds=400)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Outcome(enum.Enum):
    """How asking a peer ended."""

    CAUGHT_UP = "caught_up"
    # It may be asked again a little later: its link was busy, or the store
    # was quicker, or what it gave starts from a row that is not here.
    TRY_AGAIN = "try_again"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Partial:
    """Pieces that came so far.

    Attributes:
        after_revision: The table's when the first was asked for.
        content_hash: Of the whole content, whoever gives it.
    """

    after_revision: int
    content_hash: int
    data: bytearray


class PageFetcher:
    """Catches up with one table.

    A large change arrives even where each giver ends in the middle: the next
    peer goes on where the last one stopped, as long as both have the same bytes
    to give.
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
        # The last steps that came did not fit the row that is here.
        self._whole_values = False

    async def catch_up(self, address: str) -> Outcome:
        """Takes pieces from a peer until nothing is missing."""
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
        """Asks for what follows the pieces at hand, and adds it to them."""
        partial = self._partial
        if partial and partial.after_revision != self._table.revision:
            # The store was quicker; what is missing now is something else.
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
                f"a piece from byte {piece.first_byte}, not {len(partial.data)}"
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
            # The store was quicker, and the page follows an older revision.
            return Outcome.TRY_AGAIN
        try:
            rows = pages.decode(bytes(partial.data), table=self._table.copy)
        except pages.InvalidPageError as error:
            logs.note("peer:page_unusable", peer=address, error=str(error))
            self._whole_values = True
            return Outcome.TRY_AGAIN
        self._whole_values = False
        if piece.settle_ms > 0:
            self._deletion_grace.hold_deletions(
                self._clock.monotonic() + piece.settle_ms * _MILLISECOND
            )
        self._table.apply_update(rows, piece.revision, whole=piece.whole)
        logs.note(
            "peer:caught_up",
            table=self._name,
            revision=piece.revision,
            before=previous_revision,
            peer=address,
            bytes=len(partial.data),
        )
        return Outcome.CAUGHT_UP


def _is_busy(error: Exception) -> bool:
    """Tells whether a peer refused only because its link was busy."""
    return (
        isinstance(error, peers_module.PeerRefusedError)
        and error.code_number == codes.Code.OVERLOADED.number
    )
