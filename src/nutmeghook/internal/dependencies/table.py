"""The platform's transactional table service, as this system needs it."""

import abc

import msgspec

ABSENT_VERSION = 0


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row; its version changes with every write and is never 0."""

    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """Holds if the row has this version; `ABSENT_VERSION` if missing."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """Writes one row's value, whether the row exists or not."""

    key: str
    value: bytes


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Conditions and writes that take effect together or not at all."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class CommitResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a commit.

    Attributes:
        committed: All writes took effect; otherwise none did.
        versions: On success, the new version of each put, in their order.
        current: On failure, the rows named by the conditions that failed, as
            they stand now; a missing row is left out.
    """

    committed: bool
    versions: tuple[int, ...] = ()
    current: tuple[Row, ...] = ()


class TableService(abc.ABC):
    """Rows under string keys, with conditional transactions.

    Every method may raise `failures.NotDoneError`; `commit` may also raise
    `failures.OutcomeUnknownError`. Reads are linearizable.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Row | None:
        """Returns the row, or None where there is none."""

    @abc.abstractmethod
    async def scan(
        self, *, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Returns rows whose key has the prefix, in order of their keys.

        Args:
            prefix: What the keys start with.
            after: Only keys greater than this one.
            limit: The most rows to return; fewer means that no more exist.
        """

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> CommitResult:
        """Applies the transaction if all its conditions hold."""
