"""Waiting requests in the order of their priority and their team's share.

Start-time fair queueing among teams: each team has a virtual time that
advances by cost over weight as it is served, and the team with the lowest one
goes next. A request that leaves the queue unserved costs its team nothing,
because virtual time advances on service only.

Priority alone would let a team that marks all its work urgent starve the
others; fairness alone would let urgent requests wait behind other teams'
ordinary ones. So most of the served work is picked by priority first, and a
guaranteed share of it by fairness alone.
"""

import asyncio
import collections
import dataclasses
import datetime
import enum

from nutmeghook.internal.limits import admission

DEFAULT_GUARANTEED_SHARE = 0.25
# Unused share that an idle team may save, in requests.
_SAVED_REQUESTS = 4


class Verdict(enum.Enum):
    """The outcome of a waiting request."""

    RUN = "run"
    TOO_LATE = "too_late"
    SHED = "shed"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """A waiting request.

    Attributes:
        latest_start: Monotonic time after which it would end too late.
    """

    request: admission.AdmissionRequest
    verdict: asyncio.Future[Verdict]
    latest_start: datetime.timedelta


class _Team:
    """One team's waiting requests, by priority, oldest first."""

    __slots__ = ("cost_tokens", "tickets", "virtual_time", "waiting", "weight")

    def __init__(self, *, weight: float, virtual_time: float):
        self.weight = weight
        self.virtual_time = virtual_time
        self.waiting = 0
        self.cost_tokens = [0] * admission.PRIORITIES
        self.tickets: list[collections.deque[Ticket]] = [
            collections.deque() for _ in range(admission.PRIORITIES)
        ]

    def top_priority(self) -> int:
        """Returns the highest priority waiting; -1 if there is none."""
        for priority in range(admission.PRIORITIES - 1, -1, -1):
            if self.tickets[priority]:
                return priority
        return -1

    def cost_from(self, priority: int) -> int:
        """Returns the cost waiting at this priority or above."""
        return sum(self.cost_tokens[priority:])

    def cost_before(self, virtual_time: float, cost_tokens: int) -> float:
        """Returns how much waiting cost is served before a virtual time."""
        lead = max(0.0, virtual_time - self.virtual_time)
        return min(float(cost_tokens), lead * self.weight)


