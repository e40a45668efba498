"""Estimates how long generations take, from those observed."""

import collections
import datetime

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Prior for an engine of medium size. It weighs as much as _PRIOR_WEIGHT
# observations, so the first few correct most of it.
_PRIOR_FIRST_MS = 60.0
_PRIOR_PER_WAITING = 1.0
_PRIOR_PER_KILOTOKEN_MS = 40.0
_PRIOR_PER_RUNNING_MS = 10.0
_PRIOR_WEIGHT = 1.0
# No engine prefills 1,000 tokens faster. At 0, prompts would seem to cost
# nothing.
_MIN_PER_KILOTOKEN_MS = 1.0
# Typical sizes, which bring the three inputs to the same scale.
_TYPICAL_WAITING_MS = 500.0
_TYPICAL_KILOTOKENS = 5.0
_TYPICAL_RUNNING = 6.0
# Factor of an observation's weight at each later one. At one or two
# first events a second per instance, this averages over half a minute.
_DECAY = 0.98
# Weight of one answer in the mean time per token.
_TOKEN_WEIGHT = 0.1
# Longer times are capped: the silence of a broken replica is not its speed.
_MAX_MS = 5000.0
# Longer prompts count as this long.
_MAX_KILOTOKENS = 100.0
# More running requests count as this many.
_MAX_RUNNING = 200.0


class _RecentLeastSquares:
    """Least squares over recent observations, with a prior."""

    __slots__ = ("_moments", "_targets")

    def __init__(self, *, inputs: int):
        self._moments = [[0.0] * inputs for _ in range(inputs)]
        self._targets = [0.0] * inputs

    def add(self, inputs: tuple[float, ...], target: float) -> None:
        """Adds one observation; each one before it loses weight."""
        for row, left in zip(self._moments, inputs, strict=True):
            for column, right in enumerate(inputs):
                row[column] = _DECAY * row[column] + left * right
        for position, value in enumerate(inputs):
            decayed = _DECAY * self._targets[position]
            self._targets[position] = decayed + value * target

    def coefficients(
        self, prior: tuple[float, ...], weights: tuple[float, ...]
    ) -> list[float]:
        """Returns the fitted coefficients.

        Args:
            prior: Those expected without observations.
            weights: Of each of them, in observations.
        """
        matrix = [list(row) for row in self._moments]
        wanted = list(self._targets)
        for position, weight in enumerate(weights):
            matrix[position][position] += weight
            wanted[position] += weight * prior[position]
        return _solve(matrix, wanted)


class _FirstEventModel:
    """Linear model of one model's time to first event.

    Fitted by least squares over recent observations. If each observation
    corrected it by a share of its error instead, the prefill time would still
    be three times too long after a minute, since the waiting varies more than
    the prefill.

    Attributes:
        first_ms: Constant time of each request.
        per_waiting: Time per millisecond of prefill queued before it.
        per_kilotoken_ms: Time per 1,000 tokens of its prompt.
        per_running_ms: Time per request that runs at the replica.
    """

    __slots__ = (
        "_fit",
        "first_ms",
        "per_kilotoken_ms",
        "per_running_ms",
        "per_waiting",
    )

    def __init__(self):
        self.first_ms = _PRIOR_FIRST_MS
        self.per_waiting = _PRIOR_PER_WAITING
        self.per_kilotoken_ms = _PRIOR_PER_KILOTOKEN_MS
        self.per_running_ms = _PRIOR_PER_RUNNING_MS
        self._fit = _RecentLeastSquares(inputs=4)

    def at(self, waiting_ms: float, kilotokens: float, running: float) -> float:
        """Returns the expected time in ms."""
        return (
            self.first_ms
            + self.per_waiting * waiting_ms
            + self.per_kilotoken_ms * kilotokens
            + self.per_running_ms * running
        )

    def learn(
        self,
        waiting_ms: float,
        kilotokens: float,
        running: float,
        took_ms: float,
    ) -> None:
        """Adds one observation."""
        inputs = (
            1.0,
            min(waiting_ms, _MAX_MS) / _TYPICAL_WAITING_MS,
            min(kilotokens, _MAX_KILOTOKENS) / _TYPICAL_KILOTOKENS,
            min(running, _MAX_RUNNING) / _TYPICAL_RUNNING,
        )
        self._fit.add(inputs, min(took_ms, _MAX_MS))
        prior = (
            _PRIOR_FIRST_MS,
            _PRIOR_PER_WAITING * _TYPICAL_WAITING_MS,
            _PRIOR_PER_KILOTOKEN_MS * _TYPICAL_KILOTOKENS,
            _PRIOR_PER_RUNNING_MS * _TYPICAL_RUNNING,
        )
        first_ms, waiting_ms, kilotokens_ms, running_ms = (
            self._fit.coefficients(prior, (_PRIOR_WEIGHT,) * len(prior))
        )
        self.first_ms = max(0.0, first_ms)
        self.per_waiting = max(0.0, waiting_ms / _TYPICAL_WAITING_MS)
        self.per_kilotoken_ms = max(
            _MIN_PER_KILOTOKEN_MS, kilotokens_ms / _TYPICAL_KILOTOKENS
        )
        self.per_running_ms = max(0.0, running_ms / _TYPICAL_RUNNING)


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


