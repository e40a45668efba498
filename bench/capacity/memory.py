"""Memory of an instance per replica, member, template and other items."""

from collections.abc import Callable
import datetime
import gc
import itertools
import tracemalloc

import msgspec

from bench import decision
from bench import report
from bench.capacity import samples
from nutmeghook.internal.config import state
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.ledger import index
from nutmeghook.internal.membership import table as table_module
from nutmeghook.internal.observe import events
from nutmeghook.internal.observe import metrics

REPLICAS = (12, 120, 440, 1100, 2200, 4400)
MEMBERS = (3, 7, 21, 63, 126, 420)
TEMPLATES = (10, 100, 300, 1000, 3000)
ENTRIES = (500, 2000, 8000, 20_000)
EVENTS = (512, 1024, 2048, 4096, 8192)
# Metrics are shared by the process and keep all label sets ever used.
_LABEL_NUMBERS = itertools.count()
METRIC_SERIES = (10, 100, 300, 1000, 3000)


def lines() -> list[report.Line]:
    """Returns the allocated bytes by number of items."""
    return [
        *_series("replica", REPLICAS, _replicas),
        *_series("member", MEMBERS, _members),
        *_series("template", TEMPLATES, _templates),
        *_series("claim", ENTRIES, _claims),
        *_series("pin", ENTRIES, _pins),
        *_series("bill_without_key", ENTRIES, _bills_without_key),
        *_series("event", EVENTS, _events),
        *_series("metric_series", METRIC_SERIES, _metric_series),
    ]


def _series(
    name: str, sizes: tuple[int, ...], build: Callable[[int], object]
) -> list[report.Line]:
    # A first build allocates caches and compiled coders, which are not part of
    # the slope.
    build(sizes[0])
    return [
        report.Line(
            name=f"footprint.{name}_memory_bytes.{size}",
            value=_allocated_bytes(build, size),
            unit="bytes in all",
        )
        for size in sizes
    ]


def _allocated_bytes(build: Callable[[int], object], size: int) -> int:
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        container = build(size)
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del container
    finally:
        tracemalloc.stop()
    return after - before


def _replicas(count: int) -> decision.RouterScenario:
    """Builds replicas with reports on one affinity ring, the worst case."""
    scenario = decision.RouterScenario(size=count)
    scenario.decide_all()
    return scenario


def _members(count: int) -> table_module.MemberTable:
    container = table_module.MemberTable(
        myself=samples.claim(0),
        clock=clock_module.SystemClock(),
        max_ack_age=datetime.timedelta(seconds=3),
    )
    for number in range(1, count):
        container.apply_claim(samples.claim(number))
    return container


def _templates(count: int) -> state.ConfigState:
    encoded = msgspec.msgpack.encode(samples.config_state(count))
    return msgspec.msgpack.decode(encoded, type=state.ConfigState)


def _index() -> index.PartitionIndex:
    return index.PartitionIndex(
        is_alive=lambda _: True,
        max_entries=max(ENTRIES),
        window_ms=3_600_000,
        minted_window_ms=120_000,
    )


def _claims(count: int) -> index.PartitionIndex:
    """Builds finished claims, as nearly all in the window are."""
    container = _index()
    for number in range(count):
        row_key = samples.row_key(number)
        for record in (
            samples.claim_record(number),
            samples.finish_record(number),
        ):
            container.replay(record, row_key=row_key, written_ms=number)
    return container


def _pins(count: int) -> index.PartitionIndex:
    container = _index()
    for number in range(count):
        container.replay(
            samples.pin_record(number),
            row_key=samples.row_key(number),
            written_ms=number,
        )
    return container


def _bills_without_key(count: int) -> index.PartitionIndex:
    container = _index()
    for number in range(count):
        container.replay(
            samples.finish_record(number, given_by_caller=False),
            row_key=samples.row_key(number),
            written_ms=number,
        )
    return container


def _events(count: int) -> events.EventRing:
    ring = events.EventRing(
        clock=clock_module.SystemClock(), capacity_events=count
    )
    for number in range(count):
        samples.record_event(ring, number)
    return ring


def _metric_series(count: int) -> metrics.Metrics:
    """Builds one label set of the first token's histogram for each."""
    container = samples.metrics()
    for _ in range(count):
        number = next(_LABEL_NUMBERS)
        container.observe(
            "first_token_seconds",
            0.1,
            team=f"team-{number // 10}",
            template=f"template-{number}",
        )
    return container
