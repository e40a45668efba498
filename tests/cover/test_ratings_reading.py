"""New ratings are read page by page, as far as the service answers."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import ratings

MAX_PAGES = 4


class PagedService(ratings.RatingService):
    """Has `count` ratings, and fails after a number of calls."""

    def __init__(self, *, count, calls_before_failure):
        self._count = count
        self._calls_left = calls_before_failure

    async def submit(self, tasks):
        raise NotImplementedError

    async def ratings_after(self, cursor, *, limit=1000):
        if not self._calls_left:
            raise failures.NotDoneError("out")
        self._calls_left -= 1
        last = min(self._count, cursor + limit)
        return [_rating(number) for number in range(cursor + 1, last + 1)]


def _rating(cursor):
    return ratings.Rating(
        cursor=cursor,
        request_id=f"r{cursor}",
        team="t",
        template="x",
        model_version=engine.ModelVersion(model="m", version="1"),
        stage=0,
        quality=1.0,
    )


class ReadNewTest(unittest.TestCase):
    @hypothesis.settings(max_examples=30)
    @hypothesis.example(count=2500, cursor=0, calls=4)
    @hypothesis.example(count=6000, cursor=500, calls=6)
    @hypothesis.given(
        count=strategies.integers(0, 6000),
        cursor=strategies.integers(0, 6000),
        calls=strategies.integers(0, 6),
    )
    def test_what_is_read_follows_the_cursor_without_a_gap(
        self, count, cursor, calls
    ):
        """The rating service fails between two pages. The ratings read before
        must be returned in order and without a gap: a skipped one would count
        as unrated, and the roll-out would wait for it.
        """
        service = PagedService(count=count, calls_before_failure=calls)
        found = asyncio.run(
            ratings.read_new(service, cursor, max_pages=MAX_PAGES)
        )
        pages = min(calls, MAX_PAGES)
        expected = min(max(0, count - cursor), pages * 1000)
        self.assertEqual(
            [rating.cursor for rating in found],
            list(range(cursor + 1, cursor + 1 + expected)),
        )
