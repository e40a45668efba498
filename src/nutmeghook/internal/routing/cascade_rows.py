"""The stored rows of tables and plans: buckets of templates, and a head.

Templates are spread over buckets by a hash of their key, so that a change of
one writes and transfers one bucket and not all. Plans have rows of their own,
because instances read only these. The head has the revision of each bucket's
plans, by which an instance finds the rows that it lacks.
"""

import msgspec
import xxhash

from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_tables

# With 3,000 templates a bucket has a dozen, and the head is below 1 KB.
BUCKETS = 256
HEAD_KEY = "cascades/head"
PLANS_PREFIX = "cascades/plans/"
_TABLES_PREFIX = "cascades/tables/"


class HeadRow(msgspec.Struct, frozen=True, kw_only=True):
    """The progress of all buckets.

    Attributes:
        cursor: Every bucket's tables include its ratings up to this one.
        revisions: Of each bucket's plans, by number; 0 where there are none.
    """

    cursor: int = 0
    revisions: tuple[int, ...] = (0,) * BUCKETS


class TablesRow(msgspec.Struct, frozen=True, kw_only=True):
    """A bucket's tables, by template key.

    Attributes:
        cursor: They include ratings up to this one. It may be ahead of the
            head's, after a step that failed halfway.
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
