"""The platform's rating service, as this system needs it."""

import abc

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures

_RATINGS_PER_PAGE = 1000


class RatingTask(msgspec.Struct, frozen=True, kw_only=True):
    """An answer submitted for rating."""

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
        """Submits answers; each request and stage is rated only once."""

    @abc.abstractmethod
    async def ratings_after(
        self, cursor: int, *, limit: int = 1000
    ) -> list[Rating]:
        """Returns the ratings after a cursor, in order."""


async def read_new(
    service: RatingService, cursor: int, *, max_pages: int
) -> list[Rating]:
    """Reads the ratings after a cursor, page by page.

    Args:
        service: The rating service.
        cursor: The last rating that the caller has.
        max_pages: The most pages of 1000 ratings to read; later ratings are
            left for the next call.

    Returns:
        The ratings in order. If the service fails, the ratings read before the
        failure, possibly none, so that the caller can go on with other work.
    """
    found: list[Rating] = []
    for _ in range(max_pages):
        try:
            page = await service.ratings_after(cursor, limit=_RATINGS_PER_PAGE)
        except failures.PlatformError:
            break
        found += page
        if len(page) < _RATINGS_PER_PAGE:
            break
        cursor = page[-1].cursor
    return found
