"""Processor time of an instance's periodic and per-request work."""

import asyncio
from collections.abc import Callable
import datetime
import random
import statistics
import time

import msgspec

from bench import report
from bench.capacity import memory
from bench.capacity import samples
from nutmeghook.internal.config import edits
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.leases import keeper
from nutmeghook.internal.leases import preference
from nutmeghook.internal.ledger import directory as ledger_directory
from nutmeghook.internal.ledger import records
from nutmeghook.internal.limits import adaptive_limit
from nutmeghook.internal.limits import admission
from nutmeghook.internal.limits import fair_admission
from nutmeghook.internal.limits import token_budget
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import cells
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import load_tracker
from nutmeghook.standins import memory_table

ROUNDS = 9
# 64 ledger partitions, as recommended in docs/design/ledger.md for the planned
# size, and the leases of roll-outs, cascades and orders.
LEASES = 67
# The same with the default of 16 partitions.
FEW_LEASES = 19
# Renewals per round; all rounds stay within the table's write rate.
RENEWALS = 30
_LIST_DECODER = msgspec.json.Decoder(list[instances.ListedInstance])


def lines() -> list[report.Line]:
    """Returns the medians of processor time over rounds."""
    return [
        *series("list_poll", memory.REPLICAS, _list_poll),
        *series("change", memory.TEMPLATES, _change),
        *series("lease_rank", memory.MEMBERS, _lease_rank),
        *series("lease_rank_of_19", memory.MEMBERS, _few_lease_ranks),
        *series("cell", memory.MEMBERS, _cell),
        *series("nearest_partition", memory.MEMBERS, _nearest_partition),
        _measure("event_us", _event),
        _measure("metric_us", _metric),
        _measure("ledger_message_us", _ledger_message),
        _measure("load_digest_us", _load_digest),
        _measure_async("admission_us", _admission),
        _measure_async("lease_renewal_us", _lease_renewal),
    ]


def series(
    name: str,
    sizes: tuple[int, ...],
    prepare: Callable[[int], Callable[[], int]],
) -> list[report.Line]:
    """Measures what `prepare` returns, for each size."""
    return [
        _measure(f"{name}_us.{size}", lambda size=size: prepare(size))
        for size in sizes
    ]


def _measure(
    name: str, prepare: Callable[[], Callable[[], int]]
) -> report.Line:
    """Measures a function that returns its number of iterations."""
    run = prepare()
    run()
    rounds_us = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        iterations = run()
        rounds_us.append(
            (time.process_time_ns() - started_ns) / 1000 / iterations
        )
    return _line(name, rounds_us)


def _measure_async(name: str, scenario) -> report.Line:
    return _line(name, asyncio.run(scenario()))


def _line(name: str, rounds_us: list[float]) -> report.Line:
    return report.Line(
        name=f"footprint.{name}",
        value=round(statistics.median(rounds_us), 3),
        unit="us of processor",
    )


def _members(count: int) -> members_module.FixedMemberView:
    return members_module.FixedMemberView(
        myself=samples.member(0),
        others=tuple(samples.member(number) for number in range(1, count)),
    )


def _list_poll(count: int) -> Callable[[], int]:
    """Decodes the instance list and applies it to the directory."""
    clock = clock_module.SystemClock()
    directory = directory_module.BackendDirectory(
        clock=clock,
        events=events_module.EventRing(clock=clock),
        tracker=load_tracker.LoadTracker(clock=clock),
    )
    body = msgspec.json.encode(
        [samples.listed_engine(number) for number in range(count)]
    )

    def run() -> int:
        directory.apply_list(_LIST_DECODER.decode(body))
        return 1

    return run


