"""The platform's rating service, as this system needs it."""

import abc

import msgspec

from nutmeghook.internal.platform import engine


class RatingTask(msgspec.Struct, frozen=True, kw_only=True):
    """An answer handed in to be rated."""

    request_id: str
    team: str
    template: str
    model_version: engine.ModelVersion
    stage: int
    prompt: str
    answer: str


class Rating(msgspec.Struct, frozen=True, kw_only=True):
    """A rating, given some time after its task.

    Attributes:
        cursor: Position in the service's list of ratings; counts up.
        quality: 0 (useless) to 1 (perfect).
    """

    cursor: int
    request_id: str
    team: str
    template: str
    model_version: engine.ModelVersion
    stage: int
    quality: float


class RatingService(abc.ABC):
    """Rates answers, late; may raise `failures.PlatformError`."""

    @abc.abstractmethod
    async def submit(self, tasks: list[RatingTask]) -> None:
        """Hands in answers; one request and stage is rated only once."""

    @abc.abstractmethod
    async def ratings_after(
        self, cursor: int, *, limit: int = 1000
    ) -> list[Rating]:
        """Returns the ratings behind a cursor, in order."""
