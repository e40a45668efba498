"""Costs of special roles in addition to those of every node."""

import functools

from bench.capacity import cascade_sizes
from bench.capacity import figures
from bench.capacity import ledger_holder
from bench.capacity import planned
from nutmeghook.internal.config import distribution_tree
from nutmeghook.internal.membership import peer_discovery
from nutmeghook.internal.membership import timing
from nutmeghook.internal.observe import gathering
from nutmeghook.internal.rollout import controller as rollout_controller
from nutmeghook.internal.routing import cascade_publisher
from nutmeghook.internal.routing import cascade_reader
from nutmeghook.internal.routing import cascade_rows

CONFIGURATION = "configuration"
HOLDERS = "other-holders"
MEMBERSHIP = "membership"
TIME_LINE = "time-line"

_US_PERCENT = 1e-4
# Rate of allowance requests by all instances that have none, per version.
_ALLOWANCE_REQUESTS_PER_S = 25
_HEAD_READS_PER_S = 2
# An order that is later than this delays a roll-out's step.
_MAX_PASS_S = 300
# A longer stall of the event loop delays a first token too much.
_MAX_STALL_S = 0.1


def configuration(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the costs of distributing the configuration."""
    exchange = facts.value("footprint.config_exchange_bytes")
    anywhere_per_s = planned.NODES / 3

    row = functools.partial(figures.row, CONFIGURATION, runs=("config",))
    readers = distribution_tree.READERS * planned.DATA_CENTRES
    return [
        row(
            "busiest node without changes (a reader, a parent of seven)",
            facts.value("config.control_bytes_per_s.126.busiest_idle"),
            "B/s",
            "measured, 42 instances a data centre",
            "config/distribution_tree",
        ),
        row(
            "one change, at each node",
            facts.largest("config.bytes_per_change"),
            "B",
            "measured at 126 instances, both ways",
            "config/distribution",
        ),
        row(
            "in force everywhere, 99 in 100",
            facts.largest("config.in_force_p99_s"),
            "s",
            "measured at 126 instances, no network between them",
            "config/distribution",
        ),
        row(
            "the same by the line at 420",
            facts.at("config.in_force_p99_s", planned.NODES),
            "s",
            "fit; one process does the work of all",
            "config/distribution",
        ),
        row(
            "one change applied",
            facts.at("footprint.change_us", planned.TEMPLATES),
            "us of processor",
            "fit at 3,000 templates",
            "config/state",
            runs=("footprint",),
        ),
        row(
            "reads of the head by all readers",
            readers * _HEAD_READS_PER_S,
            "1/s",
            "2 readers x 9 data centres x 2 a second",
            "config/distribution",
            runs=(),
        ),
        row(
            "random exchanges on each link between regions",
            anywhere_per_s
            * ledger_holder.REMOTE_SHARE
            * exchange
            / ledger_holder.REGION_LINKS,
            "B/s",
            "420 / 3 s, two thirds of them far, six directed links",
            "config/distribution",
            runs=("footprint",),
        ),
    ]


def _learning(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the costs of the holder that learns the cascades for all.

    At the planned size nearly every template gets ratings in each step.
    """
    row = functools.partial(figures.row, HOLDERS, runs=("footprint",))
    writing_s = cascade_rows.BUCKETS / cascade_publisher.COMMITS_PER_S
    step_s = max(writing_s, cascade_publisher.PUBLISH_EVERY.total_seconds())
    tables_bytes = cascade_sizes.tables_bytes(facts)
    moved_per_s = 2 * tables_bytes * 4 / 3 / step_s
    stall_s = facts.value("footprint.cascades_step_stand_ms") / 1000
    busy_percent = facts.value("footprint.cascades_step_ms") / 10 / step_s
    all_plans_bytes = cascade_rows.BUCKETS * cascade_sizes.bucket_bytes(facts)
    readings = all_plans_bytes / cascade_reader.MAX_READ_BYTES
    return [
        row(
            "cascades: rows of what was learned",
            tables_bytes / planned.MB,
            "MB",
            "fit at 3,000 templates in 256 buckets",
            "routing/cascade_rows",
        ),
        row(
            "cascades: written and read back",
            moved_per_s,
            "B/s",
            f"every bucket each {step_s:.0f} s, in base64; fewer if fewer "
            "templates get ratings",
            "routing/cascade_publisher",
            exceeds_budget=moved_per_s > planned.CONTROL_BYTES_PER_S,
        ),
        row(
            "cascades: processor time",
            busy_percent,
            "% of a core",
            f"a step with 6,300 ratings of 3,000 young templates, each "
            f"{step_s:.0f} s; HTTP not in it",
            "routing/cascade_publisher",
            exceeds_budget=busy_percent > planned.CONTROL_CPU_PERCENT,
        ),
        row(
            "cascades: the event loop stands, at the longest",
            stall_s,
            "s",
            "measured in that step, processor time between two turns",
            "routing/cascade_publisher",
            exceeds_budget=stall_s > _MAX_STALL_S,
        ),
        row(
            "cascades: all plans change at once, and are with all after",
            readings * cascade_reader.READ_EVERY.total_seconds() / 60,
            "min",
            "the rows of all plans / 12,000 bytes x 60 s",
            "routing/cascade_reader",
        ),
    ]


def other_holders(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the costs of holders of the fleet-wide tasks' leases."""
    row = functools.partial(figures.row, HOLDERS)
    allowance_bytes = facts.value("footprint.leave_bytes")
    requests_per_s = _ALLOWANCE_REQUESTS_PER_S * planned.CONCURRENT_ROLL_OUTS
    pass_s = facts.value("orders.changed_pass.4400.lasts")
    new_plan_s = facts.largest("footprint.orders_plan_new_us") / 1e6
    inner_us = facts.value("footprint.inner_call_both_sides_us")
    budget = planned.CONTROL_BYTES_PER_S
    return [
        row(
            "roll-outs: questions for leave, nothing being ready",
            requests_per_s * allowance_bytes,
            "B/s",
            "25 a second and version x 10 roll-outs",
            "rollout/allowance",
            ("footprint",),
            exceeds_budget=requests_per_s * allowance_bytes > budget,
        ),
        row(
            "roll-outs: processor time for them",
            requests_per_s * inner_us / 2 * _US_PERCENT,
            "% of a core",
            "half an inner call each",
            "rollout/allowance",
            ("footprint",),
        ),
        row(
            "roll-outs: reads and writes of the pool's row",
            2 / rollout_controller.TICK.total_seconds(),
            "1/s",
            "at most, each second one of both",
            "rollout/controller",
            (),
        ),
        *_learning(facts),
        row(
            "orders: one pass over all engines",
            pass_s / 60,
            "min",
            "measured at 4,400 engines, four cells with news",
            "orders/cell_reports",
            ("orders",),
            exceeds_budget=pass_s > _MAX_PASS_S,
        ),
        row(
            "orders: bytes of a pass",
            facts.value("orders.changed_pass.4400.rate"),
            "B/s",
            "measured likewise; without the list",
            "orders/cell_reports",
            ("orders",),
        ),
        row(
            "orders: the event loop stands while it plans a new version",
            new_plan_s,
            "s",
            "largest size measured, 880 engines of one model",
            "orders/planning",
            ("footprint",),
            exceeds_budget=new_plan_s > _MAX_STALL_S,
        ),
        row(
            "orders: the same, nothing to be loaded",
            facts.largest("footprint.orders_plan_us") / 1e6,
            "s",
            "largest size measured, 880 engines of one model",
            "orders/planning",
            ("footprint",),
        ),
    ]


def membership(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the figures of the membership protocol."""
    row = functools.partial(figures.row, MEMBERSHIP, runs=("membership",))
    sent = facts.at("membership.bytes_per_s", planned.NODES) / 2
    list_s = timing.Timing().list_period.total_seconds()
    return [
        row(
            "a crash is known to all after, worst of three",
            facts.at("membership.detect_s", planned.NODES),
            "s",
            "fit at 420 nodes; noisy, see the error",
            "membership/detector",
        ),
        row(
            "all start at once and agree after",
            facts.at("membership.join_s", planned.NODES),
            "s",
            "fit at 420 nodes",
            "membership/peer_discovery",
        ),
        row(
            "each directed link between two regions",
            planned.NODES
            * sent
            * ledger_holder.REMOTE_SHARE
            / ledger_holder.REGION_LINKS,
            "B/s",
            "420 x bytes sent x 2/3 / 6 links",
            "membership/gossip",
        ),
        row(
            f"a list reader ({peer_discovery.LIST_READERS} a data centre), "
            "besides",
            facts.value("instance_list.not_modified_read.4400") / list_s,
            "B/s",
            f'a read that says "not changed", each {list_s:.0f} s',
            "membership/listing",
            runs=("instance_list",),
        ),
    ]


def time_line(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the costs of gathering the time line."""
    per_s = planned.NODE_REQUESTS_PER_S * 6
    kept = 8192
    event_bytes = facts.slope("footprint.events_page_bytes")
    pages = -(-kept // gathering.EVENTS_PER_PAGE)
    memory_bytes = facts.slope("footprint.event_memory_bytes")
    gathered_mb = planned.NODES * kept * memory_bytes / planned.MB

    row = functools.partial(
        figures.row,
        TIME_LINE,
        mechanism="observe/gathering, observe/events",
    )
    return [
        row(
            "a node's ring holds",
            kept / per_s,
            "s of the peak",
            "8,192 events / (20 requests x 6 a second)",
        ),
        row(
            "full rings of all nodes, gathered by one",
            planned.NODES * kept * event_bytes / planned.MB,
            "MB",
            f"slope x 8,192 x 420, in {pages} pages a node",
            runs=("footprint",),
        ),
        row(
            "in the memory of who gathers",
            gathered_mb,
            "MB",
            "slope x 8,192 x 420",
            runs=("footprint",),
            exceeds_budget=gathered_mb > planned.CONTROL_MEMORY_MB,
        ),
    ]


def all_figures(facts: figures.Facts) -> list[figures.Figure]:
    """Returns all figures of this module."""
    return [
        *ledger_holder.all_figures(facts),
        *configuration(facts),
        *other_holders(facts),
        *membership(facts),
        *time_line(facts),
    ]
