"""A concurrency limit that adapts to measured service."""

import datetime
import math

from nutmeghook.internal.limits import concurrency_limit

_SECOND = datetime.timedelta(seconds=1)
_WINDOW_SHARE = 0.5
_MIN_WINDOW = 10
# A full batch slows each token by up to half, which is no overload.
_TOLERANCE = 1.6
_MIN_CUT_FACTOR = 0.5
_OVERLOAD_FACTOR = 0.8
_BASELINE_DRIFT = 1.002
_LATENCY_FLOOR_SHARE = 0.5
_GROWTH_SHARE = 0.25
_USED_SHARE = 0.8


def capacity_share(*, capacity: int, members: int) -> int:
    """Returns the most slots that one instance may use.

    The load balancer does not split requests exactly evenly, so an instance
    gets its share of the backend servers' capacity plus half the standard
    deviation of a random split. That is 10% of a share of 27, and 4% of one of
    167.

    Args:
        capacity: Generations that all backend servers hold at once.
        members: Entry instances.
    """
    share = capacity / max(1, members)
    return max(1, math.ceil(share + 0.5 * math.sqrt(share)))


class AdaptiveLimit(concurrency_limit.ConcurrencyLimit):
    """Cuts the slots when service slows down or refuses, else adds some.

    A refusal for overload is unambiguous, and may cut the slots down to one.
    Slow service is ambiguous: engines that are slow for another reason do not
    become faster with fewer requests, and cutting further would waste their
    remaining capacity. So slowness alone cuts to half of the ceiling at most.
    """

    __slots__ = (
        "_baseline",
        "_ceiling",
        "_cut_in_window",
        "_duration_s",
        "_samples",
        "_slots",
        "_used",
        "_work_tokens",
    )

    def __init__(self, *, ceiling: int):
        self._ceiling = concurrency_limit.checked_slots(ceiling)
        self._slots = float(ceiling)
        self._baseline = math.inf
        self._start_window()

    @property
    def slots(self) -> int:
        """The number of requests that may run at once."""
        return max(1, int(self._slots))

    def set_ceiling(self, ceiling: int) -> None:
        """Sets the most slots, as the backend servers or members change."""
        before = self._ceiling
        self._ceiling = concurrency_limit.checked_slots(ceiling)
        # The slots keep their share of the ceiling, so that the loss of
        # replicas takes effect at once and new ones are used without a ramp.
        self._slots = max(1.0, self._slots * ceiling / before)

    def note(
        self,
        *,
        duration: datetime.timedelta,
        overloaded: bool,
        work_tokens: int,
        running: int,
    ) -> None:
        """Records one finished attempt."""
        self._samples += 1
        if overloaded:
            self._cut_for_overload()
        else:
            self._duration_s += duration / _SECOND
            self._work_tokens += max(1, work_tokens)
        # Compared with whole slots: one running request is less than four
        # fifths of 1.3 slots, so an instance cut to one slot would never get a
        # second one.
        if running >= _USED_SHARE * self.slots:
            self._used = True
        window = max(_MIN_WINDOW, _WINDOW_SHARE * self._slots)
        if self._samples >= window:
            self._end_window()

    def _start_window(self) -> None:
        self._samples = 0
        self._duration_s = 0.0
        self._work_tokens = 0
        self._used = False
        self._cut_in_window = False

    def _cut_for_overload(self) -> None:
        """Cuts once per window: refusals at the same time are one signal."""
        if not self._cut_in_window:
            self._slots = max(1.0, self._slots * _OVERLOAD_FACTOR)
            self._cut_in_window = True

    def _end_window(self) -> None:
        if self._work_tokens and not self._cut_in_window:
            self._adapt_to_pace(self._duration_s / self._work_tokens)
        self._start_window()

    def _adapt_to_pace(self, pace_s: float) -> None:
        # The baseline drifts upwards, so that a lasting change (longer
        # prompts, another mix of models) stops counting as overload.
        self._baseline = min(self._baseline * _BASELINE_DRIFT, pace_s)
        gradient = min(1.0, _TOLERANCE * self._baseline / max(pace_s, 1e-9))
        slots = self._slots * max(_MIN_CUT_FACTOR, gradient)
        if gradient < 1.0:
            floor = self._ceiling * _LATENCY_FLOOR_SHARE
            # Slots below the floor, where refusals brought them, stay there.
            self._slots = max(slots, min(floor, self._slots), 1.0)
        elif self._used:
            step = max(_GROWTH_SHARE * self._ceiling, math.sqrt(slots))
            self._slots = min(self._ceiling, slots + step)
