"""Costs of every entry instance at the planned size."""

from bench.capacity import cascade_sizes
from bench.capacity import figures
from bench.capacity import planned
from nutmeghook.internal.routing import cascade_reader
from nutmeghook.internal.routing import load_digests
from nutmeghook.internal.routing import poller
from nutmeghook.internal.settings import specs

MEMORY = "node-memory"
TRAFFIC = "node-traffic"
PROCESSOR = "node-processor"

_MIB = 1024 * 1024 / planned.MB
_US_PERCENT = 1e-4
# First token, answer, and requests by their code, for each template.
_METRIC_SERIES_PER_TEMPLATE = 2
_CELL_PEERS = 5
_REPLICAS_PER_NODE = planned.REPLICAS / planned.NODES


def memory(facts: figures.Facts) -> list[figures.Figure]:
    """Returns control's memory by content, in MB."""
    idle_mb = facts.value("node.memory_idle_mb") * _MIB
    events = int(
        next(
            s for s in specs.SERVE_SPECS if s.name == "event_ring_events"
        ).default
    )

    def memory_of(name: str, thing: str, count: float, mechanism: str):
        series = f"footprint.{thing}_memory_bytes"
        return figures.Figure(
            group=MEMORY,
            name=name,
            value=facts.slope(series) * count / planned.MB,
            unit="MB",
            basis=f"slope x {count:,.0f}",
            runs=("footprint",),
            mechanism=mechanism,
        )

    templates = planned.TEMPLATES
    return [
        figures.Figure(
            group=MEMORY,
            name="process with code and libraries, today's size",
            value=idle_mb,
            unit="MB",
            basis="measured, resident",
            runs=("node",),
            mechanism="assembly/instance",
        ),
        memory_of(
            "replicas, with affinity ring",
            "replica",
            planned.REPLICAS,
            "routing/directory, routing/affinity",
        ),
        memory_of("members", "member", planned.NODES, "membership/table"),
        memory_of(
            "configuration: templates, their part of teams",
            "template",
            templates,
            "config/replica",
        ),
        memory_of("time line's events", "event", events, "observe/events"),
        memory_of(
            "metric series by template",
            "metric_series",
            templates * _METRIC_SERIES_PER_TEMPLATE,
            "observe/metrics",
        ),
    ]


def traffic(facts: figures.Facts) -> list[figures.Figure]:
    """Returns control's bytes per second, sent plus received."""

    def row(name, value, basis, mechanism, runs=("footprint",)):
        return figures.Figure(
            group=TRAFFIC,
            name=name,
            value=value,
            unit="B/s",
            basis=basis,
            runs=runs,
            mechanism=mechanism,
            exceeds_budget=value > planned.CONTROL_BYTES_PER_S,
        )

    report_bytes = facts.value("footprint.load_report_bytes")
    period_s = poller.report_period(round(_REPLICAS_PER_NODE)).total_seconds()
    remote_s = poller.REMOTE_REPORT_PERIOD.total_seconds()
    lease_bytes = facts.value("footprint.lease_renewal_bytes")
    return [
        row(
            "membership: probes, rumours, table swaps",
            facts.at("membership.bytes_per_s", planned.NODES),
            "fit at 420 nodes",
            "membership/gossip, membership/exchange",
            ("membership",),
        ),
        row(
            "configuration: digests and 3,700 changes a day",
            facts.largest("config.control_bytes_per_s"),
            "the largest size measured, 42 a data centre (planned: 47)",
            "config/distribution, config/exchange",
            ("config",),
        ),
        row(
            "in-flight digests to and from the cell's five peers",
            2 * load_digests.BUDGET_BYTES_PER_S,
            "the mechanism's own limit, both ways; replies not counted",
            "routing/load_gossip, routing/load_digests",
            (),
        ),
        row(
            "load reports of its part of the replicas",
            report_bytes * _REPLICAS_PER_NODE / period_s,
            f"size x {_REPLICAS_PER_NODE:.1f} replicas / {period_s:.1f} s",
            "routing/poller",
        ),
        row(
            "load reports of other cells",
            report_bytes / remote_s,
            f"size / {remote_s:.0f} s",
            "routing/poller",
        ),
        row(
            "leases: its part of renewals and candidates' looks",
            3 * planned.LEASES * lease_bytes / planned.NODES,
            "size x 67 leases x 3 calls a second / 420",
            "leases/keeper",
        ),
        row(
            "instance list for routing",
            facts.value("instance_list.node_average.4400"),
            "measured with 4,400 replicas, asked for changes each second",
            "standin_http/http_instances",
            ("instance_list",),
        ),
        row(
            "cascades' plans, however many change",
            cascade_sizes.reading_bytes(facts)
            / cascade_reader.READ_EVERY.total_seconds(),
            "head, 12,000 bytes of plans and one bucket, each 60 s",
            "routing/cascade_reader",
        ),
    ]


