"""The configuration in force on this instance."""

import abc
import datetime

from nutmeghook.internal.config import documents


class ConfigView(abc.ABC):
    """Read access to the newest configuration that this instance knows."""

    @property
    @abc.abstractmethod
    def snapshot(self) -> documents.Snapshot:
        """The configuration in force; its revision never goes back."""

    @abc.abstractmethod
    def confirmed_age(self) -> datetime.timedelta | None:
        """Time since the snapshot was known to be the newest.

        None if that was never confirmed since the process started.
        """


class FixedConfigView(ConfigView):
    """A fixed configuration, for tests."""

    __slots__ = ("_age", "_snapshot")

    def __init__(
        self,
        *,
        snapshot: documents.Snapshot,
        age: datetime.timedelta = datetime.timedelta(),
    ):
        self._snapshot = snapshot
        self._age = age

    @property
    def snapshot(self) -> documents.Snapshot:
        """The given configuration."""
        return self._snapshot

    def confirmed_age(self) -> datetime.timedelta | None:
        """The given age."""
        return self._age
