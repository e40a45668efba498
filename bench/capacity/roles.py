"""What the holders of special parts spend beyond a node's usual."""

import functools

from bench.capacity import figures
from bench.capacity import ledger_holder
from bench.capacity import node
from bench.capacity import planned
from nutmeghook.internal.config import partners
from nutmeghook.internal.membership import contacts
from nutmeghook.internal.membership import timing
from nutmeghook.internal.observe import gathering
from nutmeghook.internal.rollout import controller as rollout_controller
from nutmeghook.internal.routing import cascade_publisher

CONFIGURATION = "configuration"
HOLDERS = "other-holders"
MEMBERSHIP = "membership"
TIME_LINE = "time-line"

_US_PERCENT = 1e-4
# Instances without leave ask so often in all, for each version.
_QUESTIONS_PER_S = 25
_HEAD_READS_PER_S = 2
# An order that comes later than this holds a roll-out's step up for long.
_LONGEST_PASS_S = 300
# A longer stand of the event loop keeps a first token waiting for too long.
_LONGEST_STAND_S = 0.1


def configuration(facts: figures.Facts) -> list[figures.Figure]:
    """Returns what the readers and relays of the configuration spend."""
    exchange = facts.value("footprint.config_exchange_bytes")
    anywhere_per_s = planned.NODES / 3

    row = functools.partial(figures.row, CONFIGURATION, runs=("config",))
    readers = partners.READERS * planned.DATA_CENTRES
    return [
        row(
            "busiest node without changes (a reader, a parent of seven)",
            facts.value("config.control_bytes_per_s.126.busiest_idle"),
            "B/s",
            "measured, 42 instances a data centre",
            "config/partners",
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
            * ledger_holder.FAR_SHARE
            * exchange
            / ledger_holder.REGION_LINKS,
            "B/s",
            "420 / 3 s, two thirds of them far, six directed links",
            "config/distribution",
            runs=("footprint",),
        ),
    ]


def other_holders(facts: figures.Facts) -> list[figures.Figure]:
    """Returns what holders of the leases of fleet-wide tasks spend."""
    row = functools.partial(figures.row, HOLDERS)
    publish_s = cascade_publisher.PUBLISH_EVERY.total_seconds()
    read_s = cascade_publisher.READ_EVERY.total_seconds()
    plan_bytes = facts.slope("footprint.plans_row_bytes")
    plan_s = facts.at("footprint.plan_us", planned.TEMPLATES) / 1e6
    tables_bytes = facts.at("footprint.tables_row_bytes", planned.TEMPLATES)
    leave_bytes = facts.value("footprint.leave_bytes")
    questions = _QUESTIONS_PER_S * planned.ROLL_OUTS_AT_ONCE
    pass_s = planned.REPLICAS * 0.5
    report_bytes = facts.value("footprint.load_report_bytes")
    new_plan_s = facts.largest("footprint.orders_plan_new_us") / 1e6
    inner_us = facts.value("footprint.inner_call_both_sides_us")
    budget = planned.CONTROL_BYTES_PER_S
    return [
        row(
            "roll-outs: questions for leave, nothing being ready",
            questions * leave_bytes,
            "B/s",
            "25 a second and version x 10 roll-outs",
            "rollout/leave",
            ("footprint",),
            missed=questions * leave_bytes > budget,
        ),
        row(
            "roll-outs: processor time for them",
            questions * inner_us / 2 * _US_PERCENT,
            "% of a core",
            "half an inner call each",
            "rollout/leave",
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
        row(
            "cascades: row of what was learned",
            tables_bytes / planned.MB,
            "MB",
            "fit at 3,000 templates",
            "routing/cascade_tables",
            ("footprint",),
            missed=tables_bytes > planned.MB,
        ),
        row(
            "cascades: written and read back",
            2 * tables_bytes * 4 / 3 / publish_s,
            "B/s",
            f"each {publish_s:.0f} s, in base64",
            "routing/cascade_publisher",
            ("footprint",),
            missed=2 * tables_bytes * 4 / 3 / publish_s > budget,
        ),
        row(
            "cascades: the event loop stands while it plans",
            plan_s,
            "s",
            f"fit at 3,000 templates, each {publish_s:.0f} s",
            "routing/cascade_learner",
            ("footprint",),
            missed=plan_s > _LONGEST_STAND_S,
        ),
        row(
            "cascades: plans alone use the budget of bytes from",
            budget * read_s * (3 / 4) / plan_bytes,
            "templates",
            f"3,000 B/s x {read_s:.0f} s x 3/4 / slope",
            "routing/cascade_publisher",
            ("footprint",),
        ),
        row(
            "cascades: planning stands for 0.1 s from",
            _LONGEST_STAND_S * 1e6 / facts.slope("footprint.plan_us"),
            "templates",
            "0.1 s / slope",
            "routing/cascade_learner",
            ("footprint",),
        ),
        row(
            "orders: one pass over all engines",
            pass_s / 60,
            "min",
            "4,400 x 0.5 s",
            "orders/controller",
            (),
            missed=pass_s > _LONGEST_PASS_S,
        ),
        row(
            "orders: bytes of a pass",
            report_bytes / 0.5,
            "B/s",
            "a report each 0.5 s in the mean, 16 at once; without the list",
            "orders/fleet_reading",
            ("footprint",),
        ),
        row(
            "orders: the event loop stands while it plans a new version",
            new_plan_s,
            "s",
            "largest size measured, 880 engines; grows with their square",
            "orders/planning",
            ("footprint",),
            missed=new_plan_s > _LONGEST_STAND_S,
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
    """Returns the membership's own figures."""
    row = functools.partial(figures.row, MEMBERSHIP, runs=("membership",))
    sent = facts.at("membership.bytes_per_s", planned.NODES) / 2
    list_bytes = facts.at("footprint.list_bytes", node.LISTED)
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
            "membership/contacts",
        ),
        row(
            "each directed link between two regions",
            planned.NODES
            * sent
            * ledger_holder.FAR_SHARE
            / ledger_holder.REGION_LINKS,
            "B/s",
            "420 x bytes sent x 2/3 / 6 links",
            "membership/gossip",
        ),
        figures.Figure(
            group=MEMBERSHIP,
            name=f"a list reader ({contacts.LIST_READERS} a data centre)",
            value=list_bytes / list_s,
            unit="B/s",
            basis=f"the list of 4,820 lines each {list_s:.0f} s",
            runs=("footprint",),
            mechanism="membership/listing",
            missed=list_bytes / list_s > planned.CONTROL_BYTES_PER_S,
        ),
    ]


def time_line(facts: figures.Facts) -> list[figures.Figure]:
    """Returns what gathering the time line costs who is asked."""
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
            missed=gathered_mb > planned.CONTROL_MEMORY_MB,
        ),
    ]


def all_figures(facts: figures.Facts) -> list[figures.Figure]:
    """Returns all of the above."""
    return [
        *ledger_holder.all_figures(facts),
        *configuration(facts),
        *other_holders(facts),
        *membership(facts),
        *time_line(facts),
    ]
