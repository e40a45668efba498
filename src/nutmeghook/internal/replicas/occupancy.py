"""Measures how many places of replicas are taken, by their load reports."""

from collections.abc import Iterable
import datetime

from nutmeghook.internal.limits import occupancy
from nutmeghook.internal.replicas import replica as replica_module

# An older report says nothing about the places that are free now.
MAX_REPORT_AGE = datetime.timedelta(seconds=2)


def measure(
    replicas: Iterable[replica_module.Replica],
    now: datetime.timedelta,
    *,
    stops_at_free: bool = False,
) -> occupancy.Occupancy:
    """Returns the occupancy of some replicas.

    Args:
        replicas: Those to count.
        now: The monotonic time.
        stops_at_free: Leaves the rest uncounted once one has a free place.
    """
    slots = known_slots = taken = requests = own_requests = 0
    has_free = False
    for replica in replicas:
        own = replica.entry.slots
        slots += own
        report = replica.report
        if report is None or now - report.at > MAX_REPORT_AGE:
            continue
        known_slots += own
        taken += min(report.running, own)
        requests += report.running + report.waiting
        own_requests += replica.in_flight
        if report.running < own and not report.waiting:
            has_free = True
            if stops_at_free:
                break
    return occupancy.Occupancy(
        slots=slots,
        known_slots=known_slots,
        taken=taken,
        requests=requests,
        own_requests=own_requests,
        has_free=has_free,
    )
