"""The rating service over HTTP; docs/STANDIN_INTERFACES.md has the contract."""

import msgspec

from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.standin_http import http_exchange

TASKS_PATH = "/v1/ratings/tasks"
RATINGS_PATH = "/v1/ratings"


class TasksBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answers submitted together."""

    tasks: list[ratings.RatingTask]


class TasksAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to tasks; empty."""


class RatingsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Ratings after a cursor, in its order."""

    ratings: list[ratings.Rating]


_tasks_decoder = msgspec.json.Decoder(TasksAnswer)
_ratings_decoder = msgspec.json.Decoder(RatingsAnswer)
_encoder = msgspec.json.Encoder()


class HttpRatings(ratings.RatingService):
    """Calls a rating service at one address."""

    __slots__ = ("_exchange",)

    def __init__(self, *, exchange: http_exchange.HttpExchange):
        self._exchange = exchange

    async def submit(self, tasks: list[ratings.RatingTask]) -> None:
        """Submits answers; each request and stage is rated only once."""
        body = _encoder.encode(TasksBody(tasks=tasks))
        await self._exchange.write(TASKS_PATH, body, _tasks_decoder)

    async def ratings_after(
        self, cursor: int, *, limit: int = 1000
    ) -> list[ratings.Rating]:
        """Returns the ratings after a cursor, in order."""
        answer = await self._exchange.read(
            RATINGS_PATH, _ratings_decoder, after=str(cursor), limit=str(limit)
        )
        return answer.ratings
