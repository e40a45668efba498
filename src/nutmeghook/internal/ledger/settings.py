"""Settings of the ledger of claims, bills and session pins."""

import datetime

import msgspec

_MAX_KEPT_BYTES = 16_384


class LedgerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the ledger partitions, limits and retains its records.

    Attributes:
        partitions: Logs that the ledger is split into; fixed for the life
            of the stored rows.
        writes_per_s: Commits a second that all partitions together may make.
        burst_writes: Commits that a partition may make at once when its write
            budget is full.
        window: How long claims, answers and pins are kept.
        minted_window: How long a repeated bill of a request without a
            caller's key is recognised by the holder.
        max_entries: Claims and pins that a partition keeps in memory; more
            are refused.
        max_pending: Records that may wait for a partition's next commit.
        max_batch: Records in one commit.
        max_batch_bytes: Size at which a commit takes no further answers.
        kept_answer_bytes: The largest answer that is kept for retries.
        fold_records: Bills after which an archive object takes no further
            row; also the most rows in one.
        store_timeout: Timeout of a call to the platform's stores.
        failures_to_out: Calls that fail in a row before a store counts as
            out.
        probe_every: Time between probes of a store that is out.
        overflow_writes_per_s: Puts a second that all instances together may
            make while bills go to the object store.
        max_unsettled: Bills and claims in doubt that an instance may hold;
            beyond, it takes no new work.
        call_timeout: Timeout of a call to a partition's holder.
        append_patience: How long a bill waits for the table service before
            it goes to the object store.
        pin_cache_entries: Session pins that an instance caches.
    """

    partitions: int = 16
    writes_per_s: float = 180.0
    burst_writes: int = 4
    window: datetime.timedelta = datetime.timedelta(hours=1)
    minted_window: datetime.timedelta = datetime.timedelta(minutes=2)
    max_entries: int = 100_000
    max_pending: int = 10_000
    max_batch: int = 2_000
    max_batch_bytes: int = 1_000_000
    kept_answer_bytes: int = 16_384
    fold_records: int = 2_000
    store_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    failures_to_out: int = 3
    probe_every: datetime.timedelta = datetime.timedelta(milliseconds=500)
    overflow_writes_per_s: float = 150.0
    max_unsettled: int = 5_000
    call_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    append_patience: datetime.timedelta = datetime.timedelta(seconds=1)
    pin_cache_entries: int = 20_000

    def __post_init__(self):
        for name in (
            "partitions",
            "writes_per_s",
            "burst_writes",
            "max_entries",
            "max_pending",
            "max_batch",
            "max_batch_bytes",
            "fold_records",
            "overflow_writes_per_s",
            "max_unsettled",
        ):
            if getattr(self, name) <= 0:
                raise ValueError(
                    f"{name} is {getattr(self, name)}; give more than 0"
                )
        if not 0 <= self.kept_answer_bytes <= _MAX_KEPT_BYTES:
            raise ValueError(
                f"kept_answer_bytes is {self.kept_answer_bytes}; give 0 to "
                f"{_MAX_KEPT_BYTES}: many share one message"
            )
        if self.window < datetime.timedelta(minutes=1):
            raise ValueError(
                f"window is {self.window}; give at least a minute, and more "
                "than the longest deadline: an older claim is forgotten"
            )
