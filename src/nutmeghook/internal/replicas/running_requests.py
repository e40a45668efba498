"""How many requests run at a replica now, from its reports and own sends.

An engine works on all its requests in turn, so each one delays the first event
and every further event of the others. Of two replicas of equal speed the one
with fewer requests answers sooner.
"""

import datetime
import math

from nutmeghook.internal.replicas import replica as replica_module

# Time constant with which a report's count decays to the service's baseline.
# The requests that it counts end within a second or two.
TIME_CONSTANT = datetime.timedelta(seconds=1)


def expected_running(
    replica: replica_module.Replica,
    *,
    baseline: replica_module.BaselineLoad,
    now: datetime.timedelta,
) -> float:
    """Returns the expected number of requests at a replica.

    Args:
        replica: The replica.
        baseline: The average load of its service's replicas.
        now: Monotonic time.
    """
    average = baseline.running + baseline.waiting
    report = replica.report
    if report is None:
        return max(average, float(replica.in_flight))
    weight = math.exp(min(0.0, (report.at - now) / TIME_CONSTANT))
    reported = report.running + report.waiting
    since = replica.in_flight - replica.in_flight_at_report
    if since < 0:
        # Own attempts that ended are in the report's count and fade with it.
        since *= weight
    expected = weight * reported + (1 - weight) * average + since
    return max(expected, float(replica.in_flight))
