"""Shares of teams in the capacity of a service that is short of it.

While no place is free, more urgent requests come first, and teams share what
is left for one priority by max-min fairness with equal weights. The fleet's
capacity is not configured: it is what was admitted over the last seconds, less
the growth of the replicas' queues.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
import math
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import demand_rates
from nutmeghook.internal.limits import occupancy as occupancy_module
from nutmeghook.internal.limits import retry_after_schedule

# How often a service's occupancy is measured and its shares are worked out,
# which takes half a millisecond with 24 teams. A report arrives as often.
_SAMPLE_PERIOD = datetime.timedelta(milliseconds=200)
# How long a shortage counts.
_SHORTAGE_LIFETIME = datetime.timedelta(seconds=2)
# Requests beyond the slots are worked off within this time. With 2 s the
# capacity was corrected again before counts and rates showed the last
# correction: in bench/team_shares.py 0.941 of the other teams' requests were
# served on two islands of 90 instances, and 0.985 with 4 s.
_DRAIN_TIME = datetime.timedelta(seconds=4)
# Bounds of the capacity relative to what was admitted, against wrong counts.
_MIN_CAPACITY_SHARE = 0.5
_MAX_CAPACITY_SHARE = 2.0
# Less urgent requests that are admitted do not protect the more urgent ones
# while they are fewer than this part of the capacity: some are admitted in
# each moment in which a place is free.
_TRICKLE_SHARE = 0.01
# What is left below this part of the capacity is an error of rounding; the less
# urgent would be taken to have a share.
_ROUNDING = 1e-9
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
# Longest Retry-After, before the bound by the caller's time left.
_MAX_RETRY_DELAY = datetime.timedelta(seconds=10)
# A refused caller returns within this part of the time that it has left, so
# that a second refusal leaves time for a third request.
_MAX_DELAY_SHARE = 1 / 3


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Refusal:
    """Why a request is refused, and when its caller may return.

    Attributes:
        share_per_s: Cost a second that its team gets at its priority.
        asked_per_s: Cost a second that its team asks for there.
        expected_wait: How long the replicas take to work off their queues.
    """

    share_per_s: float
    asked_per_s: float
    expected_wait: datetime.timedelta
    retry_after: datetime.timedelta


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Share:
    asked: float
    share: float
    less_urgent: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _ServiceShares:
    """The shares in one service at a moment.

    Attributes:
        scale: Instances of the fleet for each one heard.
        wait: How long the replicas take to work off their queues.
    """

    at: datetime.timedelta
    capacity: float
    by_key: dict[demand_rates.DemandKey, _Share]
    scale: float
    wait: datetime.timedelta


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Sample:
    """Occupancy of a service at a moment.

    Attributes:
        load: Requests that run or wait for each slot.
        own_part: The part of these that is from this instance.
    """

    at: datetime.timedelta
    load: float
    slots: int
    own_part: float


class _ServiceState:
    """What is known of one service.

    Attributes:
        mean_cost: Moving average of the cost of its requests here.
        samples: Occupancy over the last `demand_rates.WINDOW`.
        sampled_at: When it was last measured; None if never.
        short_at: When it was last short of capacity; None if never.
        shares: The shares last worked out; None if none were.
    """

    __slots__ = ("mean_cost", "sampled_at", "samples", "shares", "short_at")

    def __init__(self):
        self.mean_cost = 0.0
        self.samples: collections.deque[_Sample] = collections.deque()
        self.sampled_at: datetime.timedelta | None = None
        self.short_at: datetime.timedelta | None = None
        self.shares: _ServiceShares | None = None

    def bounded_cost(self, cost: float) -> float:
        """Returns a request's cost as far as it counts."""
        largest = _MAX_RELATIVE_COST * self.mean_cost or _MAX_COST
        return min(cost, largest, _MAX_COST)