def processor(facts: figures.Facts) -> list[figures.Figure]:
    """Returns control's processor time in % of a core, by mechanism."""

    def row(name, value, basis, mechanism, runs=("footprint",)):
        return figures.Figure(
            group=PROCESSOR,
            name=name,
            value=value,
            unit="% of a core",
            basis=basis,
            runs=runs,
            mechanism=mechanism,
            exceeds_budget=value > planned.CONTROL_CPU_PERCENT,
        )

    http_us = facts.value("footprint.http_call_us")
    inner_us = facts.value("footprint.inner_call_both_sides_us")
    period_s = poller.report_period(round(_REPLICAS_PER_NODE)).total_seconds()
    polls = _REPLICAS_PER_NODE / period_s + 1.5
    lease_calls = 3 * planned.LEASES / planned.NODES
    return [
        row(
            "membership",
            100 * facts.at("membership.cpu_share", planned.NODES),
            "fit at 420 nodes; without the kernel's part",
            "membership/service",
            ("membership",),
        ),
        row(
            "configuration",
            facts.largest("config.cpu_percent"),
            "the largest size measured",
            "config/distribution",
            ("config",),
        ),
        row(
            "instance list: applied when a line changed",
            facts.value("instance_list.apply.4400")
            / 10
            * planned.LIST_CHANGES_PER_S,
            "measured with 4,400 replicas; 89 failures, 360 replacements a day",
            "routing/directory",
            ("instance_list",),
        ),
        row(
            "who should hold which lease, asked each second",
            facts.at("footprint.lease_rank_us", planned.NODES)
            * planned.LEASES
            * _US_PERCENT,
            "fit at 420 members x 67 leases",
            "leases/preference",
        ),
        row(
            "its cell, worked out each second",
            facts.at("footprint.cell_us", planned.NODES) * _US_PERCENT,
            "fit at 420 members",
            "routing/cells",
        ),
        row(
            "its cell's replicas, when any replica changed",
            facts.at("footprint.cell_refresh_us", planned.REPLICAS)
            * _US_PERCENT,
            "fit at 4,400 replicas; once a second at most",
            "routing/cells",
        ),
        row(
            "whose report it polls, asked each second",
            facts.at("footprint.whose_report_us", planned.REPLICAS)
            * _US_PERCENT,
            "fit at 4,400 replicas",
            "routing/poller",
        ),
        row(
            "the ceiling of its places, each second",
            facts.at("footprint.ceiling_us", planned.REPLICAS) * _US_PERCENT,
            "fit at 4,400 replicas",
            "limits/ceiling",
        ),
        row(
            "in-flight digests to and from five peers",
            _CELL_PEERS * inner_us * _US_PERCENT,
            "a call a second and peer, both sides",
            "routing/load_gossip",
        ),
        row(
            "load reports and list over HTTP",
            polls * http_us * _US_PERCENT,
            f"{polls:.1f} calls a second",
            "standin_http/http_engine",
        ),
        row(
            "leases' calls over HTTP",
            lease_calls * http_us * _US_PERCENT,
            f"{lease_calls:.2f} calls a second",
            "leases/keeper",
        ),
    ]


def all_figures(facts: figures.Facts) -> list[figures.Figure]:
    """Returns all figures of this module."""
    return [
        *memory(facts),
        *traffic(facts),
        *processor(facts),
    ]
