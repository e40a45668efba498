"""What is wrong with a change, told field by field."""

import datetime

import msgspec


class FieldFault(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One wrong field.

    Attributes:
        path: For example `template/agency/dossier.stages[0].versions`.
        value: The value found, as text.
        remedy: What to do about it.
        waivable: The operator may accept it knowingly.
    """

    path: str
    value: str
    remedy: str
    waivable: bool = False

    def __str__(self) -> str:
        """Returns a line for people."""
        return f"{self.path} is {self.value}; {self.remedy}"


class FieldFaultError(Exception):
    """One fault, as a member of an exception group."""

    def __init__(self, *, fault: FieldFault):
        super().__init__(str(fault))
        self.fault = fault


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """A field whose value differs between two revisions of a document."""

    path: str
    before: str
    after: str


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """The change that was accepted before the one that lost.

    Attributes:
        document: The document that both edited.
        expected_revision: What the loser had read.
        current_revision: What it is now.
        differences: From the revision the loser had read to the current one.
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
        "the configuration would not be valid",
        [FieldFaultError(fault=fault) for fault in faults],
    )
