"""Adds ratings to the tables of their templates, by bucket."""

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_rows
from nutmeghook.internal.routing import cascade_tables


def group_by_bucket(
    ratings: list[ratings_module.Rating],
) -> dict[int, list[ratings_module.Rating]]:
    """Returns the ratings by the bucket of their template."""
    found: dict[int, list[ratings_module.Rating]] = {}
    for rating in ratings:
        key = documents.template_key(rating.team, rating.template)
        found.setdefault(cascade_rows.bucket_of(key), []).append(rating)
    return found


def learning_templates(
    snapshot: documents.Snapshot,
) -> dict[int, dict[str, documents.Template]]:
    """Returns the templates that learn, by bucket and key."""
    found: dict[int, dict[str, documents.Template]] = {}
    for key, template in snapshot.templates.items():
        if template.start is documents.StartPolicy.LEARNED:
            bucket = cascade_rows.bucket_of(key)
            found.setdefault(bucket, {})[key] = template
    return found


def apply_ratings(
    templates: dict[str, documents.Template],
    known: dict[str, cascade_tables.TemplateTable],
    ratings: list[ratings_module.Rating],
    now_s: float,
) -> dict[str, cascade_tables.TemplateTable]:
    """Returns the tables with `ratings` added, of templates with any ratings.

    A template whose number of stages changed starts with an empty table.
    """
    tables: dict[str, cascade_tables.TemplateTable] = {}
    for key, template in templates.items():
        stages = len(template.stages)
        table = known.get(key)
        if table is None or len(table.kinds[0]) != stages:
            table = cascade_tables.empty_table(stages)
        tables[key] = table
    for rating in ratings:
        _learn(tables, rating, now_s)
    return {key: table for key, table in tables.items() if table.ratings}


def _learn(
    tables: dict[str, cascade_tables.TemplateTable],
    rating: ratings_module.Rating,
    now_s: float,
) -> None:
    table = tables.get(documents.template_key(rating.team, rating.template))
    label = cascade_labels.read(rating.request_id)
    if table is not None and label is not None:
        table.add(
            stage_index=rating.stage,
            label=label,
            quality=rating.quality,
            now_s=now_s,
        )
