"""The ledger at the planned peak: store writes, latency, processor time.

Everything runs in one process on virtual time, with a table service that
answers after 5 ms. Processor time is this machine's; the rest is deterministic.
"""

import asyncio

from bench import report
from bench.models import ledger_costs
from bench.models import ledger_load
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.ledger import records
from tests import ledger_cluster
from tests import ledger_history

_PEAK_PER_S = 8400
_INSTANCES = 21
# What docs/design/ledger.md recommends for the planned size.
_PLANNED_PARTITIONS = 64
_MEASURED_S = 3
_LOW_RATE_PER_S = 20
_TODAY_INSTANCES = 7
_HISTORY_SEEDS = range(1000, 1010)
_HISTORY_STEPS = 80


def run() -> list[report.Line]:
    """Measures all lines."""
    return [
        *_peak_lines(),
        *_low_rate_lines(),
        *_take_over_lines(),
        *_cost_lines(),
        *_history_lines(),
    ]


def _peak_lines() -> list[report.Line]:
    """All requests have a caller's key, which is the most expensive mix."""
    peak = ledger_load.measure_steady_rate(
        per_s=_PEAK_PER_S, instances=_INSTANCES, seconds=_MEASURED_S
    )
    planned = ledger_load.measure_steady_rate(
        per_s=_PEAK_PER_S,
        instances=_INSTANCES,
        seconds=_MEASURED_S,
        partitions=_PLANNED_PARTITIONS,
    )
    per_request = peak.writes / peak.requests
    return [
        # Claims and bills are records of the same commits, one each.
        report.Line(
            name="claims.store_writes_per_request",
            value=round(per_request / 2, 5),
            unit="writes",
            bound=300 / _PEAK_PER_S / 2,
        ),
        report.Line(
            name="bills.store_writes_per_request",
            value=round(per_request / 2, 5),
            unit="writes",
            bound=300 / _PEAK_PER_S / 2,
        ),
        report.Line(
            name="ledger.store_writes_per_s_at_peak",
            value=round(peak.writes / peak.seconds, 1),
            unit="writes/s",
            bound=300,
        ),
        report.Line(
            name="ledger.finish_p95_ms",
            value=_p95_ms(peak.load.finish_s),
            unit="ms",
            bound=130,
        ),
        report.Line(
            name="ledger.claim_p95_ms",
            value=_p95_ms(peak.load.claim_s),
            unit="ms",
            bound=130,
        ),
        report.Line(
            name="ledger.claim_p95_ms_64_partitions",
            value=_p95_ms(planned.load.claim_s),
            unit="ms",
            bound=450,
        ),
        report.Line(
            name="ledger.store_writes_per_s_64_partitions",
            value=round(planned.writes / planned.seconds, 1),
            unit="writes/s",
            bound=300,
        ),
    ]


def _low_rate_lines() -> list[report.Line]:
    """At today's size and a low rate a commit is sent at once."""
    low_rate = ledger_load.measure_steady_rate(
        per_s=_LOW_RATE_PER_S, instances=_TODAY_INSTANCES, seconds=20
    )
    return [
        report.Line(
            name="ledger.quiet_finish_p95_ms",
            value=_p95_ms(low_rate.load.finish_s),
            unit="ms",
            bound=30,
        )
    ]


def _take_over_lines() -> list[report.Line]:
    return [
        report.Line(
            name="ledger.take_over_known_death_s",
            value=ledger_load.take_over_s(
                instances=_TODAY_INSTANCES, noticed=True
            ),
            unit="s",
            bound=4,
        ),
        report.Line(
            name="ledger.take_over_by_lapse_s",
            value=ledger_load.take_over_s(
                instances=_TODAY_INSTANCES, noticed=False
            ),
            unit="s",
            bound=8,
        ),
    ]


def _cost_lines() -> list[report.Line]:
    finish = records.finish_record(
        ledger_cluster.bill("key-000000", request_id="req-3f2a9c1d5e70-17"),
        ledger_cluster.ANSWER,
    )
    message = ttypes.LedgerAppend(
        partition=3, records=[records.encoder.encode(finish)]
    )
    wire = codec.encode(message, sequence=1, wants_reply=True).data
    return [
        report.Line(
            name="ledger.holder_cpu_us_per_record",
            value=ledger_costs.holder_cpu_us(records_per_message=1),
            unit="us",
        ),
        report.Line(
            name="ledger.holder_cpu_us_per_record_of_20",
            value=ledger_costs.holder_cpu_us(records_per_message=20),
            unit="us",
        ),
        report.Line(
            name="ledger.replay_cpu_us_per_record",
            value=ledger_costs.replay_cpu_us(),
            unit="us",
        ),
        report.Line(
            name="ledger.wire_bytes_per_record",
            value=len(wire),
            unit="bytes",
            bound=250,
        ),
        report.Line(
            name="ledger.memory_bytes_per_entry",
            value=ledger_costs.memory_bytes_per_entry(),
            unit="bytes",
            bound=700,
        ),
    ]


def _history_lines() -> list[report.Line]:
    operations = 0
    violations = 0
    for seed in _HISTORY_SEEDS:
        history = asyncio.run(
            ledger_history.play(seed=seed, steps=_HISTORY_STEPS)
        )
        operations += history.operations
        violations += len(history.violations)
    return [
        report.Line(
            name="history.ledger_operations_checked",
            value=operations,
            unit="operations",
            bound=100,
            better=report.Better.HIGHER,
        ),
        report.Line(
            name="history.ledger_violations",
            value=violations,
            unit="violations",
            bound=0,
        ),
    ]


def _p95_ms(durations_s: list[float]) -> float:
    ordered = sorted(durations_s)
    return round(ordered[int(len(ordered) * 0.95)] * 1000, 1)
