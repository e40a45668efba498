"""Costs of a ledger partition for the instance that holds it."""

import functools

from bench.capacity import figures
from bench.capacity import planned
from nutmeghook.internal.ledger import settings as ledger_settings

GROUP = "ledger-holder"

_US_PERCENT = 1e-4
_LEDGER = ledger_settings.LedgerSettings()
# With three regions, two thirds of the messages to a random instance go to
# another region.
REMOTE_SHARE = 2 / 3
REGION_LINKS = planned.REGIONS * (planned.REGIONS - 1)


def entries_a_partition() -> float:
    """Returns the keyed requests of one partition in the window."""
    window_s = _LEDGER.window.total_seconds()
    keyed = planned.REQUESTS_PER_S * planned.KEYED_SHARE
    return keyed * window_s / planned.PARTITIONS


def records_a_partition() -> float:
    """Returns the claims and bills per second of one partition."""
    return planned.RECORDS_PER_S / planned.PARTITIONS


def full_after_s() -> float:
    """Returns the time until a partition's index is full at the peak."""
    keyed = planned.REQUESTS_PER_S * planned.KEYED_SHARE
    return _LEDGER.max_entries * planned.PARTITIONS / keyed


def all_figures(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the costs of one of 64 partitions for its holder."""
    row = functools.partial(figures.row, GROUP)
    record_us = facts.value("ledger.holder_cpu_us_per_record")
    inner_us = facts.value("footprint.inner_call_both_sides_us")
    pin_questions = planned.REQUESTS_PER_S * planned.SESSION_SHARE
    messages_per_s = records_a_partition() + pin_questions / planned.PARTITIONS
    holder_percent = messages_per_s * (record_us + inner_us / 2) * _US_PERCENT
    entry_bytes = facts.slope("footprint.claim_memory_bytes")
    pin_bytes = facts.slope("footprint.pin_memory_bytes")
    window_entries = entries_a_partition()
    kept_entries = min(window_entries, _LEDGER.max_entries)
    commits = _LEDGER.writes_per_s / planned.PARTITIONS
    row_bytes = facts.at(
        "footprint.row_bytes", planned.RECORDS_PER_S / _LEDGER.writes_per_s
    )
    replay_s = (
        facts.value("ledger.replay_cpu_us_per_record")
        * records_a_partition()
        * _LEDGER.window.total_seconds()
        / 1e6
    )
    log_bytes = row_bytes * commits * _LEDGER.window.total_seconds()
    message_bytes = (
        facts.value("footprint.claim_bytes")
        + facts.value("footprint.bill_with_answer_bytes")
    ) / 2
    return [
        row(
            "records and pin questions",
            messages_per_s,
            "1/s",
            "(16,800 records + 4,200 questions) / 64",
            "ledger/service",
            (),
        ),
        row(
            "processor time",
            holder_percent,
            "% of a core",
            "messages of one record each, plus half an inner call",
            "ledger/partition",
            ("ledger", "footprint"),
            exceeds_budget=holder_percent > planned.CONTROL_CPU_PERCENT,
        ),
        row(
            "bytes with other instances",
            messages_per_s * message_bytes,
            "B/s",
            "mean of claim and bill, sent and received",
            "inner/tcp_server",
            ("footprint",),
        ),
        row(
            "claims and bills on each directed link between regions",
            planned.RECORDS_PER_S
            * message_bytes
            * REMOTE_SHARE
            / REGION_LINKS
            / planned.MB,
            "MB/s",
            "16,800 a second, two thirds of them far, six links",
            "ledger/sender",
            ("footprint",),
        ),
        row(
            "rows written",
            commits * row_bytes * 4 / 3,
            "B/s",
            f"{commits:.1f} commits a second, in base64",
            "ledger/log",
            ("footprint",),
        ),
        row(
            "claims to remember in the window of 1 h",
            window_entries,
            "entries",
            "131 a second; the setting max_entries allows 100,000",
            "ledger/index",
            (),
            exceeds_budget=window_entries > _LEDGER.max_entries,
        ),
        row(
            "the index is full, new keys are refused, after",
            full_after_s(),
            "s at the peak",
            "100,000 x 64 / 8,400",
            "ledger/index",
            (),
            exceeds_budget=full_after_s() < _LEDGER.window.total_seconds(),
        ),
        row(
            "the same with 16 partitions, the default",
            full_after_s() / 4,
            "s at the peak",
            "a quarter",
            "ledger/index",
            (),
            exceeds_budget=full_after_s() / 4 < _LEDGER.window.total_seconds(),
        ),
        row(
            "memory of a full index (100,000 claims)",
            kept_entries * entry_bytes / planned.MB,
            "MB",
            "slope x 100,000",
            "ledger/index",
            ("footprint",),
        ),
        row(
            "memory of the whole window, were it allowed",
            window_entries
            * (entry_bytes + planned.SESSION_SHARE * pin_bytes)
            / planned.MB,
            "MB",
            "slopes x claims, and x half as many pins",
            "ledger/index",
            ("footprint",),
            exceeds_budget=window_entries * entry_bytes
            > planned.CONTROL_MEMORY_MB * planned.MB,
        ),
        row(
            "log read at a take-over",
            log_bytes / planned.MB,
            "MB",
            "rows of one window",
            "ledger/log",
            ("footprint",),
            exceeds_budget=log_bytes > planned.CONTROL_MEMORY_MB * planned.MB,
        ),
        row(
            "processor time of a take-over",
            replay_s,
            "s",
            "replay x records of one window; reading not counted",
            "ledger/partition",
            ("ledger",),
            exceeds_budget=replay_s > 1.0,
        ),
        row(
            "a claim's wait at the peak, 95 in 100",
            facts.value("ledger.claim_p95_ms_64_partitions") / 1000,
            "s",
            "measured on virtual time, 1 ms between instances",
            "ledger/budget",
            ("ledger",),
            exceeds_budget=facts.value("ledger.claim_p95_ms_64_partitions")
            / 1000
            > planned.FIRST_TOKEN_S * planned.OWN_SHARE_OF_FIRST_TOKEN,
        ),
        row(
            "a claim's wait with 16 partitions, 95 in 100",
            facts.value("ledger.claim_p95_ms") / 1000,
            "s",
            "the same; a holder then has four times the work",
            "ledger/budget",
            ("ledger",),
        ),
        row(
            "processor time of a holder with 16 partitions",
            4 * holder_percent,
            "% of a core",
            "four times the above",
            "ledger/partition",
            ("ledger", "footprint"),
            exceeds_budget=4 * holder_percent > planned.CONTROL_CPU_PERCENT,
        ),
    ]
