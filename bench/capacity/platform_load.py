"""Load on the platform's services at the planned size."""

import functools

from bench.capacity import cascade_sizes
from bench.capacity import figures
from bench.capacity import messages
from bench.capacity import planned
from nutmeghook.internal.config import distribution_tree
from nutmeghook.internal.ledger import settings as ledger_settings
from nutmeghook.internal.membership import peer_discovery
from nutmeghook.internal.membership import timing
from nutmeghook.internal.orders import weight_grants
from nutmeghook.internal.rollout import controller as rollout_controller
from nutmeghook.internal.routing import cascade_publisher
from nutmeghook.internal.routing import cascade_reader
from nutmeghook.internal.routing import poller

GROUP = "platform"
_LEDGER = ledger_settings.LedgerSettings()
# The rows of head, change, document and operation.
_ROWS_PER_CHANGE = 4
# By each of two readers per data centre; see docs/design/configuration.md.
_HEAD_READS_PER_S = 2
_READS_PER_LEASE = 2
_RATED_SHARE = 0.05
# Buckets of one reading if their plans were empty.
_MAX_BUCKETS = cascade_reader.MAX_READ_BYTES / messages.HTTP_BYTES


def table_writes_per_s(facts: figures.Facts) -> float:
    """Returns rows written per second; the ledger's part is measured."""
    return (
        facts.value("ledger.store_writes_per_s_64_partitions")
        + planned.OTHER_LEASES
        + planned.CHANGES_PER_S * _ROWS_PER_CHANGE
        + 1 / rollout_controller.TICK.total_seconds()
        + 2 * cascade_publisher.COMMITS_PER_S
    )


def table_reads_per_s() -> float:
    """Returns rows read per second without failures."""
    readers = distribution_tree.READERS * planned.DATA_CENTRES
    return (
        readers * (_HEAD_READS_PER_S + planned.CHANGES_PER_S)
        + planned.LEASES * _READS_PER_LEASE
        + planned.NODES
        * (1 + _MAX_BUCKETS)
        / cascade_reader.READ_EVERY.total_seconds()
        + 2 * cascade_publisher.COMMITS_PER_S
        + 1 / rollout_controller.TICK.total_seconds()
    )


def list_reads_per_s() -> float:
    """Returns reads of the instance list per second."""
    readers = peer_discovery.LIST_READERS * planned.DATA_CENTRES
    return (
        planned.NODES / poller.LIST_PERIOD.total_seconds()
        + readers / timing.Timing().list_period.total_seconds()
    )


def all_figures(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the load of each service."""
    row = functools.partial(figures.row, GROUP)
    row_bytes = facts.at(
        "footprint.row_bytes", planned.RECORDS_PER_S / _LEDGER.writes_per_s
    )
    window_s = _LEDGER.window.total_seconds()
    list_bytes = facts.value("instance_list.node_average.4400")
    plans_mb = cascade_sizes.reading_bytes(facts) / planned.MB
    reads_plans = planned.NODES / cascade_reader.READ_EVERY.total_seconds()
    change_bytes = facts.value("footprint.change_row_bytes")
    writes = table_writes_per_s(facts)
    return [
        row(
            "table service: writes",
            writes,
            "1/s",
            "ledger with its 64 leases measured; others by their settings",
            "ledger/budget, leases/keeper",
            ("ledger",),
            exceeds_budget=writes > planned.TABLE_WRITES_PER_S,
        ),
        row(
            "table service: reads",
            table_reads_per_s(),
            "1/s",
            "heads 36, leases' looks 134, plans 217, learning 50, pool 1",
            "config/distribution, leases/keeper",
            exceeds_budget=table_reads_per_s() > planned.TABLE_READS_PER_S,
        ),
        row(
            "table service: log rows written",
            _LEDGER.writes_per_s * row_bytes / planned.MB,
            "MB/s",
            "180 commits a second x the row of 93 records",
            "ledger/log",
            ("footprint",),
        ),
        row(
            "table service: plans read",
            reads_plans * plans_mb,
            "MB/s",
            "420 / 60 s x the most of a reading",
            "routing/cascade_reader",
            ("footprint",),
        ),
        row(
            "table service: log kept for 1 h of the peak",
            _LEDGER.writes_per_s * row_bytes * window_s / 1e9,
            "GB",
            "648,000 rows, written over after the window",
            "ledger/log",
            ("footprint",),
            exceeds_budget=True,
        ),
        row(
            "table service: configuration's audit",
            planned.CHANGES_PER_DAY * change_bytes / planned.MB,
            "MB a day",
            "3,700 rows of changes",
            "config/store",
            ("footprint",),
        ),
        row(
            "object store: bills of the log, folded",
            planned.REQUESTS_PER_S / _LEDGER.fold_records,
            "puts/s",
            "8,400 / 2,000 bills an object",
            "ledger/archive",
        ),
        row(
            "instance list: reads",
            list_reads_per_s(),
            "1/s",
            "420 instances each second, 18 readers each 5 s",
            "standin_http/http_instances",
        ),
        row(
            "instance list: bytes",
            planned.NODES * list_bytes / planned.MB,
            "MB/s",
            "420 x a node's average, asked for changes; the readers' not in it",
            "standin_http/http_instances",
            ("instance_list",),
        ),
        row(
            "weight store: grants",
            1 / weight_grants.GRANT_INTERVAL.total_seconds(),
            "1/s",
            "the mechanism's own limit",
            "orders/weight_grants",
        ),
        row(
            "rating service: answers handed in",
            planned.REQUESTS_PER_S * _RATED_SHARE,
            "1/s",
            "5% of requests; more while a template is new",
            "dispatch/ratings, routing/cascade_learner",
        ),
    ]
