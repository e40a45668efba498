"""How long generations take, learnt from those that were seen."""

import collections
import datetime

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Before anything was seen: an engine of medium size. The first observations
# correct most of it.
_FIRST_MS = 60.0
_PER_WAITING_MS = 1.0
_PER_KILOTOKEN_MS = 40.0
# No engine reads a thousand tokens faster; without a pace at all, prompts
# would count as nothing.
_LEAST_PER_KILOTOKEN_MS = 1.0
# Typical sizes, which bring the three inputs to the same scale.
_USUAL_WAITING_MS = 500.0
_USUAL_KILOTOKENS = 5.0
# Part of an error that each observation corrects. An instance sees one or two
# first events a second, so it follows a change within half a minute.
_STEP = 0.05
# Of the first observation; it falls with their number.
_FIRST_STEP = 0.5
# Of one answer in the usual time a token.
_TOKEN_WEIGHT = 0.1
# A broken replica's silence of many seconds is not the engine's speed.
_LONGEST_MS = 5000.0


class _Line:
    """First events of one model: a sum of three parts.

    Attributes:
        first_ms: What every request takes.
        per_waiting_ms: For each millisecond of reading before it.
        per_kilotoken_ms: For each 1,000 tokens of its prompt.
    """

    __slots__ = ("_seen", "first_ms", "per_kilotoken_ms", "per_waiting_ms")

    def __init__(self):
        self._seen = 0
        self.first_ms = _FIRST_MS
        self.per_waiting_ms = _PER_WAITING_MS
        self.per_kilotoken_ms = _PER_KILOTOKEN_MS

    def at(self, waiting_ms: float, kilotokens: float) -> float:
        """Returns the expected time in ms."""
        return (
            self.first_ms
            + self.per_waiting_ms * waiting_ms
            + self.per_kilotoken_ms * kilotokens
        )

    def learn(
        self, waiting_ms: float, kilotokens: float, took_ms: float
    ) -> None:
        """Takes in one observation: a step of normalised least squares."""
        self._seen += 1
        error_ms = min(took_ms, _LONGEST_MS) - self.at(waiting_ms, kilotokens)
        waiting = waiting_ms / _USUAL_WAITING_MS
        tokens = kilotokens / _USUAL_KILOTOKENS
        share = max(_STEP, _FIRST_STEP / self._seen)
        step = share * error_ms / (1.0 + waiting**2 + tokens**2)
        self.first_ms = max(0.0, self.first_ms + step)
        self.per_waiting_ms = max(
            0.0, self.per_waiting_ms + step * waiting / _USUAL_WAITING_MS
        )
        self.per_kilotoken_ms = max(
            _LEAST_PER_KILOTOKEN_MS,
            self.per_kilotoken_ms + step * tokens / _USUAL_KILOTOKENS,
        )


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
