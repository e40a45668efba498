"""Validation rules for fields that several documents share."""

from collections.abc import Iterator
import re

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import faults

MAX_PRIORITY = 9
NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MODEL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_REMEDY = (
    "use 1 to 63 of a-z, 0-9, '.', '_' and '-', a letter or digit first"
)


def common_faults(
    path: str, document: documents.PlainRoute | documents.Template
) -> Iterator[faults.FieldFault]:
    """Checks the fields that routes and templates share."""
    if document.deadline_ms < 1:
        yield fault(
            f"{path}.deadline_ms", document.deadline_ms, "give 1 or more"
        )
    if not 0 <= document.priority <= MAX_PRIORITY:
        yield fault(
            f"{path}.priority", document.priority, f"give 0 to {MAX_PRIORITY}"
        )


def duplicate_faults(
    path: str, names: list[str]
) -> Iterator[faults.FieldFault]:
    """Finds duplicate names."""
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield fault(path, f"{name!r} more than once", "name each one once")


def fault(path: str, value: object, remedy: str) -> faults.FieldFault:
    """Returns a fault that shows its value."""
    return faults.FieldFault(path=path, value=str(value), remedy=remedy)
