"""Totals compared with the users' budgets."""

import dataclasses

from bench.capacity import data_path
from bench.capacity import figures
from bench.capacity import ledger_holder
from bench.capacity import node
from bench.capacity import planned
from bench.capacity import platform_load

_LIST = "routing/directory"
_LEASE_RANKS = "leases/preference"
# Mechanisms whose processor time hardly shows in an idle process of today's
# fleet, since it grows with the fleet.
_SCALING = (
    _LIST,
    _LEASE_RANKS,
    "routing/cells",
    "routing/poller",
    "limits/ceiling",
)
_LEDGER_INDEX = "memory of a full index (100,000 claims)"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Check:
    """One budget and the figure computed for it."""

    name: str
    value: float
    limit: float
    unit: str
    basis: str
    runs: tuple[str, ...]

    @property
    def is_met(self) -> bool:
        """Whether the value is within the limit."""
        return self.value <= self.limit


def checks(facts: figures.Facts) -> list[Check]:
    """Returns all budgets."""
    return [
        *_processor(facts),
        *_memory(facts),
        *_traffic(facts),
        *_platform(facts),
        *_latency(facts),
    ]


def _processor(facts: figures.Facts) -> list[Check]:
    parts = node.processor(facts)
    total = sum(part.value for part in parts)
    scaling_parts = {
        mechanism: sum(p.value for p in parts if p.mechanism == mechanism)
        for mechanism in _SCALING
    }
    idle = facts.value("node.control_core_percent")
    scaled = idle + sum(scaling_parts.values())
    runs = ("node", "footprint", "membership", "config", "instance_list")

    def check(name, value, basis):
        return Check(
            name=name,
            value=value,
            limit=planned.CONTROL_CPU_PERCENT,
            unit="% of a core",
            basis=basis,
            runs=runs,
        )

    return [
        check(
            "control, sum of the mechanisms",
            total,
            "table of the node's processor time",
        ),
        check(
            "control, idle process of today and what grows",
            scaled,
            "node measured + list, lease ranks, cells, ceiling",
        ),
        check(
            "the latter, if ranks were worked out when members change only",
            scaled - scaling_parts[_LEASE_RANKS],
            "the ranks' part left out",
        ),
    ]


def _memory(facts: figures.Facts) -> list[Check]:
    total = sum(part.value for part in node.memory(facts))
    index = next(
        part.value
        for part in ledger_holder.all_figures(facts)
        if part.name == _LEDGER_INDEX
    )
    streams = next(
        part.value
        for part in data_path.all_figures(facts)
        if part.name == data_path.STREAMS
    )

    def check(name, value, basis):
        return Check(
            name=name,
            value=value,
            limit=planned.CONTROL_MEMORY_MB,
            unit="MB",
            basis=basis,
            runs=("node", "footprint"),
        )

    return [
        check("control's memory", total, "table of the node's memory"),
        check(
            "whole process, with open streams",
            total + streams,
            "control and data path",
        ),
        check(
            "holder of one of 64 ledger partitions, index full",
            total + streams + index,
            "the above and the index",
        ),
    ]


def _traffic(facts: figures.Facts) -> list[Check]:
    parts = node.traffic(facts)
    total = sum(part.value for part in parts)
    # Bytes between instances are sent by one and received by another.
    inner = sum(part.value for part in parts[:3])

    def check(name, value, basis):
        return Check(
            name=name,
            value=value,
            limit=planned.CONTROL_BYTES_PER_S,
            unit="B/s",
            basis=basis,
            runs=("membership", "config", "footprint", "instance_list"),
        )

    return [
        check("control, sent plus received", total, "table of the traffic"),
        check(
            "the same, each byte between instances counted once",
            total - inner / 2,
            "half of the first three rows",
        ),
    ]


def _platform(facts: figures.Facts) -> list[Check]:
    return [
        Check(
            name="table service, writes",
            value=platform_load.table_writes_per_s(facts),
            limit=planned.TABLE_WRITES_PER_S,
            unit="1/s",
            basis="table of the platform",
            runs=("ledger",),
        ),
        Check(
            name="table service, reads",
            value=platform_load.table_reads_per_s(),
            limit=planned.TABLE_READS_PER_S,
            unit="1/s",
            basis="table of the platform; settings only",
            runs=(),
        ),
    ]


def _latency(facts: figures.Facts) -> list[Check]:
    claim_64 = facts.value("ledger.claim_p95_ms_64_partitions") / 1000
    claim_16 = facts.value("ledger.claim_p95_ms") / 1000
    path = facts.value("relay.added_first_token_p95_ms") / 1000
    token_s = 1 / facts.value("relay.tokens_per_core_s")

    def first(name, value, basis, runs):
        return Check(
            name=name,
            value=value,
            limit=planned.FIRST_TOKEN_S * planned.OWN_SHARE_OF_FIRST_TOKEN,
            unit="s",
            basis=basis,
            runs=runs,
        )

    return [
        Check(
            name="a change in force",
            value=facts.at("config.in_force_p99_s", planned.NODES),
            limit=planned.IN_FORCE_S,
            unit="s",
            basis="line at 420, one process for all; regions not in it",
            runs=("config",),
        ),
        first(
            "our part of the first token, no caller's key",
            path,
            "added by the request path; half of 0.39 s is left to the rest",
            ("relay",),
        ),
        first(
            "the same with a key, 16 partitions",
            path + claim_16,
            "and the claim's wait; region's round trip not in it",
            ("relay", "ledger"),
        ),
        first(
            "the same with a key, 64 partitions",
            path + claim_64,
            "likewise",
            ("relay", "ledger"),
        ),
        Check(
            name="our processor time in the gap of two tokens",
            value=token_s,
            limit=planned.TOKEN_GAP_S,
            unit="s",
            basis="one token's relay; the gap itself was not measured",
            runs=("relay",),
        ),
    ]
