"""The rows of what was learned: buckets of templates, and a head.

Templates are spread over buckets by a hash of their key, so that a change of
one writes and moves a bucket and not all. Plans stand in rows of their own,
because instances read only these. The head names each bucket's revision of
plans: an instance that has read it knows which rows it lacks.
"""

import msgspec
import xxhash

from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_tables

# With 3,000 templates a bucket has a dozen, and the head still is below 1 KB.
BUCKETS = 256
HEAD_KEY = "cascades/head"
PLANS_PREFIX = "cascades/plans/"
_TABLES_PREFIX = "cascades/tables/"


class HeadRow(msgspec.Struct, frozen=True, kw_only=True):
    """What all buckets have in common.

    Attributes:
        cursor: Every bucket has taken in its ratings up to this one.
        revisions: Of each bucket's plans, by number; 0 where there are none.
    """

    cursor: int = 0
    revisions: tuple[int, ...] = (0,) * BUCKETS


class TablesRow(msgspec.Struct, frozen=True, kw_only=True):
    """A bucket's tables, by template key.

    Attributes:
        cursor: Ratings up to this one are in them. It may be ahead of the
            head's, after a step that ended halfway.
    """

    cursor: int = 0
    tables: dict[str, cascade_tables.TemplateTable] = msgspec.field(
        default_factory=dict
    )


class PlansRow(msgspec.Struct, frozen=True, kw_only=True):
    """A bucket's plans, by template key, and their revision."""

    revision: int = 0
    plans: dict[str, cascade_plans.TemplatePlan] = msgspec.field(
        default_factory=dict
    )


def bucket_of(template_key: str) -> int:
    """Returns the number of the bucket that a template belongs to."""
    return xxhash.xxh32_intdigest(template_key.encode()) % BUCKETS


def tables_key(bucket: int) -> str:
    """Returns the key of a bucket's tables."""
    return f"{_TABLES_PREFIX}{bucket:03d}"


def plans_key(bucket: int) -> str:
    """Returns the key of a bucket's plans."""
    return f"{PLANS_PREFIX}{bucket:03d}"