class TeamShares:
    """Decides which requests are refused while no place is free.

    Attributes:
        fleet_size: Returns the number of instances, this one included.
        rates: What teams ask for and get.
    """

    __slots__ = (
        "_clock",
        "_random",
        "_schedule",
        "_services",
        "fleet_size",
        "rates",
    )

    def __init__(
        self, *, clock: clock_module.Clock, random_source: random.Random
    ):
        self._clock = clock
        self._random = random_source
        self._schedule = retry_after_schedule.RetryAfterSchedule(
            clock=clock,
            randomness=random_source,
            max_delay=_MAX_RETRY_DELAY,
        )
        self._services: dict[str, _ServiceState] = collections.defaultdict(
            _ServiceState
        )
        self.fleet_size: Callable[[], int] = lambda: 1
        self.rates = demand_rates.DemandRates(clock=clock)

    def configure(self, keys: Iterable[demand_rates.DemandKey]) -> None:
        """Sets the keys that there are; the state of others is dropped."""
        known = set(keys)
        self.rates.configure(known)
        self._schedule.keep({key.text for key in known})
        services = {key.service for key in known}
        for service in self._services.keys() - services:
            del self._services[service]

    def note_asked(self, key: demand_rates.DemandKey, cost: float) -> None:
        """Counts a request that has arrived."""
        state = self._services[key.service]
        bounded = state.bounded_cost(cost)
        self.rates.note_asked(key, bounded)
        known = state.mean_cost or bounded
        state.mean_cost = known + _COST_WEIGHT * (bounded - known)

    def note_admitted(self, key: demand_rates.DemandKey, cost: float) -> None:
        """Counts a request that is sent to a replica."""
        state = self._services[key.service]
        self.rates.note_admitted(key, state.bounded_cost(cost))

    def needs_sample(self, service: str) -> bool:
        """Tells whether a service's occupancy is to be measured again."""
        sampled_at = self._services[service].sampled_at
        if sampled_at is None:
            return True
        return self._clock.monotonic() - sampled_at >= _SAMPLE_PERIOD

    def note_occupancy(
        self, service: str, occupancy: occupancy_module.Occupancy
    ) -> None:
        """Records the occupancy of all replicas of a service."""
        now = self._clock.monotonic()
        state = self._services[service]
        state.sampled_at = now
        if not occupancy.is_known:
            state.samples.clear()
            return
        if occupancy.is_short:
            state.short_at = now
        state.samples.append(
            _Sample(
                at=now,
                load=occupancy.load,
                slots=occupancy.slots,
                own_part=occupancy.own_requests / max(1, occupancy.requests),
            )
        )
        while state.samples[0].at < now - demand_rates.WINDOW:
            state.samples.popleft()

    def note_short(self, service: str) -> None:
        """Records that a request found no free place."""
        self._services[service].short_at = self._clock.monotonic()

    def is_any_short(self) -> bool:
        """Tells whether a service was short of capacity a moment ago."""
        oldest = self._clock.monotonic() - _SHORTAGE_LIFETIME
        return any(
            state.short_at is not None and state.short_at >= oldest
            for state in self._services.values()
        )

    def refusal(
        self,
        key: demand_rates.DemandKey,
        cost: float,
        *,
        time_left: datetime.timedelta,
    ) -> Refusal | None:
        """Returns why a request that found no free place is refused, if it is.

        Args:
            key: Its service, priority and team; counted as asked before.
            cost: Its cost.
            time_left: Time until its deadline.
        """
        shares = self._shares(key)
        part = self._admitted_part(key, shares)
        if part >= 1 or self._random.random() < part:
            return None
        own = shares.by_key[key]
        return Refusal(
            share_per_s=own.share,
            asked_per_s=own.asked,
            expected_wait=shares.wait,
            retry_after=self._retry_after(
                key, cost, own.share, shares.wait, time_left
            ),
        )

    def admitted_part(self, key: demand_rates.DemandKey) -> float:
        """Returns the part of a team's requests admitted without free places.

        It is 1 for a team that asks for no more than its share, while a less
        urgent request is admitted, and as long as too little is known.
        """
        return self._admitted_part(key, self._shares(key))

    def _admitted_part(
        self, key: demand_rates.DemandKey, shares: _ServiceShares | None
    ) -> float:
        own = shares.by_key.get(key) if shares else None
        if own is None or not self._is_above(own, shares, key.service):
            return 1.0
        if own.less_urgent > _TRICKLE_SHARE * shares.capacity:
            return 1.0
        return own.share / own.asked

    def _is_above(
        self, own: _Share, shares: _ServiceShares, service: str
    ) -> bool:
        """Tells whether a team asks for more than its share, beyond doubt.

        The rates come from some of the instances and from a few requests of
        small teams. A rate within a standard deviation of the share may be
        below it. What more urgent requests leave nothing for is refused.
        """
        if own.share <= 0:
            return own.asked > 0
        quantum = self._services[service].mean_cost * shares.scale
        variance = own.asked * quantum / demand_rates.WINDOW.total_seconds()
        return own.asked - math.sqrt(variance) > own.share

    def _retry_after(
        self,
        key: demand_rates.DemandKey,
        cost: float,
        share: float,
        wait: datetime.timedelta,
        time_left: datetime.timedelta,
    ) -> datetime.timedelta:
        longest = max(time_left, datetime.timedelta()) * _MAX_DELAY_SHARE
        # A team that gets nothing has no rate to spread its callers by.
        least = cost / _MAX_RETRY_DELAY.total_seconds()
        delay = self._schedule.next_retry_after(
            team=key.text,
            cost_tokens=math.ceil(cost),
            tokens_per_s=max(share / max(1, self.fleet_size()), least),
            earliest=wait,
        )
        if delay <= longest:
            return delay
        return longest * self._random.uniform(0.5, 1.0)

    def _shares(self, key: demand_rates.DemandKey) -> _ServiceShares | None:
        """Returns the shares in a key's service; None if nothing is known."""
        state = self._services[key.service]
        now = self._clock.monotonic()
        known = state.shares
        if (
            known is None
            or now - known.at >= _SAMPLE_PERIOD
            or key not in known.by_key
        ):
            state.shares = self._work_out(key.service, state)
        return state.shares

    def _work_out(
        self, service: str, state: _ServiceState
    ) -> _ServiceShares | None:
        if not state.samples or not state.mean_cost:
            return None
        fleet = self.rates.fleet(self.fleet_size())
        rates = {
            key: found
            for key, found in fleet.by_key.items()
            if key.service == service
        }
        admitted = sum(found.admitted for found in rates.values())
        if admitted <= 0:
            return None
        seen = _seen_part(state, self.fleet_size())
        capacity = _capacity(admitted, state, seen)
        shares = allocate(
            {key: found.asked for key, found in rates.items()}, capacity
        )
        # Admitted cost of less urgent requests, by priority.
        less_urgent: dict[int, float] = {}
        below = 0.0
        for priority in sorted({key.priority for key in rates}, reverse=True):
            less_urgent[priority] = below
            below += sum(
                found.admitted
                for key, found in rates.items()
                if key.priority == priority
            )
        return _ServiceShares(
            at=self._clock.monotonic(),
            capacity=capacity,
            by_key={
                key: _Share(
                    asked=found.asked,
                    share=shares[key],
                    less_urgent=less_urgent[key.priority],
                )
                for key, found in rates.items()
            },
            scale=fleet.scale,
            wait=datetime.timedelta(
                seconds=min(seen * _queued_cost(state) / capacity, _MAX_WAIT_S)
            ),
        )


