"""Checks of a soak, from what callers and replicas observed.

Time bounds apply only to routers that neither had a fault themselves nor were
affected by one of the store or the links for some time before. All other
checks always apply.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica

# The users' bounds: for a configuration and for a leaving replica to be in
# force, and for how long a router has to be without faults before they apply.
CONFIGURATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
UNDISTURBED_S = 3.0
# Timestamps of callers and of the soak may differ by this in a busy process.
SLACK_S = 0.5
RETRY_RATIO = 0.9
RETRY_ALLOWANCE = 54
EXPOSURE_SHARE = 0.15
EXPOSURE_ALLOWANCE = 30
EVACUATION_BOUND_S = 5.0
# The rate limit of a cold replica of the soak's service, and the bound that
# follows from its routers' settings coldOverrun (1.5) and coldAllowance (5).
MAX_COLD_RATE_PER_S = 6.0
MAX_COLD_IN_ONE_SECOND = MAX_COLD_RATE_PER_S * 1.5 + 5.0
# The users' bound on a replica that states a rate limit: within any such span
# it gets at most so many times what the limit allows, and some requests more.
RATE_LIMIT_SPAN_S = 4.0
RATE_LIMIT_OVERRUN = 1.5
RATE_LIMIT_ALLOWANCE = 5
# The users' bound on brittle replicas: so many may fall over while they say so,
# and this part of them more.
BRITTLE_FALLS = 2
BRITTLE_FALLS_SHARE = 0.1
# The users' bound on routers that are cut off from all replicas: what they
# serve over what the others do, and how many failures count for nothing.
LEAST_SHARE = 2 / 3
CUT_OFF_ALLOWANCE = 10
ALL_ROUTERS = ""
# The team that at times sends several times its usual load, and its API key.
SURGING_TEAM = "surging"
SURGING_KEY = "key-of-surging-team"
# The users' bound: a request that has crashed so many replicas is sent at most
# so many times more.
CRASHED_REPLICAS = 3
MAX_CRASHING_RETRIES = 3
# The kind of a fault that affects other requests, but not what routers know
# about the crashing request itself.
CRASHING_REQUEST = "copy of a crashing request"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class InjectedFault:
    """A fault that was injected into the fleet.

    Attributes:
        router: The router that it affects; empty for all.
        is_stop: A graceful stop, which may cut no request.
    """

    kind: str
    router: str
    from_s: float
    to_s: float
    is_stop: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class KeyRemoval:
    """The removal of an API key, until it was restored."""

    key: str
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Evacuation:
    """The evacuation of a data centre, until it was ended."""

    data_centre: str
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ColdTime:
    """When a replica was cold."""

    replica_id: str
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class StatedLimit:
    """When a replica stated a rate limit in all its answers."""

    replica_id: str
    per_s: float
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RestingRefusal:
    """A request that a replica turned away, asking for rest."""

    replica_id: str
    request_id: str
    at_s: float
    rest_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PathsCut:
    """When routers were cut off from all replicas."""

    kind: str
    routers: frozenset[str]
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class BrittleTime:
    """When the replicas of a service said that they were brittle.

    Attributes:
        replicas: Their number.
        falls: For each time that one of them fell over, the requests that it
            had turned away just before.
    """

    replicas: int
    falls: tuple[tuple[str, ...], ...]
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class History:
    """The history of a soak.

    Attributes:
        received: Requests that reached replicas, by replica id.
        broken: Ids of requests whose answer a replica broke off.
        abandoned: Ids of requests that were cancelled by their caller.
        leaving_since_s: When each leaving replica was listed as leaving.
        crashes: Replicas that crashed under a request, in order.
        bad_runs: Number of requests that the bad version ran.
        evacuations: Of data centres, by the operator.
        cold: When replicas were cold.
        data_centres: Of replicas, by their ids.
        stated_limits: Rate limits that replicas stated.
        refusals: Requests turned away by replicas that asked for rest.
        said_leaving_since_s: When each replica began to say that it leaves.
        ordered_at_s: When the bad version was ordered; None if it was not.
        cuts: When routers were cut off from all replicas.
        brittle: When replicas were brittle.
    """

    calls: list[platform_checks.ObservedCall]
    injected_faults: list[InjectedFault]
    removals: list[KeyRemoval]
    received: dict[str, list[users_replica.ReceivedRequest]]
    runs: dict[str, int]
    broken: set[str]
    abandoned: set[str]
    leaving_since_s: dict[str, float]
    stop_statuses: list[int]
    crashes: list[platform_trial.ReplicaCrash] = dataclasses.field(
        default_factory=list
    )
    bad_runs: int = 0
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    cold: list[ColdTime] = dataclasses.field(default_factory=list)
    data_centres: dict[str, str] = dataclasses.field(default_factory=dict)
    stated_limits: list[StatedLimit] = dataclasses.field(default_factory=list)
    refusals: list[RestingRefusal] = dataclasses.field(default_factory=list)
    said_leaving_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    ordered_at_s: float | None = None
    final_state: str = ""
    cuts: list[PathsCut] = dataclasses.field(default_factory=list)
    brittle: list[BrittleTime] = dataclasses.field(default_factory=list)

    def is_undisturbed(self, router: str, from_s: float, to_s: float) -> bool:
        """Tells whether a router had no fault then and for some time before."""
        return not any(
            fault.router in (ALL_ROUTERS, _name(router))
            and fault.from_s <= to_s
            and fault.to_s >= from_s - UNDISTURBED_S
            for fault in self.injected_faults
        )


def violations(history: History, *, with_bounds: bool = True) -> list[str]:
    """Returns all violations.

    Args:
        history: The soak's history.
        with_bounds: Check time bounds too. On a machine that is busy with
            other work a router may be late without a fault of its own.
    """
    found = platform_checks.violations(
        calls=history.calls,
        runs=history.runs,
        removed_key="",
        removed_at_s=None,
        stop_statuses=history.stop_statuses,
    )
    for check in _CHECKS + (_CHECKS_OF_BOUNDS if with_bounds else ()):
        found.extend(check(history))
    return found


def _changed_requests(history: History) -> Iterator[str]:
    sent = {call.request_id: call for call in history.calls}
    for requests in history.received.values():
        for request in requests:
            call = sent.get(request.request_id)
            if request.request_id in history.abandoned:
                continue
            if call is None:
                sent_line = f"{request.method} {request.target}"
                yield f"nobody sent {request.request_id!r}: {sent_line}"
            elif request.target != f"/{call.kind}/x" or (
                request.body != call.sent_body
            ):
                yield f"{call.request_id} reached a replica changed"
            elif "authorization" in request.headers:
                yield f"{call.request_id}'s key was forwarded"
            elif request.headers.get(headers.TEAM.lower()) != _team(call):
                yield f"{call.request_id} reached a replica without its team"


def _team(call: platform_checks.ObservedCall) -> str:
    return SURGING_TEAM if call.key == SURGING_KEY else "team"


def _removed_keys(history: History) -> Iterator[str]:
    for call, removal in _calls_with_removed_keys(history):
        in_force_s = removal.from_s + CONFIGURATION_BOUND_S + SLACK_S
        admitted = call.status == 200 or history.runs.get(call.request_id)
        if not admitted or call.sent_s <= in_force_s:
            continue
        if history.is_undisturbed(call.router, removal.from_s, call.sent_s):
            yield f"{call.request_id} was admitted with a removed key"


def _readmitted_keys(history: History) -> Iterator[str]:
    """A router that has refused a removed key must not admit it again."""
    refused_at_s: dict[tuple[str, KeyRemoval], float] = {}
    for call, removal in _calls_with_removed_keys(history):
        if call.status == 401:
            place = (call.router, removal)
            before_s = refused_at_s.get(place, call.ended_s)
            refused_at_s[place] = min(before_s, call.ended_s)
    for call, removal in _calls_with_removed_keys(history):
        known_s = refused_at_s.get((call.router, removal))
        if call.status != 200 or known_s is None:
            continue
        if call.sent_s > known_s + SLACK_S:
            yield f"{call.request_id} was admitted after its key was refused"


def _calls_with_removed_keys(
    history: History,
) -> Iterator[tuple[platform_checks.ObservedCall, KeyRemoval]]:
    for removal in history.removals:
        # Calls shortly before the end are left out: routers may see the
        # restored key before its restoration is recorded.
        end_s = removal.to_s - SLACK_S
        for call in history.calls:
            if call.key != removal.key:
                continue
            if removal.from_s < call.sent_s and call.ended_s < end_s:
                yield call, removal


def _cut_off_routers(history: History) -> Iterator[str]:
    """Callers of cut-off routers are served like those of the others."""
    for cut in history.cuts:
        answered: dict[bool, list[bool]] = {True: [], False: []}
        for call in history.calls:
            is_counted = (
                cut.from_s + UNDISTURBED_S <= call.sent_s
                and call.ended_s < cut.to_s
                and call.request_id not in history.broken
                and call.sent_body == platform_checks.REQUEST_BODY
                and call.status not in (401, 404)
                and history.is_undisturbed(
                    call.router, call.sent_s, call.ended_s
                )
            )
            if is_counted:
                is_cut_off = _name(call.router) in cut.routers
                answered[is_cut_off].append(call.status == 200)
        behind, others = answered[True], answered[False]
        failed = len(behind) - sum(behind)
        if not others or failed <= CUT_OFF_ALLOWANCE + len(behind) / 50:
            continue
        if sum(behind) / len(behind) < LEAST_SHARE * sum(others) / len(others):
            yield (
                f"{sorted(cut.routers)}, cut off ({cut.kind}), served"
                f" {sum(behind)} of {len(behind)}, the others"
                f" {sum(others)} of {len(others)}"
            )


def _drained_replicas(history: History) -> Iterator[str]:
    sent = {call.request_id: call for call in history.calls}
    for replica_id, left_s in history.leaving_since_s.items():
        bound_s = left_s + DRAIN_BOUND_S + SLACK_S
        for request in history.received.get(replica_id, ()):
            call = sent.get(request.request_id)
            if call is None or call.sent_s <= bound_s:
                continue
            if history.is_undisturbed(call.router, left_s, request.arrived_s):
                yield f"{call.request_id} reached {replica_id}, which had left"


def _evacuated_replicas(history: History) -> Iterator[str]:
    sent = {call.request_id: call for call in history.calls}
    for evacuation in history.evacuations:
        in_force_s = evacuation.from_s + EVACUATION_BOUND_S + SLACK_S
        for replica_id, requests in history.received.items():
            if history.data_centres.get(replica_id) != evacuation.data_centre:
                continue
            for request in requests:
                call = sent.get(request.request_id)
                if call is None or not (
                    in_force_s < request.arrived_s < evacuation.to_s
                ):
                    continue
                # The evacuation may be much older than the request, so only
                # faults shortly before the request matter.
                from_s = request.arrived_s - UNDISTURBED_S
                if history.is_undisturbed(
                    call.router, from_s, request.arrived_s
                ):
                    yield f"{call.request_id} reached an evacuated {replica_id}"


def max_in_one_second(moments_s: Iterable[float]) -> int:
    """Returns the largest number of moments within one second."""
    return max_within(moments_s, 1.0)


def max_within(moments_s: Iterable[float], span_s: float) -> int:
    """Returns the largest number of moments within a span of this length."""
    known_s = sorted(moments_s)
    worst = first = 0
    for last, moment_s in enumerate(known_s):
        while moment_s - known_s[first] >= span_s:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def rate_limit_bound(per_s: float) -> float:
    """Returns the most requests that a stated limit allows within its span."""
    return RATE_LIMIT_OVERRUN * RATE_LIMIT_SPAN_S * per_s + RATE_LIMIT_ALLOWANCE


def _cold_replicas(history: History) -> Iterator[str]:
    for cold in history.cold:
        most = max_in_one_second(
            request.arrived_s
            for request in history.received.get(cold.replica_id, ())
            if cold.from_s <= request.arrived_s < cold.to_s
        )
        if most > MAX_COLD_IN_ONE_SECOND:
            yield f"cold {cold.replica_id} got {most} requests in one second"


def _requests_cut_by_stops(history: History) -> Iterator[str]:
    stops = [fault for fault in history.injected_faults if fault.is_stop]
    others = [fault for fault in history.injected_faults if not fault.is_stop]
    for call in history.calls:
        if call.status and call.complete:
            continue
        if call.request_id in history.broken:
            continue
        stop = _stop_around(call, stops)
        if stop is None:
            continue
        alone = dataclasses.replace(history, injected_faults=others)
        if alone.is_undisturbed(call.router, call.sent_s, call.ended_s):
            yield f"{call.request_id} was cut by a graceful stop"


def _stop_around(
    call: platform_checks.ObservedCall, stops: Iterable[InjectedFault]
) -> InjectedFault | None:
    """Returns the stop during which a request that was sent before ended."""
    for stop in stops:
        if stop.router != _name(call.router):
            continue
        # A request sent after the stop began may be refused.
        if call.sent_s < stop.from_s and call.ended_s >= stop.from_s:
            return stop
    return None


def _retry_budget(history: History) -> Iterator[str]:
    arrived = sum(len(requests) for requests in history.received.values())
    distinct = len(
        {r.request_id for rs in history.received.values() for r in rs}
    )
    if arrived - distinct > RETRY_RATIO * distinct + RETRY_ALLOWANCE:
        yield f"{arrived} arrivals of {distinct} requests"


def _crashing_requests(history: History) -> Iterator[str]:
    crashes = [
        crash
        for crash in history.crashes
        if crash.body == platform_checks.CRASHING_BODY
    ]
    if len(crashes) < CRASHED_REPLICAS:
        return
    bound_s = crashes[CRASHED_REPLICAS - 1].at_s + UNDISTURBED_S
    sent = {call.request_id: call for call in history.calls}
    others = [t for t in history.injected_faults if t.kind != CRASHING_REQUEST]
    alone = dataclasses.replace(history, injected_faults=others)
    late = 0
    for request in _arrivals(history):
        call = sent.get(request.request_id)
        if request.body != platform_checks.CRASHING_BODY or call is None:
            continue
        is_late = request.arrived_s > bound_s
        late += is_late and alone.is_undisturbed(
            call.router, request.arrived_s, request.arrived_s
        )
    if late > MAX_CRASHING_RETRIES:
        yield f"a request that crashed three replicas was sent {late} times"


def _arrivals(history: History) -> Iterator[users_replica.ReceivedRequest]:
    for requests in history.received.values():
        yield from requests


def _slow_readers(history: History) -> Iterator[str]:
    """Long answers of callers that read slowly, but never stop reading.

    Faults of the router or the replicas may cut an answer, and so may a crash
    of a replica, if the retry budget is spent; faults of the store excuse
    nobody.
    """
    excusing = [
        fault
        for fault in history.injected_faults
        if fault.router != ALL_ROUTERS or "replica" in fault.kind
    ]
    alone = dataclasses.replace(history, injected_faults=excusing)
    for call in history.calls:
        if call.sent_body != platform_checks.LONG_BODY or call.status != 200:
            continue
        if call.complete or call.request_id in history.broken:
            continue
        if any(
            call.sent_s <= crash.at_s <= call.ended_s + SLACK_S
            for crash in history.crashes
        ):
            continue
        if alone.is_undisturbed(call.router, call.sent_s, call.ended_s):
            yield (
                f"{call.request_id}, read slowly, was cut after"
                f" {len(call.body)} bytes"
            )


def _exposure(history: History) -> Iterator[str]:
    if history.ordered_at_s is None:
        return
    since = sum(call.sent_s >= history.ordered_at_s for call in history.calls)
    bound = EXPOSURE_SHARE * since + EXPOSURE_ALLOWANCE
    if history.bad_runs > bound:
        yield f"the bad version ran {history.bad_runs} of {since} requests"
    if history.final_state == "completed":
        yield "the bad version was completed"


def _name(router: str) -> str:
    """Returns a router's name, without the number of its start."""
    return router.partition("#")[0]


_CHECKS = (
    _changed_requests,
    _readmitted_keys,
    _requests_cut_by_stops,
    _retry_budget,
    _exposure,
    _crashing_requests,
    _cold_replicas,
)
_CHECKS_OF_BOUNDS = (
    _cut_off_routers,
    _removed_keys,
    _drained_replicas,
    _evacuated_replicas,
    _slow_readers,
)