class FairQueue:
    """The queue; all costs are in tokens."""

    __slots__ = ("_credit", "_guaranteed_share", "_length", "_teams", "_time")

    def __init__(self, *, guaranteed_share: float = DEFAULT_GUARANTEED_SHARE):
        if not 0 <= guaranteed_share < 1:
            raise ValueError(
                f"guaranteed_share is {guaranteed_share}; give a number from "
                "0 up to, but not, 1"
            )
        self._guaranteed_share = guaranteed_share
        self._teams: dict[str, _Team] = {}
        self._time = 0.0
        self._credit = 0.0
        self._length = 0

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return self._length

    @property
    def guaranteed_share(self) -> float:
        """The share of the served work that is picked by fairness alone."""
        return self._guaranteed_share

    def push(self, ticket: Ticket) -> None:
        """Adds a request behind those of its team and priority."""
        request = ticket.request
        team = self._team(request)
        team.tickets[request.priority].append(ticket)
        team.cost_tokens[request.priority] += request.cost_tokens
        team.waiting += 1
        self._length += 1

    def remove(self, ticket: Ticket) -> bool:
        """Removes an unserved request; False if it is not in the queue."""
        request = ticket.request
        team = self._teams.get(request.team)
        if team is None or ticket not in team.tickets[request.priority]:
            return False
        team.tickets[request.priority].remove(ticket)
        self._note_removed(team, request)
        return True

    def pop(self) -> Ticket:
        """Removes the request to serve next and charges its team.

        Raises:
            IndexError: Nothing waits.
        """
        backlogged = [t for t in self._teams.values() if t.waiting]
        if not backlogged:
            raise IndexError("nothing waits")
        fairest = min(backlogged, key=lambda team: team.virtual_time)
        chosen = self._choose(backlogged, fairest)
        ticket = chosen.tickets[chosen.top_priority()].popleft()
        cost_tokens = ticket.request.cost_tokens
        self._credit += self._guaranteed_share * cost_tokens
        if chosen is fairest:
            self._credit = max(0.0, self._credit - cost_tokens)
        self._time = max(self._time, fairest.virtual_time)
        self._note_removed(chosen, ticket.request)
        chosen.virtual_time += cost_tokens / chosen.weight
        return ticket

    def charge(self, request: admission.AdmissionRequest) -> None:
        """Charges a team for a request served without waiting."""
        team = self._team(request)
        # Without contention no team falls behind: the queue's virtual time
        # follows the team that is served, and others start from there.
        self._time = max(self._time, team.virtual_time)
        team.virtual_time += request.cost_tokens / team.weight

    def correct(self, team_name: str, extra_tokens: int) -> None:
        """Charges (or, if negative, refunds) the error of an estimate."""
        team = self._teams.get(team_name)
        if team is not None:
            team.virtual_time += extra_tokens / team.weight

    def cost_by_priority(self, request: admission.AdmissionRequest) -> float:
        """Returns the cost ahead of a new request among picks by priority."""
        team = self._team(request)
        priority = request.priority
        start = team.virtual_time + team.cost_from(priority) / team.weight
        ahead = float(team.cost_from(priority))
        for other in self._teams.values():
            if other is team or not other.waiting:
                continue
            ahead += other.cost_from(priority + 1)
            ahead += other.cost_before(start, other.cost_tokens[priority])
        return ahead

    def cost_by_fairness(self, request: admission.AdmissionRequest) -> float:
        """Returns the cost ahead of a new request among picks by fairness."""
        team = self._team(request)
        ahead = float(team.cost_from(request.priority))
        start = team.virtual_time + ahead / team.weight
        for other in self._teams.values():
            if other is not team and other.waiting:
                ahead += other.cost_before(start, other.cost_from(0))
        return ahead

    def has_below(self, priority: int) -> bool:
        """Tells whether anything waits at a lower priority."""
        return any(
            any(team.cost_tokens[:priority]) for team in self._teams.values()
        )

    def weight_share(self, request: admission.AdmissionRequest) -> float:
        """Returns the team's share of the weights of all backlogged teams."""
        others = sum(
            team.weight
            for name, team in self._teams.items()
            if name != request.team and team.waiting
        )
        return request.weight / (request.weight + others)

    def newest_like(self, request: admission.AdmissionRequest) -> Ticket | None:
        """Returns the newest of the request's team and priority, if any."""
        team = self._teams.get(request.team)
        if team is None or not team.tickets[request.priority]:
            return None
        return team.tickets[request.priority][-1]

    def newest_tickets(self) -> list[Ticket]:
        """Returns the newest of each team and priority, lowest first."""
        return [
            team.tickets[priority][-1]
            for priority in range(admission.PRIORITIES)
            for team in self._teams.values()
            if team.tickets[priority]
        ]

    def _choose(self, backlogged: list[_Team], fairest: _Team) -> _Team:
        fair_head = fairest.tickets[fairest.top_priority()][0]
        if self._credit >= fair_head.request.cost_tokens:
            return fairest
        top = max(team.top_priority() for team in backlogged)
        return min(
            (team for team in backlogged if team.tickets[top]),
            key=lambda team: team.virtual_time,
        )

    def _team(self, request: admission.AdmissionRequest) -> _Team:
        team = self._teams.get(request.team)
        if team is None:
            team = _Team(weight=request.weight, virtual_time=self._time)
            self._teams[request.team] = team
        team.weight = request.weight
        if not team.waiting:
            # An idle team's unused share is capped, or it would block all
            # others until it had caught up. With a cap of zero, a team whose
            # requests come in bursts would never get its whole share.
            saved = _SAVED_REQUESTS * request.cost_tokens / team.weight
            team.virtual_time = max(team.virtual_time, self._time - saved)
        return team

    def _note_removed(
        self, team: _Team, request: admission.AdmissionRequest
    ) -> None:
        team.cost_tokens[request.priority] -= request.cost_tokens
        team.waiting -= 1
        self._length -= 1
