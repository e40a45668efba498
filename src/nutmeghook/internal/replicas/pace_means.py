"""Running means of paces, against which single replicas are measured."""

import collections
import math

# Weight of one answer in a mean: some 50 answers count, which one instance of a
# large fleet gets of a busy version within seconds.
_ANSWER_WEIGHT = 0.02
# Answers before a mean is used. With fewer, the replica that answered first
# would be the average one.
MIN_ANSWERS = 5
# A larger factor counts as this one, in means and in what is returned.
_MAX_DEVIATION = math.log(8.0)
# Versions come and go over months. A mean takes some 300 bytes.
_MAX_KEPT = 1000

Key = tuple[str, ...]


class _Mean:
    __slots__ = ("answers", "log_pace")

    def __init__(self):
        self.answers = 0
        self.log_pace = 0.0


class PaceMeans:
    """Means of log paces by key, such as service, version and measure.

    A pace is the time of an answer over any expectation that is the same for
    all replicas of the key. An error of that expectation is in the mean, and so
    is what a version takes longer or shorter than others.
    """

    __slots__ = ("_means",)

    def __init__(self):
        # The latest used at the end.
        self._means: collections.OrderedDict[Key, _Mean] = (
            collections.OrderedDict()
        )

    def relative(self, key: Key, pace: float) -> float | None:
        """Returns a pace over the key's mean, and adds it to the mean.

        Returns:
            None if too few answers of the key are known, or it is no pace.
        """
        if not 0.0 < pace < math.inf:
            return None
        mean = self._means.setdefault(key, _Mean())
        self._means.move_to_end(key)
        if len(self._means) > _MAX_KEPT:
            self._means.popitem(last=False)
        log_pace = math.log(pace)
        deviation = log_pace - mean.log_pace
        bounded = max(-_MAX_DEVIATION, min(_MAX_DEVIATION, deviation))
        is_known = mean.answers >= MIN_ANSWERS
        mean.answers += 1
        if mean.answers == 1:
            mean.log_pace = log_pace
        else:
            weight = max(_ANSWER_WEIGHT, 1.0 / mean.answers)
            mean.log_pace += weight * bounded
        return math.exp(bounded) if is_known else None
