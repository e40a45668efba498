"""Measures which part of the requests at replicas is this instance's.

Callers' connections are not spread evenly, and may nearly all come to one
instance. Replicas count the requests of all instances.
"""

from collections.abc import Iterable
import datetime

from nutmeghook.internal.replicas import replica as replica_module

# An older report says little of the present.
_MAX_REPORT_AGE = datetime.timedelta(seconds=1)
# An answer's report always counts the request that it answers. With fewer
# requests than this for each report, that one makes the part look too large.
_MIN_REQUESTS_PER_REPORT = 3


def measured_part(
    replicas: Iterable[replica_module.Replica], now: datetime.timedelta
) -> float | None:
    """Returns the part of all requests at replicas that is this instance's.

    Args:
        replicas: Those to count.
        now: The monotonic time.

    Returns:
        From 0 to 1; None if they have reported too few requests lately.
    """
    reports = requests = own = 0
    for replica in replicas:
        report = replica.report
        if report is None or now - report.at > _MAX_REPORT_AGE:
            continue
        reports += 1
        requests += report.running + report.waiting
        own += replica.in_flight_at_report
    if not reports or requests < reports * _MIN_REQUESTS_PER_REPORT:
        return None
    return min(1.0, own / requests)
