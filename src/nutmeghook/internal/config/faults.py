"""Validation faults by field, and conflicts between changes."""

import datetime

import msgspec


class FieldFault(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One invalid field.

    Attributes:
        path: For example `template/agency/dossier.stages[0].versions`.
        value: The present value, as text.
        remedy: How to correct it.
        waivable: The operator may override the fault.
    """

    path: str
    value: str
    remedy: str
    waivable: bool = False

    def __str__(self) -> str:
        """Returns a line for reports."""
        return f"{self.path} is {self.value}; {self.remedy}"


class FieldFaultError(Exception):
    """One fault as an exception, for an exception group."""

    def __init__(self, *, fault: FieldFault):
        super().__init__(str(fault))
        self.fault = fault


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """A field whose value differs between two revisions of a document."""

    path: str
    before: str
    after: str


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """The accepted change that an edit conflicts with.

    Attributes:
        document: The document that both edited.
        expected_revision: The revision that the refused edit was based on.
        current_revision: The document's revision now.
        differences: From the expected revision to the current one.
    """

    document: str
    expected_revision: int
    current_revision: int
    author: str
    reason: str
    operation_id: str
    accepted_at: datetime.datetime | None = None
    differences: tuple[Difference, ...] = ()


def as_group(faults: list[FieldFault]) -> ExceptionGroup:
    """Returns the faults as one exception group."""
    return ExceptionGroup(
        "the configuration would be invalid",
        [FieldFaultError(fault=fault) for fault in faults],
    )
