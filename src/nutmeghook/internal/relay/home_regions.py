"""Regions that a request may not leave, by its route and its team."""

from collections.abc import Callable

from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.replicas import entries

_Predicate = Callable[[entries.ReplicaEntry], bool]


class HomeRegions:
    """Restricts requests with home regions to replicas there.

    Args:
        region_of: Returns a data centre's region; None if it is not known.
    """

    __slots__ = ("_region_of",)

    def __init__(self, *, region_of: Callable[[str], str | None]):
        self._region_of = region_of

    def restrict(self, job: job_module.Job, accepts: _Predicate) -> _Predicate:
        """Returns the predicate, restricted to replicas in the home regions."""
        homes = homes_of(job)
        if homes is None:
            return accepts
        return lambda entry: (
            self._region_of(entry.data_centre) in homes and accepts(entry)
        )


def homes_of(job: job_module.Job) -> frozenset[str] | None:
    """Returns the regions where a request may run; None for any.

    Home regions of the route and of the team both apply.
    """
    found = [job.route.home_regions]
    if job.team is not None:
        found.append(job.team.home_regions)
    binding = [homes for homes in found if homes]
    if not binding:
        return None
    return frozenset.intersection(*binding)
