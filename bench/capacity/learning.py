"""What learning cascades costs: rows, plans, and the time to plan."""

import random
import time

import msgspec

from bench import report
from bench.capacity import samples
from nutmeghook.internal.config import documents
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_learner
from nutmeghook.internal.routing import cascade_publisher
from nutmeghook.internal.routing import cascade_scorer
from nutmeghook.internal.routing import cascade_tables

TEMPLATES = (10, 30, 100, 300)
_RATINGS = 500
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


def lines() -> list[report.Line]:
    """Measures the two rows, and one step of the holder, by templates."""
    rng = random.Random(1)
    measured = []
    for count in TEMPLATES:
        templates = [samples.template(number) for number in range(count)]
        tables = [_learned(template, rng) for template in templates]
        begun_ns = time.process_time_ns()
        plans = [
            cascade_learner.plan_for(
                template, table, fleet=_FLEET, now_s=_NOW_S
            )
            for template, table in zip(templates, tables, strict=True)
        ]
        spent_us = (time.process_time_ns() - begun_ns) / 1000
        keys = [
            documents.template_key(template.team, template.name)
            for template in templates
        ]
        measured += [
            _line(f"plan_us.{count}", round(spent_us, 1), "us in all"),
            _line(
                f"tables_row_bytes.{count}",
                _size(
                    cascade_publisher.TablesRow(
                        tables=dict(zip(keys, tables, strict=True))
                    )
                ),
                "bytes",
            ),
            _line(
                f"plans_row_bytes.{count}",
                _size(
                    cascade_publisher.PlansRow(
                        plans=dict(zip(keys, plans, strict=True))
                    )
                ),
                "bytes",
            ),
        ]
    return measured


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
    return report.Line(name=f"footprint.{name}", value=value, unit=unit)
