"""Costs of learning cascades: rows, plans, and a whole step."""

import asyncio
import itertools
import random
import time

import msgspec

from bench import report
from bench.capacity import planned
from bench.capacity import samples
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import lease as lease_module
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_learner
from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_publisher
from nutmeghook.internal.routing import cascade_rows
from nutmeghook.internal.routing import cascade_scorer
from nutmeghook.internal.routing import cascade_tables
from nutmeghook.standins import memory_ratings
from nutmeghook.standins import memory_table

TEMPLATES = (10, 30, 100, 300)
# Templates of one bucket; at the planned size it has a dozen.
BUCKET_TEMPLATES = (1, 3, 12, 30)
# Distinct tables that a step's templates use in turn.
_DISTINCT_TABLES = 30
_RATINGS = 500
# Ratings that arrive at the planned peak during a step: 5% of 8,400 requests a
# second, for 15 s.
_STEP_RATINGS = 6_300
_NOW_S = 1_764_000_000.0
_FLEET = documents.Fleet(
    models=(
        documents.ModelEntry(
            name="inspection-small",
            prompt_token_cost_micros=1,
            output_token_cost_micros=3,
        ),
        documents.ModelEntry(
            name="inspection-large",
            prompt_token_cost_micros=8,
            output_token_cost_micros=24,
        ),
    )
)


class _HeldLease(lease_module.Lease):
    """A held lease without contenders, on a row that doesn't exist."""

    name = "cascades"
    row_key = "lease/cascades"

    def fencing_token(self) -> int | None:
        return 1

    def row_version(self) -> int:
        return table_module.ABSENT_VERSION


def lines() -> list[report.Line]:
    """Measures row sizes, planning, and one step of the holder."""
    rng = random.Random(1)
    tables = [_learned(_template(n), rng) for n in range(max(TEMPLATES))]
    return [
        *_plan_lines(tables),
        *_row_lines(tables),
        *asyncio.run(_step_lines(tables[:_DISTINCT_TABLES])),
    ]


def _plan_lines(
    tables: list[cascade_tables.TemplateTable],
) -> list[report.Line]:
    measured = []
    for count in TEMPLATES:
        started_ns = time.process_time_ns()
        for number, table in enumerate(tables[:count]):
            _plan(_template(number), table)
        spent_us = (time.process_time_ns() - started_ns) / 1000
        measured.append(_line(f"plan_us.{count}", spent_us, "us in all"))
    return measured


def _row_lines(
    tables: list[cascade_tables.TemplateTable],
) -> list[report.Line]:
    """Returns sizes of a bucket's two rows and of the head."""
    measured = []
    for count in BUCKET_TEMPLATES:
        of_bucket = {
            _key(_template(number)): table
            for number, table in enumerate(tables[:count])
        }
        plans = {
            key: _plan(_template(0), table) for key, table in of_bucket.items()
        }
        tables_row = cascade_rows.TablesRow(cursor=10**9, tables=of_bucket)
        plans_row = cascade_rows.PlansRow(revision=1_000, plans=plans)
        measured += [
            _line(f"tables_row_bytes.{count}", _size(tables_row), "bytes"),
            _line(f"plans_row_bytes.{count}", _size(plans_row), "bytes"),
        ]
    head = cascade_rows.HeadRow(
        cursor=10**9, revisions=(1_000,) * cascade_rows.BUCKETS
    )
    return [*measured, _line("cascades_head_bytes", _size(head), "bytes")]


async def _step_lines(
    tables: list[cascade_tables.TemplateTable],
) -> list[report.Line]:
    """Measures a step at the planned size with ratings for all templates."""
    templates = {
        _key(template): template
        for template in map(_template, range(planned.TEMPLATES))
    }
    clock = clock_module.FakeClock()
    table = memory_table.MemoryTable(clock=clock, writes_per_s=100_000)
    ratings = memory_ratings.MemoryRatings(clock=clock, quality=lambda _: 0.9)
    await table.commit(table_module.Transaction(puts=_rows(templates, tables)))
    await ratings.submit([_task(number) for number in range(_STEP_RATINGS)])
    await clock.advance(cascade_publisher.PUBLISH_EVERY)
    publisher = cascade_publisher.CascadePublisher(
        view=view.FixedConfigView(
            snapshot=documents.Snapshot(
                revision=1, fleet=_FLEET, teams={}, templates=templates
            )
        ),
        lease=_HeldLease(),
        table=table,
        ratings=ratings,
        clock=clock,
    )
    return await _run_step(publisher, clock)