class _TokenTimeModel:
    """Linear model of one model's time per token, by the requests running.

    Attributes:
        idle_ms: Time per token at a replica that runs nothing else.
        per_running_ms: Time per token for each request that runs there.
    """

    __slots__ = ("_fit", "idle_ms", "per_running_ms")

    def __init__(self, token_ms: float):
        self.idle_ms = token_ms
        self.per_running_ms = 0.0
        self._fit = _RecentLeastSquares(inputs=2)

    def learn(self, running: float, token_ms: float) -> None:
        """Adds one answer."""
        inputs = (1.0, min(running, _MAX_RUNNING) / _TYPICAL_RUNNING)
        self._fit.add(inputs, token_ms)
        idle_ms, running_ms = self._fit.coefficients(
            (self.idle_ms, 0.0), (_TOKEN_WEIGHT, _PRIOR_WEIGHT)
        )
        self.per_running_ms = max(0.0, running_ms / _TYPICAL_RUNNING)
        self.idle_ms = max(0.0, idle_ms)


class GenerationTimes:
    """Expected times by model: to the first event, and from it to the end.

    They are those of an average replica; a caller multiplies them by the
    slowness of the one it means, and divides what it saw there.
    """

    __slots__ = ("_first_event_models", "_loaded_token_models", "_token_ms")

    def __init__(self):
        self._first_event_models: dict[str, _FirstEventModel] = (
            collections.defaultdict(_FirstEventModel)
        )
        self._token_ms: dict[str, float] = {}
        # Only of services whose load is known.
        self._loaded_token_models: dict[str, _TokenTimeModel] = {}

    def note_first_event(
        self,
        model: str,
        *,
        waiting: datetime.timedelta,
        tokens: float,
        took: datetime.timedelta,
        running: float = 0.0,
    ) -> None:
        """Records a time to first event.

        Args:
            model: The model that answered.
            waiting: Prefill time queued at its replica before it.
            tokens: Prompt tokens that were not cached.
            took: From sending to the first event.
            running: Requests that ran at its replica; 0 where that is not
                taken into account.
        """
        self._first_event_models[model].learn(
            waiting / _MILLISECOND,
            tokens / 1000.0,
            running,
            took / _MILLISECOND,
        )

    def prefill_time(self, model: str, tokens: float) -> datetime.timedelta:
        """Returns how long an idle engine takes to prefill some tokens."""
        pace_ms = self._first_event_models[model].per_kilotoken_ms
        return pace_ms * tokens / 1000.0 * _MILLISECOND

    def delay_per_running(self, model: str) -> datetime.timedelta:
        """Returns by how much each running request delays a first event."""
        return self._first_event_models[model].per_running_ms * _MILLISECOND

    def note_generation(
        self,
        model: str,
        *,
        tokens: int,
        took: datetime.timedelta,
        running: float | None = None,
    ) -> None:
        """Records the time from an answer's first event to its end.

        Args:
            model: The model that answered.
            tokens: The most tokens that it could have.
            took: From its first event to its end.
            running: Requests that ran at its replica; None where that is not
                taken into account.
        """
        if tokens < 1:
            return
        token_ms = took / _MILLISECOND / tokens
        if running is not None:
            known = self._loaded_token_models.get(model)
            if known is None:
                known = _TokenTimeModel(token_ms)
                self._loaded_token_models[model] = known
            known.learn(running, token_ms)
        known_ms = self._token_ms.get(model, token_ms)
        self._token_ms[model] = known_ms + _TOKEN_WEIGHT * (token_ms - known_ms)

    def generation_time(
        self, model: str, tokens: int, *, running: float | None = None
    ) -> datetime.timedelta:
        """Returns the expected time from the first event to the end.

        Args:
            model: The model that answers.
            tokens: The most tokens that it may have.
            running: Requests that run at its replica; None for a usual load.
        """
        loaded = self._loaded_token_models.get(model)
        if running is None or loaded is None:
            return self._token_ms.get(model, 0.0) * tokens * _MILLISECOND
        token_ms = loaded.idle_ms + loaded.per_running_ms * running
        return token_ms * tokens * _MILLISECOND

    def generation_per_running(
        self, model: str, tokens: int
    ) -> datetime.timedelta:
        """Returns by how much each running request delays the end."""
        loaded = self._loaded_token_models.get(model)
        if loaded is None:
            return datetime.timedelta()
        return loaded.per_running_ms * tokens * _MILLISECOND

    def time_to_first_event(
        self,
        model: str,
        *,
        waiting: datetime.timedelta,
        tokens: float,
        running: float = 0.0,
    ) -> datetime.timedelta:
        """Returns the expected time to first event."""
        at_ms = self._first_event_models[model].at(
            waiting / _MILLISECOND, tokens / 1000.0, running
        )
        return at_ms * _MILLISECOND
