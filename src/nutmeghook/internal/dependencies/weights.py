"""The platform's weight store, as this system needs it."""

import abc

import msgspec

from nutmeghook.internal.dependencies import engine


class WeightInfo(msgspec.Struct, frozen=True, kw_only=True):
    """What the store knows of a version's weights."""

    model_version: engine.ModelVersion
    size_bytes: int


class WeightStore(abc.ABC):
    """Holds the versions' weights, which engines download when ordered to.

    It limits how often downloads may start and raises
    `failures.NotDoneError` with `overloaded` and `retry_after` beyond that.
    """

    @abc.abstractmethod
    async def describe(
        self, model_version: engine.ModelVersion
    ) -> WeightInfo | None:
        """Returns what the store knows, or None for an unknown version."""

    @abc.abstractmethod
    async def grant_download(
        self, model_version: engine.ModelVersion, address: str
    ) -> str:
        """Returns a ticket with which the engine at `address` may download."""
