"""When a quarantined suspect is sent as a probe, to see whether it is sound."""

import datetime
import math

from nutmeghook.internal.suspects import evidence

# Time for which a crash counts. Copies come for as long as callers retry, but
# after a fault is fixed its requests should not be refused for a day.
SUSPICION_LIFETIME = datetime.timedelta(hours=1)
# Time since the last crash until one copy of a request is sent as a probe. As
# it may crash one more replica, there is only one probe, which all instances
# know of.
PROBE_DELAY = datetime.timedelta(minutes=1)
# The same for a part, whose requests are many, so that a sound one has to be
# found out soon; then the later probe.
PART_PROBE_DELAYS = (datetime.timedelta(seconds=4), PROBE_DELAY)
# Requests with a quarantined part come to all instances, and a probe is known
# to all only after the gossip's delay. So each instance waits for a time of its
# own, exponentially distributed: whatever their number, about one is due first,
# two within the next step, then four.
_STEP = datetime.timedelta(milliseconds=400)
_STEPS = 10


def own_wait(rank: float) -> datetime.timedelta:
    """Returns for how much longer than the first one an instance waits.

    Args:
        rank: Where it stands among the instances: from 0, the first, to 1.
    """
    return _STEP * max(0.0, _STEPS + math.log2(max(rank, 2**-_STEPS)))


def is_left(suspicion: evidence.Suspicion) -> bool:
    """Tells whether a suspect may be probed once more."""
    return suspicion.probes < len(_delays(suspicion))


def is_last(suspicion: evidence.Suspicion) -> bool:
    """Tells whether the next probe is the last one."""
    return suspicion.probes + 1 == len(_delays(suspicion))


def due_at(
    suspicion: evidence.Suspicion, wait: datetime.timedelta
) -> datetime.timedelta:
    """Returns the monotonic time of the next probe, or of the end without one.

    Args:
        suspicion: Of a suspect in quarantine.
        wait: The instance's own wait.
    """
    if not is_left(suspicion):
        return suspicion.last_update_at + SUSPICION_LIFETIME
    since = evidence.latest(suspicion.last_update_at, suspicion.probed_at)
    return since + _delays(suspicion)[suspicion.probes] + wait


def _delays(
    suspicion: evidence.Suspicion,
) -> tuple[datetime.timedelta, ...]:
    """Returns the times after which a suspect is probed, one after another."""
    return PART_PROBE_DELAYS if suspicion.is_part else (PROBE_DELAY,)
