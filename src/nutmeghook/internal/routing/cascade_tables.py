"""Rating statistics of each stage, by kind of request and score."""

import math

import msgspec

from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_scorer

# Older ratings decay, so that the tables follow models and requests that
# change: a bin never weighs more than this many ratings.
_MAX_RATINGS_PER_BIN = 2_000.0


class RatingStats(msgspec.Struct, kw_only=True, array_like=True):
    """Count, mean and sum of squared deviations of some ratings.

    It is changed in place: a table receives hundreds of ratings a second.
    """

    count: float = 0.0
    mean: float = 0.0
    squares: float = 0.0

    def add(self, quality: float) -> None:
        """Adds a rating."""
        if self.count >= _MAX_RATINGS_PER_BIN:
            fading = 1.0 - 1.0 / _MAX_RATINGS_PER_BIN
            self.count *= fading
            self.squares *= fading
        self.count += 1.0
        difference = quality - self.mean
        self.mean += difference / self.count
        self.squares += difference * (quality - self.mean)

    def variance(self) -> float:
        """Returns the variance of single ratings."""
        if self.count < 2.0:
            return _UNKNOWN_VARIANCE
        return self.squares / (self.count - 1.0)


class StageTable(msgspec.Struct, kw_only=True, array_like=True):
    """One stage's answers to one kind of request.

    Attributes:
        direct: Answers of requests that started at this stage unheld.
        held: Answers that were held, by their score.
        after: The next stage's answers, by the score of this one's.
    """

    direct: RatingStats = msgspec.field(default_factory=RatingStats)
    held: list[RatingStats] = msgspec.field(
        default_factory=lambda: _empty_bins()
    )
    after: list[RatingStats] = msgspec.field(
        default_factory=lambda: _empty_bins()
    )


class TemplateTable(msgspec.Struct, kw_only=True, array_like=True):
    """All rating statistics of one template.

    Attributes:
        kinds: For each kind of request, a table for each stage.
        ratings: Number added so far.
        requests: Rated requests of each kind, decayed.
        last_rating_at_s: Wall time of the newest rating's arrival.
    """

    kinds: list[list[StageTable]]
    ratings: int = 0
    requests: list[float] = msgspec.field(
        default_factory=lambda: [0.0] * cascade_labels.KINDS
    )
    last_rating_at_s: float = 0.0

    def add(
        self,
        *,
        stage_index: int,
        label: cascade_labels.RatingLabel,
        quality: float,
        now_s: float,
    ) -> None:
        """Adds a rating; ignores one of a stage that no longer exists."""
        tables = self.kinds[label.kind]
        if stage_index >= len(tables):
            return
        self.ratings += 1
        self.last_rating_at_s = now_s
        first = label.first_stage
        if stage_index == first and label.sampled:
            self._count_request(label.kind)
        if label.score_bin is None:
            tables[stage_index].direct.add(quality)
        elif stage_index == first:
            tables[first].held[label.score_bin].add(quality)
        elif stage_index == first + 1:
            tables[first].after[label.score_bin].add(quality)

    def _count_request(self, kind: int) -> None:
        self.requests[kind] += 1.0
        if sum(self.requests) > _MAX_RATINGS_PER_BIN:
            self.requests = [count / 2.0 for count in self.requests]


def empty_table(stages: int) -> TemplateTable:
    """Returns the table of a template without ratings."""
    return TemplateTable(
        kinds=[
            [StageTable() for _ in range(stages)]
            for _ in range(cascade_labels.KINDS)
        ]
    )


def standard_error(stats: RatingStats) -> float:
    """Returns the standard error of a bin's mean."""
    return math.sqrt(stats.variance() / max(1.0, stats.count))


def _empty_bins() -> list[RatingStats]:
    return [RatingStats() for _ in range(cascade_scorer.SCORE_BINS)]


# The largest possible variance of qualities, which lie between 0 and 1.
_UNKNOWN_VARIANCE = 0.25
