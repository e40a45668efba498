"""A partition's claims, answers and pins, in the holder's memory.

The index holds the state of the partition's log. Changes of the batch being
committed are staged separately: they are merged once the commit is durable
and discarded once it has certainly failed.
"""

from collections.abc import Callable
import dataclasses
import sys

from nutmeghook.internal.ledger import entries as entries_module
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import records


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Pin:
    """A session's version, and the configuration it was chosen under."""

    model_version: str
    revision: int
    written_ms: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Decision:
    """The outcome of a request.

    Attributes:
        result: The reply, sent once the state that it depends on is durable.
        record: The record to commit before the reply; None if nothing.
        is_final: The result stays true even if this instance has lost the
            partition meanwhile.
        answer_row: Row from which the kept answer has to be read.
    """

    result: records.Result
    record: records.Record | None = None
    is_final: bool = False
    answer_row: str = ""


_RECORDED = records.Recorded()
_FULL = Decision(
    result=records.Refused(reason=records.RefusalReason.FULL), is_final=True
)


def _claim_reply(state: ledger.ClaimState) -> records.ClaimReply:
    return records.ClaimReply(state=state)


class PartitionIndex:
    """Decides requests from the log's state.

    Args:
        is_alive: Tells whether an incarnation is still a member.
        max_entries: New claims and pins are refused beyond these.
        window_ms: How long entries and pins are kept.
        minted_window_ms: How long bills without a caller's key are.
    """

    __slots__ = (
        "_entries",
        "_is_alive",
        "_max_entries",
        "_minted",
        "_minted_window_ms",
        "_pins",
        "_staged_entries",
        "_staged_minted",
        "_staged_pins",
        "_window_ms",
    )

    def __init__(
        self,
        *,
        is_alive: Callable[[str], bool],
        max_entries: int,
        window_ms: int,
        minted_window_ms: int,
    ):
        self._is_alive = is_alive
        self._max_entries = max_entries
        self._window_ms = window_ms
        self._minted_window_ms = minted_window_ms
        self._entries: dict[str, entries_module.Entry] = {}
        self._pins: dict[str, Pin] = {}
        self._minted: dict[str, int] = {}
        self._staged_entries: dict[str, entries_module.Entry] = {}
        self._staged_pins: dict[str, Pin] = {}
        self._staged_minted: dict[str, int] = {}

    def __len__(self) -> int:
        """Returns how many claims and pins are kept."""
        return len(self._entries) + len(self._pins)

    def depends_on_staged(self, request: records.Request) -> bool:
        """Whether the decision depends on the commit in progress."""
        if isinstance(request, records.PinRequest):
            return records.pin_key(request) in self._staged_pins
        key = records.entry_key(request.team, request.key)
        return key in self._staged_entries or key in self._staged_minted

    def decide(self, request: records.Request, *, now_ms: int) -> Decision:
        """Returns a request's decision now, without changing state."""
        if isinstance(request, records.PinRequest):
            return self._decide_pin(request, now_ms)
        entry = self._entry(records.entry_key(request.team, request.key))
        if isinstance(request, records.ClaimRecord):
            return self._decide_claim(request, entry)
        if isinstance(request, records.FinishRecord):
            return self._decide_finish(request, entry)
        return self._decide_close(request, entry)

    def stage(
        self, record: records.Record, *, row_key: str, written_ms: int
    ) -> None:
        """Applies a record of the batch that is about to be committed."""
        self._apply(
            record,
            row_key,
            written_ms,
            self._staged_entries,
            self._staged_pins,
            self._staged_minted,
        )

    def replay(
        self, record: records.Record, *, row_key: str, written_ms: int
    ) -> None:
        """Applies a record read back from the log, in the log's order."""
        self._apply(
            record,
            row_key,
            written_ms,
            self._entries,
            self._pins,
            self._minted,
        )

    def merge_staged(self) -> None:
        """Merges the staged changes; their commit is durable."""
        self._entries.update(self._staged_entries)
        self._pins.update(self._staged_pins)
        self._minted.update(self._staged_minted)
        self.discard_staged()

    def discard_staged(self) -> None:
        """Discards the staged changes; their commit has certainly failed."""
        self._staged_entries.clear()
        self._staged_pins.clear()
        self._staged_minted.clear()

    def expire(self, *, now_ms: int) -> None:
        """Removes entries, pins and bills older than their windows."""
        oldest = now_ms - self._window_ms
        for key in [
            k for k, e in self._entries.items() if self._is_expired(e, oldest)
        ]:
            del self._entries[key]
        for key in [
            k for k, pin in self._pins.items() if pin.written_ms < oldest
        ]:
            del self._pins[key]
        oldest_minted = now_ms - self._minted_window_ms
        for key in [k for k, at in self._minted.items() if at < oldest_minted]:
            del self._minted[key]

    def _is_expired(self, entry: entries_module.Entry, oldest_ms: int) -> bool:
        return entry.written_ms < oldest_ms and not (
            entry.state is entries_module.EntryState.CLAIMED
            and self._is_alive(entry.claimant)
        )

    def _entry(self, key: str) -> entries_module.Entry | None:
        return self._staged_entries.get(key) or self._entries.get(key)

    def _is_full(self) -> bool:
        staged = len(self._staged_entries) + len(self._staged_pins)
        return len(self) + staged >= self._max_entries

    def _decide_claim(
        self, claim: records.ClaimRecord, entry: entries_module.Entry | None
    ) -> Decision:
        if entry is not None and claim.request_id in entry.voided:
            # A late claim of a released try. Its sender has told the caller
            # that nothing ran, so the claim must not win.
            return Decision(result=_claim_reply(ledger.ClaimState.RUNNING))
        if entry is None or entry.state is entries_module.EntryState.OPEN:
            if self._is_full():
                return _FULL
            return Decision(
                result=_claim_reply(ledger.ClaimState.WON), record=claim
            )
        if entry.body_digest and entry.body_digest != claim.body_digest:
            return Decision(
                result=_claim_reply(ledger.ClaimState.BODY_DIFFERS),
                is_final=True,
            )
        return self._decide_repeated_claim(claim, entry)

    def _decide_repeated_claim(
        self, claim: records.ClaimRecord, entry: entries_module.Entry
    ) -> Decision:
        if entry.state is entries_module.EntryState.FINISHED:
            return Decision(
                result=_claim_reply(ledger.ClaimState.ANSWERED),
                is_final=True,
                answer_row=entry.row_key,
            )
        if entry.state is entries_module.EntryState.CLAIMED:
            if entry.request_id == claim.request_id:
                return Decision(result=_claim_reply(ledger.ClaimState.WON))
            if self._is_alive(entry.claimant):
                return Decision(result=_claim_reply(ledger.ClaimState.RUNNING))
        # The claimant is gone or lost the outcome. It may have sent the
        # work, so the request must never run again.
        return Decision(result=_claim_reply(ledger.ClaimState.UNKNOWN))

    def _decide_finish(
        self, finish: records.FinishRecord, entry: entries_module.Entry | None
    ) -> Decision:
        key = records.entry_key(finish.team, finish.key)
        known = key in self._minted or key in self._staged_minted
        finished = (
            entry is not None
            and entry.state is entries_module.EntryState.FINISHED
        )
        if known or finished:
            return Decision(result=_RECORDED, is_final=True)
        return Decision(result=_RECORDED, record=finish)

    def _decide_close(
        self,
        request: records.ReleaseRecord | records.UnknownRecord,
        entry: entries_module.Entry | None,
    ) -> Decision:
        if entry is not None:
            if request.request_id in entry.voided:
                return Decision(result=_RECORDED, is_final=True)
            same_try = entry.request_id == request.request_id
            if entry.state is entries_module.EntryState.FINISHED or (
                same_try and entry.state is entries_module.EntryState.UNKNOWN
            ):
                return Decision(result=_RECORDED, is_final=True)
        return Decision(result=_RECORDED, record=request)

    def _decide_pin(self, request: records.PinRequest, now_ms: int) -> Decision:
        key = records.pin_key(request)
        pin = self._staged_pins.get(key) or self._pins.get(key)
        if pin is None and self._is_full():
            return _FULL
        if pin is None or _may_replace(pin, request):
            return self._new_pin(request, request.proposed, request.revision)
        if now_ms - pin.written_ms > self._window_ms // 2:
            # Still in use: written again before the window expires it.
            return self._new_pin(request, pin.model_version, pin.revision)
        return Decision(
            result=records.PinReply(
                model_version=pin.model_version, revision=pin.revision
            ),
            is_final=True,
        )

    def _new_pin(
        self, request: records.PinRequest, model_version: str, revision: int
    ) -> Decision:
        return Decision(
            result=records.PinReply(
                model_version=model_version, revision=revision
            ),
            record=records.PinRecord(
                team=request.team,
                template=request.template,
                stage_index=request.stage_index,
                session=request.session,
                model_version=model_version,
                revision=revision,
            ),
        )

    def _apply(
        self,
        record: records.Record,
        row_key: str,
        written_ms: int,
        entries: dict[str, entries_module.Entry],
        pins: dict[str, Pin],
        minted: dict[str, int],
    ) -> None:
        if isinstance(record, records.PinRecord):
            pins[records.pin_key(record)] = Pin(
                model_version=sys.intern(record.model_version),
                revision=record.revision,
                written_ms=written_ms,
            )
            return
        key = records.entry_key(record.team, record.key)
        if (
            isinstance(record, records.FinishRecord)
            and not record.given_by_caller
        ):
            minted[key] = written_ms
            return
        entry = self._entry(key) or entries_module.EMPTY_ENTRY
        entries[key] = entries_module.apply_record(
            entry, record, row_key, written_ms
        )


def _may_replace(pin: Pin, request: records.PinRequest) -> bool:
    """Tells whether a session may leave its version.

    Only a request under the pin's configuration revision or a later one may
    replace a pin. An instance that has not yet received a newly added version
    would otherwise find it unlisted and move the session back.
    """
    return (
        pin.model_version in request.unusable
        and request.revision >= pin.revision
    )