async def _run_step(
    publisher: cascade_publisher.CascadePublisher,
    clock: clock_module.FakeClock,
) -> list[report.Line]:
    longest_stall_ns = 0

    async def measure_stalls() -> None:
        nonlocal longest_stall_ns
        last_ns = time.process_time_ns()
        while True:
            await asyncio.sleep(0)
            now_ns = time.process_time_ns()
            longest_stall_ns = max(longest_stall_ns, now_ns - last_ns)
            last_ns = now_ns

    watching = asyncio.create_task(measure_stalls())
    started_ns = time.process_time_ns()
    step = asyncio.create_task(publisher.step())
    while not step.done():
        await clock.advance(cascade_publisher.PUBLISH_EVERY)
    spent_ns = time.process_time_ns() - started_ns
    watching.cancel()
    return [
        _line(
            "cascades_step_stand_ms", longest_stall_ns / 1e6, "ms of processor"
        ),
        _line("cascades_step_ms", spent_ns / 1e6, "ms of processor"),
    ]


def _rows(
    templates: dict[str, documents.Template],
    tables: list[cascade_tables.TemplateTable],
) -> tuple[table_module.Put, ...]:
    buckets: dict[int, dict[str, cascade_tables.TemplateTable]] = {}
    plans: dict[int, dict[str, cascade_plans.TemplatePlan]] = {}
    planned_once = [_plan(_template(0), table) for table in tables]
    numbers = itertools.cycle(range(len(tables)))
    for key, number in zip(templates, numbers, strict=False):
        bucket = cascade_rows.bucket_of(key)
        buckets.setdefault(bucket, {})[key] = tables[number]
        plans.setdefault(bucket, {})[key] = planned_once[number]
    return tuple(
        table_module.Put(key=key, value=msgspec.msgpack.encode(row))
        for bucket in buckets
        for key, row in (
            (
                cascade_rows.tables_key(bucket),
                cascade_rows.TablesRow(tables=buckets[bucket]),
            ),
            (
                cascade_rows.plans_key(bucket),
                cascade_rows.PlansRow(revision=1, plans=plans[bucket]),
            ),
        )
    )


def _task(number: int) -> ratings_module.RatingTask:
    template = _template(number % planned.TEMPLATES)
    label = cascade_labels.RatingLabel(kind=0, first_stage=1, score_bin=None)
    return ratings_module.RatingTask(
        request_id=cascade_labels.attach(f"req-{number}", label),
        team=template.team,
        template=template.name,
        model_version=samples.VERSION,
        stage=1,
        prompt="",
        answer="",
    )


def _template(number: int) -> documents.Template:
    return msgspec.structs.replace(
        samples.template(number), start=documents.StartPolicy.LEARNED
    )


def _key(template: documents.Template) -> str:
    return documents.template_key(template.team, template.name)


def _plan(
    template: documents.Template, table: cascade_tables.TemplateTable
) -> cascade_plans.TemplatePlan:
    return cascade_learner.plan_for(template, table, fleet=_FLEET, now_s=_NOW_S)


def _learned(
    template: documents.Template, rng: random.Random
) -> cascade_tables.TemplateTable:
    table = cascade_tables.empty_table(len(template.stages))
    for _ in range(_RATINGS):
        label = cascade_labels.RatingLabel(
            kind=rng.randrange(cascade_labels.KINDS),
            first_stage=0,
            score_bin=rng.randrange(cascade_scorer.SCORE_BINS),
        )
        table.add(
            stage_index=rng.randrange(len(template.stages)),
            label=label,
            quality=rng.random(),
            now_s=_NOW_S,
        )
    return table


def _size(row: msgspec.Struct) -> int:
    return len(msgspec.msgpack.encode(row))


def _line(name: str, value: float, unit: str) -> report.Line:
    return report.Line(
        name=f"footprint.{name}", value=round(value, 1), unit=unit
    )
