"""How long generations take, learnt from those that were seen."""

import collections
import datetime

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Before anything was seen: an engine of medium size. It counts as much as
# this many observations, so the first few correct most of it.
_FIRST_MS = 60.0
_PER_WAITING = 1.0
_PER_KILOTOKEN_MS = 40.0
_GUESS_WEIGHT = 1.0
# No engine reads a thousand tokens faster; without a pace at all, prompts
# would count as nothing.
_LEAST_PER_KILOTOKEN_MS = 1.0
# Typical sizes, which bring the three inputs to the same scale.
_USUAL_WAITING_MS = 500.0
_USUAL_KILOTOKENS = 5.0
# Part of its weight that an observation keeps at the next one. An instance
# sees one or two first events a second, so half a minute counts.
_KEPT_WEIGHT = 0.98
# Of one answer in the usual time a token.
_TOKEN_WEIGHT = 0.1
# A broken replica's silence of many seconds is not the engine's speed.
_LONGEST_MS = 5000.0
# Longer prompts count as this long.
_MOST_KILOTOKENS = 100.0


class _Line:
    """First events of one model: a sum of three parts.

    Fitted by least squares over the last observations. Corrected by a part of
    each error instead, the reading was still three times too long after a
    minute: what a prompt waits for varies more than its own reading.

    Attributes:
        first_ms: What every request takes.
        per_waiting: For each millisecond of reading before it.
        per_kilotoken_ms: For each 1,000 tokens of its prompt.
    """

    __slots__ = (
        "_moments",
        "_targets",
        "first_ms",
        "per_kilotoken_ms",
        "per_waiting",
    )

    def __init__(self):
        self.first_ms = _FIRST_MS
        self.per_waiting = _PER_WAITING
        self.per_kilotoken_ms = _PER_KILOTOKEN_MS
        self._moments = [[0.0] * 3 for _ in range(3)]
        self._targets = [0.0] * 3

    def at(self, waiting_ms: float, kilotokens: float) -> float:
        """Returns the expected time in ms."""
        return (
            self.first_ms
            + self.per_waiting * waiting_ms
            + self.per_kilotoken_ms * kilotokens
        )

    def learn(
        self, waiting_ms: float, kilotokens: float, took_ms: float
    ) -> None:
        """Takes in one observation."""
        inputs = (
            1.0,
            min(waiting_ms, _LONGEST_MS) / _USUAL_WAITING_MS,
            min(kilotokens, _MOST_KILOTOKENS) / _USUAL_KILOTOKENS,
        )
        took_ms = min(took_ms, _LONGEST_MS)
        for row, left in zip(self._moments, inputs, strict=True):
            for column, right in enumerate(inputs):
                row[column] = _KEPT_WEIGHT * row[column] + left * right
        for position, value in enumerate(inputs):
            kept = _KEPT_WEIGHT * self._targets[position]
            self._targets[position] = kept + value * took_ms
        self._fit()

    def _fit(self) -> None:
        guess = (
            _FIRST_MS,
            _PER_WAITING * _USUAL_WAITING_MS,
            _PER_KILOTOKEN_MS * _USUAL_KILOTOKENS,
        )
        matrix = [list(row) for row in self._moments]
        wanted = list(self._targets)
        for position, value in enumerate(guess):
            matrix[position][position] += _GUESS_WEIGHT
            wanted[position] += _GUESS_WEIGHT * value
        first_ms, waiting_ms, kilotokens_ms = _solved(matrix, wanted)
        self.first_ms = max(0.0, first_ms)
        self.per_waiting = max(0.0, waiting_ms / _USUAL_WAITING_MS)
        self.per_kilotoken_ms = max(
            _LEAST_PER_KILOTOKEN_MS, kilotokens_ms / _USUAL_KILOTOKENS
        )


def _solved(matrix: list[list[float]], wanted: list[float]) -> list[float]:
    """Solves linear equations of a positive definite matrix."""
    size = len(wanted)
    rows = [[*row, value] for row, value in zip(matrix, wanted, strict=True)]
    for pivot in range(size):
        scale = rows[pivot][pivot]
        rows[pivot] = [value / scale for value in rows[pivot]]
        for other in range(size):
            if other == pivot:
                continue
            factor = rows[other][pivot]
            rows[other] = [
                value - factor * base
                for value, base in zip(rows[other], rows[pivot], strict=True)
            ]
    return [row[-1] for row in rows]


class GenerationTimes:
    """Expected times by model: until the first event, and from then on."""

    __slots__ = ("_lines", "_token_ms")

    def __init__(self):
        self._lines: dict[str, _Line] = collections.defaultdict(_Line)
        self._token_ms: dict[str, float] = {}

    def note_first_event(
        self,
        model: str,
        *,
        waiting: datetime.timedelta,
        tokens: float,
        took: datetime.timedelta,
    ) -> None:
        """Takes in a first event.

        Args:
            model: Who made it.
            waiting: Reading that its replica had to do before.
            tokens: Of the prompt, without what was kept.
            took: From sending to the first event.
        """
        self._lines[model].learn(
            waiting / _MILLISECOND, tokens / 1000.0, took / _MILLISECOND
        )

    def reading(self, model: str, tokens: float) -> datetime.timedelta:
        """Returns how long an idle engine reads so many tokens."""
        pace_ms = self._lines[model].per_kilotoken_ms
        return pace_ms * tokens / 1000.0 * _MILLISECOND

    def note_generation(
        self, model: str, *, tokens: int, took: datetime.timedelta
    ) -> None:
        """Takes in how long an answer of some tokens went on."""
        if tokens < 1:
            return
        token_ms = took / _MILLISECOND / tokens
        known_ms = self._token_ms.get(model, token_ms)
        self._token_ms[model] = known_ms + _TOKEN_WEIGHT * (token_ms - known_ms)

    def generation(self, model: str, tokens: int) -> datetime.timedelta:
        """Returns how long an answer of some tokens goes on now."""
        return self._token_ms.get(model, 0.0) * tokens * _MILLISECOND

    def first_event(
        self, model: str, *, waiting: datetime.timedelta, tokens: float
    ) -> datetime.timedelta:
        """Returns how long a first event takes now."""
        at_ms = self._lines[model].at(waiting / _MILLISECOND, tokens / 1000.0)
        return at_ms * _MILLISECOND
