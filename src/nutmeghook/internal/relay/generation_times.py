"""How long generations take, learnt from those that were seen."""

import collections
import datetime

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Before anything was seen: an engine of medium size. It counts as much as
# this many observations, so the first few correct most of it.
_PRIOR_FIRST_MS = 60.0
_PRIOR_PER_WAITING = 1.0
_PRIOR_PER_KILOTOKEN_MS = 40.0
_PRIOR_WEIGHT = 1.0
# No engine reads a thousand tokens faster; without a pace at all, prompts
# would count as nothing.
_MIN_PER_KILOTOKEN_MS = 1.0
# Typical sizes, which bring the three inputs to the same scale.
_TYPICAL_WAITING_MS = 500.0
_TYPICAL_KILOTOKENS = 5.0
# Part of its weight that an observation keeps at the next one. An instance
# sees one or two first events a second, so half a minute counts.
_DECAY = 0.98
# Of one answer in the usual time a token.
_TOKEN_WEIGHT = 0.1
# A broken replica's silence of many seconds is not the engine's speed.
_MAX_MS = 5000.0
# Longer prompts count as this long.
_MAX_KILOTOKENS = 100.0


class _FirstEventModel:
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
        self.first_ms = _PRIOR_FIRST_MS
        self.per_waiting = _PRIOR_PER_WAITING
        self.per_kilotoken_ms = _PRIOR_PER_KILOTOKEN_MS
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
            min(waiting_ms, _MAX_MS) / _TYPICAL_WAITING_MS,
            min(kilotokens, _MAX_KILOTOKENS) / _TYPICAL_KILOTOKENS,
        )
        took_ms = min(took_ms, _MAX_MS)
        for row, left in zip(self._moments, inputs, strict=True):
            for column, right in enumerate(inputs):
                row[column] = _DECAY * row[column] + left * right
        for position, value in enumerate(inputs):
            kept = _DECAY * self._targets[position]
            self._targets[position] = kept + value * took_ms
        self._fit()

    def _fit(self) -> None:
        prior = (
            _PRIOR_FIRST_MS,
            _PRIOR_PER_WAITING * _TYPICAL_WAITING_MS,
            _PRIOR_PER_KILOTOKEN_MS * _TYPICAL_KILOTOKENS,
        )
        matrix = [list(row) for row in self._moments]
        wanted = list(self._targets)
        for position, value in enumerate(prior):
            matrix[position][position] += _PRIOR_WEIGHT
            wanted[position] += _PRIOR_WEIGHT * value
        first_ms, waiting_ms, kilotokens_ms = _solve(matrix, wanted)
        self.first_ms = max(0.0, first_ms)
        self.per_waiting = max(0.0, waiting_ms / _TYPICAL_WAITING_MS)
        self.per_kilotoken_ms = max(
            _MIN_PER_KILOTOKEN_MS, kilotokens_ms / _TYPICAL_KILOTOKENS
        )


def _solve(matrix: list[list[float]], wanted: list[float]) -> list[float]:
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

    __slots__ = ("_first_event_models", "_token_ms")

    def __init__(self):
        self._first_event_models: dict[str, _FirstEventModel] = (
            collections.defaultdict(_FirstEventModel)
        )
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
        self._first_event_models[model].learn(
            waiting / _MILLISECOND, tokens / 1000.0, took / _MILLISECOND
        )

    def prefill_time(self, model: str, tokens: float) -> datetime.timedelta:
        """Returns how long an idle engine reads so many tokens."""
        pace_ms = self._first_event_models[model].per_kilotoken_ms
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

    def generation_time(self, model: str, tokens: int) -> datetime.timedelta:
        """Returns how long an answer of some tokens goes on now."""
        return self._token_ms.get(model, 0.0) * tokens * _MILLISECOND

    def time_to_first_event(
        self, model: str, *, waiting: datetime.timedelta, tokens: float
    ) -> datetime.timedelta:
        """Returns how long a first event takes now."""
        at_ms = self._first_event_models[model].at(
            waiting / _MILLISECOND, tokens / 1000.0
        )
        return at_ms * _MILLISECOND
