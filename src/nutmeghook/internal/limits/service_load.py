"""The load of a service's replicas, and the capacity that follows from it."""

import collections
import datetime

import msgspec

from nutmeghook.internal.limits import demand_rates
from nutmeghook.internal.limits import occupancy as occupancy_module

# Requests beyond the slots are worked off within this time. With 2 s the
# capacity was corrected again before counts and rates showed the last
# correction: 0.941 of the other teams' requests were served in two network
# partitions of the model, and 0.985 with 4 s (design/team-shares.md).
_DRAIN_TIME = datetime.timedelta(seconds=4)
# Bounds of the capacity relative to what was admitted, against wrong counts.
_MIN_CAPACITY_SHARE = 0.5
_MAX_CAPACITY_SHARE = 2.0
# Weight of one request in a service's mean cost.
_COST_WEIGHT = 0.05
# Callers state the costs of their requests. A larger one counts as this many
# times the mean: what is admitted in the window is the capacity, so a single
# absurd cost would make it look endless.
_MAX_RELATIVE_COST = 20.0
# The first request sets the mean.
_MAX_COST = 1e6
# Replicas' counts can make queues seem longer than a duration can hold.
_MAX_WAIT_S = 3600.0


class _Sample(msgspec.Struct, frozen=True, kw_only=True):
    """Occupancy of a service at a moment.

    Attributes:
        load: Requests that run or wait for each slot.
        own_part: The part of these that is from this instance.
    """

    at: datetime.timedelta
    load: float
    slots: int
    own_part: float


class ServiceLoad:
    """Costs of a service's requests, and occupancy of its replicas.

    Attributes:
        mean_cost: Moving average of the cost of its requests here.
        sampled_at: When its occupancy was last measured; None if never.
    """

    __slots__ = ("_samples", "mean_cost", "sampled_at")

    def __init__(self):
        self.mean_cost = 0.0
        self.sampled_at: datetime.timedelta | None = None
        # Over the last `demand_rates.WINDOW`.
        self._samples: collections.deque[_Sample] = collections.deque()

    @property
    def is_known(self) -> bool:
        """Tells whether a capacity can be worked out."""
        return bool(self._samples) and self.mean_cost > 0

    def bounded_cost(self, cost: float) -> float:
        """Returns a request's cost as far as it counts."""
        largest = _MAX_RELATIVE_COST * self.mean_cost or _MAX_COST
        return min(cost, largest, _MAX_COST)

    def note_cost(self, cost: float) -> None:
        """Adds a request's cost to the mean."""
        bounded = self.bounded_cost(cost)
        known = self.mean_cost or bounded
        self.mean_cost = known + _COST_WEIGHT * (bounded - known)

    def note_occupancy(
        self, occupancy: occupancy_module.Occupancy, now: datetime.timedelta
    ) -> None:
        """Records the occupancy of all replicas."""
        self.sampled_at = now
        if not occupancy.is_known:
            self._samples.clear()
            return
        self._samples.append(
            _Sample(
                at=now,
                load=occupancy.load,
                slots=occupancy.slots,
                own_part=occupancy.own_requests / max(1, occupancy.requests),
            )
        )
        while self._samples[0].at < now - demand_rates.WINDOW:
            self._samples.popleft()

    def seen_part(self, fleet_size: int) -> float:
        """Returns the part of the requests that is from known instances.

        Behind a network partition, the replicas' counts hold the requests of
        all instances, and the rates only those of some. If each side corrected
        for the whole queue, it would refuse too much.

        Args:
            fleet_size: Number of known instances.
        """
        own = [sample.own_part for sample in self._samples]
        return min(1.0, fleet_size * sum(own) / len(own))

    def capacity(self, admitted: float, seen: float) -> float:
        """Returns the cost a second that the replicas can take now.

        What was admitted and has not stayed at the replicas was served.
        Requests beyond the slots are worked off, and slots that are not taken
        are filled.

        Args:
            admitted: Cost a second that was admitted.
            seen: The part of the requests that is from known instances.
        """
        oldest, newest = self._samples[0], self._samples[-1]
        slots_cost = newest.slots * self.mean_cost * seen
        growth = slots_cost * (newest.load - oldest.load)
        served = admitted - growth / demand_rates.WINDOW.total_seconds()
        excess = slots_cost * (newest.load - 1.0) / _DRAIN_TIME.total_seconds()
        least = _MIN_CAPACITY_SHARE * admitted
        most = _MAX_CAPACITY_SHARE * admitted
        return min(max(served - excess, least), most)

    def wait(self, capacity: float, seen: float) -> datetime.timedelta:
        """Returns how long it takes to work off the queues.

        Args:
            capacity: Cost a second that the replicas can take.
            seen: The part of the requests that is from known instances.
        """
        newest = self._samples[-1]
        queued = max(0.0, newest.load - 1.0) * newest.slots * self.mean_cost
        return datetime.timedelta(
            seconds=min(seen * queued / capacity, _MAX_WAIT_S)
        )
