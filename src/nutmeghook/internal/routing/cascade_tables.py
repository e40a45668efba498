"""How good each stage's answers were, by kind of request and score."""

import math

import msgspec

from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_scorer

# Older ratings fade, so that the tables follow models and requests that
# change: a cell never weighs more than this many ratings.
_MAX_RATINGS_PER_BIN = 2_000.0


class RatingStats(msgspec.Struct, kw_only=True, array_like=True):
    """Count, mean and spread of some ratings; the spread is a sum of squares.

    It is changed in place: a table takes in hundreds of ratings a second.
    """

    count: float = 0.0
    mean: float = 0.0
    squares: float = 0.0

    def add(self, quality: float) -> None:
        """Takes in a rating."""
        if self.count >= _MAX_RATINGS_PER_BIN:
            fading = 1.0 - 1.0 / _MAX_RATINGS_PER_BIN
            self.count *= fading
            self.squares *= fading
        self.count += 1.0
        difference = quality - self.mean
        self.mean += difference / self.count
        self.squares += difference * (quality - self.mean)

    def variance(self) -> float:
        """Returns the spread of single ratings."""
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
    """All that is known for one template.

    Attributes:
        kinds: For each kind of request, a table for each stage.
        ratings: Taken in so far.
        requests: Rated requests of each kind, faded.
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
        """Takes in a rating; one of a stage that is no more is left out."""
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
    """Returns the table of a template that nothing is known of."""
    return TemplateTable(
        kinds=[
            [StageTable() for _ in range(stages)]
            for _ in range(cascade_labels.KINDS)
        ]
    )


def standard_error(stats: RatingStats) -> float:
    """Returns how far a cell's mean may be off."""
    return math.sqrt(stats.variance() / max(1.0, stats.count))


def _empty_bins() -> list[RatingStats]:
    return [RatingStats() for _ in range(cascade_scorer.SCORE_BINS)]


# Qualities lie between 0 and 1; nothing spreads more than this.
_UNKNOWN_VARIANCE = 0.25