def _queued_cost(state: _ServiceState) -> float:
    """Returns the cost of the requests beyond the slots."""
    newest = state.samples[-1]
    return max(0.0, newest.load - 1.0) * newest.slots * state.mean_cost


def _seen_part(state: _ServiceState, fleet_size: int) -> float:
    """Returns the part of the replicas' requests that is from known instances.

    Behind a network partition, the replicas' counts hold the requests of all
    instances, and the rates only those of some. If each side corrected for the
    whole queue, it would refuse too much: in the model of
    bench/team_shares.py, 0.984 of the other teams' requests were served on two
    islands of 90 instances, and 0.999 with this.

    Args:
        state: The service's.
        fleet_size: Number of known instances.
    """
    own = [sample.own_part for sample in state.samples]
    return min(1.0, fleet_size * sum(own) / len(own))


def _capacity(admitted: float, state: _ServiceState, seen: float) -> float:
    """Returns the cost a second that the replicas can take now.

    What was admitted and has not stayed at the replicas was served. Requests
    beyond the slots are worked off, and slots that are not taken are filled.
    """
    oldest, newest = state.samples[0], state.samples[-1]
    slots_cost = newest.slots * state.mean_cost * seen
    growth = slots_cost * (newest.load - oldest.load)
    served = admitted - growth / demand_rates.WINDOW.total_seconds()
    excess = slots_cost * (newest.load - 1.0) / _DRAIN_TIME.total_seconds()
    least = _MIN_CAPACITY_SHARE * admitted
    most = _MAX_CAPACITY_SHARE * admitted
    return min(max(served - excess, least), most)


def allocate(
    asked: Mapping[demand_rates.DemandKey, float], capacity: float
) -> dict[demand_rates.DemandKey, float]:
    """Returns what each key of one service gets of a capacity.

    More urgent keys come first. Those of one priority share what is left by
    max-min fairness: none gets more than it asks for, and none that gets less
    than that gets less than another.
    """
    shares: dict[demand_rates.DemandKey, float] = {}
    left = max(0.0, capacity)
    for priority in sorted({key.priority for key in asked}):
        of_priority = {
            key: rate for key, rate in asked.items() if key.priority == priority
        }
        level = fair_level(of_priority.values(), left)
        for key, rate in of_priority.items():
            shares[key] = min(rate, level)
            left = max(0.0, left - shares[key])
        if left <= _ROUNDING * (1.0 + capacity):
            left = 0.0
    return shares


def fair_level(rates: Iterable[float], capacity: float) -> float:
    """Returns the most that one team gets under max-min fairness.

    It is infinite if the capacity is enough for all.
    """
    left = capacity
    ascending = sorted(rates)
    for position, rate in enumerate(ascending):
        level = left / (len(ascending) - position)
        if rate > level:
            return level
        left -= rate
    return math.inf
