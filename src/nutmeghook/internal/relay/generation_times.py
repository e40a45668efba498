"""How long generations take, learnt from those that were seen."""

import collections
import datetime

_MILLISECOND = datetime.timedelta(milliseconds=1)
# A first event of an idle engine that reads some thousand tokens a second of
# its largest model; learnt values replace these within a minute.
_FIRST_MS = 60.0
_PER_WAITING_MS = 40.0
_PER_KILOTOKEN_MS = 40.0
# Typical sizes, which bring the three inputs to the same scale.
_USUAL_WAITING = 10.0
_USUAL_KILOTOKENS = 5.0
# Part of an error that each observation corrects. An instance sees one or two
# first events a second, so it follows a change within half a minute.
_STEP = 0.05
# Of one answer in the usual time a token.
_TOKEN_WEIGHT = 0.1
# A broken replica's silence of many seconds is not the engine's speed.
_LONGEST_MS = 5000.0


class _Line:
    """First events of one model: a sum of three parts.

    Attributes:
        first_ms: What every request takes.
        per_waiting_ms: For each request that waits at its replica.
        per_kilotoken_ms: For each 1,000 tokens of its prompt.
    """

    __slots__ = ("first_ms", "per_kilotoken_ms", "per_waiting_ms")

    def __init__(self):
        self.first_ms = _FIRST_MS
        self.per_waiting_ms = _PER_WAITING_MS
        self.per_kilotoken_ms = _PER_KILOTOKEN_MS

    def at(self, waiting: float, kilotokens: float) -> float:
        """Returns the expected time in ms."""
        return (
            self.first_ms
            + self.per_waiting_ms * waiting
            + self.per_kilotoken_ms * kilotokens
        )

    def learn(self, waiting: float, kilotokens: float, took_ms: float) -> None:
        """Takes in one observation: a step of normalised least squares."""
        error_ms = min(took_ms, _LONGEST_MS) - self.at(waiting, kilotokens)
        scaled_waiting = waiting / _USUAL_WAITING
        scaled_kilotokens = kilotokens / _USUAL_KILOTOKENS
        norm = 1.0 + scaled_waiting**2 + scaled_kilotokens**2
        step = _STEP * error_ms / norm
        self.first_ms = max(0.0, self.first_ms + step)
        self.per_waiting_ms = max(
            0.0, self.per_waiting_ms + step * scaled_waiting / _USUAL_WAITING
        )
        self.per_kilotoken_ms = max(
            0.0,
            self.per_kilotoken_ms
            + step * scaled_kilotokens / _USUAL_KILOTOKENS,
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
        waiting: float,
        tokens: int,
        took: datetime.timedelta,
    ) -> None:
        """Takes in a first event.

        Args:
            model: Who made it.
            waiting: Requests that waited at a replica when it was sent.
            tokens: Of the request's prompt.
            took: From sending to the first event.
        """
        self._lines[model].learn(waiting, tokens / 1000.0, took / _MILLISECOND)

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
        self, model: str, *, waiting: float, tokens: int
    ) -> datetime.timedelta:
        """Returns how long a first event takes now."""
        at_ms = self._lines[model].at(waiting, tokens / 1000.0)
        return at_ms * _MILLISECOND