def _change(count: int) -> Callable[[], int]:
    """Decodes and applies one change of a template."""
    before = samples.config_state(count)
    changed = edits.Replacement(templates=(samples.template(count // 2),))
    encoded = msgspec.msgpack.encode(changed)

    def run() -> int:
        replacement = msgspec.msgpack.decode(encoded, type=edits.Replacement)
        before.with_replacement(replacement, revision=2)
        return 1

    return run


def _lease_rank(count: int, leases: int = LEASES) -> Callable[[], int]:
    """Computes the rank of an instance for each lease once."""
    view = _members(count)

    def run() -> int:
        for lease in range(leases):
            preference.rank_of_myself(f"ledger/{lease}", view)
        return leases

    return run


def _few_lease_ranks(count: int) -> Callable[[], int]:
    return _lease_rank(count, FEW_LEASES)


def _cell(count: int) -> Callable[[], int]:
    view = _members(count)

    def run() -> int:
        cells.cell_of(view)
        return 1

    return run


def _nearest_partition(count: int) -> Callable[[], int]:
    """Chooses the partition of a bill without a caller's key."""
    view = _members(count)
    clock = clock_module.SystemClock()
    directory = ledger_directory.HolderDirectory(
        members=view,
        table=memory_table.MemoryTable(clock=clock),
        clock=clock,
        partitions=64,
    )
    for partition in range(64):
        holder = samples.member(partition % count).inner_address
        directory.note_holder(partition, holder)

    def run() -> int:
        for number in range(20):
            directory.local_partition(samples.caller_key(number))
        return 20

    return run


def _event() -> Callable[[], int]:
    ring = events_module.EventRing(clock=clock_module.SystemClock())

    def run() -> int:
        for number in range(2000):
            samples.record_event(ring, number)
        return 2000

    return run


def _metric() -> Callable[[], int]:
    metrics = samples.metrics()

    def run() -> int:
        for number in range(2000):
            metrics.observe(
                "first_token_seconds",
                0.1,
                team="team-1",
                template=f"template-{number % 50}",
            )
        return 2000

    return run


def _ledger_message() -> Callable[[], int]:
    """Encodes the message of one record and decodes its reply."""
    reply = codec.encode(
        ttypes.LedgerResults(
            results=[records.encoder.encode(records.Recorded())]
        ),
        sequence=1,
    ).data

    def run() -> int:
        for number in range(500):
            record = records.encoder.encode(samples.finish_record(number))
            message = ttypes.LedgerAppend(partition=3, records=[record])
            codec.encode(message, sequence=number, wants_reply=True)
            answer = codec.decode(reply).message
            records.decode_results(answer.results)
        return 500

    return run


def _load_digest() -> Callable[[], int]:
    """Encodes and decodes a digest of twenty backend servers."""
    digest = ttypes.LoadDigest(
        addresses=[],
        address_hashes=list(range(100_000, 100_020)),
        in_flight=[number % 5 for number in range(20)],
        sender_address=samples.member(1).inner_address,
    )

    def run() -> int:
        for _ in range(500):
            codec.decode(codec.encode(digest, sequence=1).data)
        return 500

    return run


async def _admission() -> list[float]:
    clock = clock_module.SystemClock()
    admitting = fair_admission.FairAdmission(
        clock=clock,
        randomness=random.Random(1),
        limit=adaptive_limit.AdaptiveLimit(ceiling=512),
        budgets=token_budget.TokenBudgets(clock=clock, members=_members(7)),
    )
    second = datetime.timedelta(seconds=1)
    rounds_us = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        for number in range(1000):
            request = admission.AdmissionRequest(
                team=f"team-{number % 10}",
                template="template-1",
                weight=1.0,
                priority=5,
                deadline=clock.monotonic() + 30 * second,
                cost_tokens=600,
            )
            async with admitting.admitted(request):
                pass
        rounds_us.append((time.process_time_ns() - started_ns) / 1000 / 1000)
    return rounds_us


async def _lease_renewal() -> list[float]:
    """Renews a lease in a table in memory, without HTTP."""
    clock = clock_module.SystemClock()
    lease = keeper.LeaseKeeper(
        name="ledger/1",
        incarnation="19ae3f2c0001d1",
        inner_address="10.0.0.7:8081",
        table=memory_table.MemoryTable(clock=clock),
        clock=clock,
        rng=random.Random(1),
        events=events_module.EventRing(clock=clock),
        rank=lambda: 0,
    )
    await lease.step()
    if lease.fencing_token() is None:
        raise RuntimeError("the lease was not taken at the first step")
    rounds_us = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        for _ in range(RENEWALS):
            await lease.step()
        spent_us = (time.process_time_ns() - started_ns) / 1000
        rounds_us.append(spent_us / RENEWALS)
    return rounds_us
