"""A table whose changes can be followed, as an interface."""

import abc
import datetime

import msgspec


class FollowedRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row as it stands now, or the fact that it was deleted."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """What a read found.

    Attributes:
        rows: The rows, or the changes in their order.
        revision: All up to this revision is in what was read so far.
        store_time: The store's steady clock when it answered.
    """

    rows: tuple[FollowedRow, ...]
    revision: int
    store_time: datetime.timedelta


class HistoryGoneError(Exception):
    """Changes since the revision are not kept any more; read all again."""


class FollowedTable(abc.ABC):
    """Reads a table whole, or what changed since.

    Both methods raise `failures.PlatformError` while the store is out.
    """

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The table's name, for logs."""

    @abc.abstractmethod
    async def read_all(self) -> Page:
        """Returns all rows as of one moment."""

    @abc.abstractmethod
    async def changes(self, since: int, wait: datetime.timedelta) -> Page:
        """Returns the changes after a revision as soon as there is one.

        Returns no rows if `wait` passes without a change.

        Raises:
            HistoryGoneError: The store has dropped that part of its history.
        """
