"""What must hold at every moment of a soak, from callers and replicas alone.

Bounds in time hold for routers that had no trouble of their own, nor the
store, for a while before. Whatever holds without a bound is judged always.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica

# The users' bounds: for a configuration and a leaving replica to be in force,
# and for how long a router has to be without trouble before they hold.
IN_FORCE_S = 2.0
DRAINED_S = 2.0
CONTACT_S = 3.0
# What a caller's and the soak's own clocks may differ by in a busy process.
SLACK_S = 0.5
RETRY_RATIO = 0.9
RETRY_ALLOWANCE = 54
EXPOSURE_SHARE = 0.15
EXPOSURE_ALLOWANCE = 30
EVACUATED_S = 5.0
# What a cold replica of the soak's service bears, and the bound that follows
# from its routers' settings.
COLD_PER_S = 6.0
MOST_COLD_IN_ONE_SECOND = COLD_PER_S * 1.5 + 5.0
ALL_ROUTERS = ""
# The users' bound on sends of a request that has ended so many replicas.
CRASHED_REPLICAS = 3
CRASHING_RETRIES = 3
# Disturbs everybody else, and not what is known of the request itself.
CRASHING_COPY = "copy of a crashing request"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Trouble:
    """Something that was done to the fleet.

    Attributes:
        router: Whose trouble it is; empty for all.
        is_stop: A graceful stop, which may cut no request.
    """

    kind: str
    router: str
    from_s: float
    to_s: float
    is_stop: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class KeyRemoval:
    """A key was taken away and, perhaps, given back."""

    key: str
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Evacuation:
    """A data centre was emptied, and taken back."""

    data_centre: str
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ColdTime:
    """When a replica was cold."""

    replica_id: str
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class History:
    """All that was seen of a soak.

    Attributes:
        seen: What reached replicas, by replica id.
        broken: Ids of requests whose answer a replica broke off.
        given_up: Ids of requests whose caller did not wait for the end.
        left_at_s: When each leaving replica's word was accepted.
        crashes: Replicas that ended under a request, in order.
        bad_runs: Requests that the bad version ran.
        evacuations: What the operator emptied.
        cold: When replicas were cold.
        data_centres: Of replicas, by their ids.
        order_s: When the bad version was ordered; None if none was.
    """

    calls: list[platform_checks.CallSeen]
    troubles: list[Trouble]
    removals: list[KeyRemoval]
    seen: dict[str, list[users_replica.ReceivedRequest]]
    runs: dict[str, int]
    broken: set[str]
    given_up: set[str]
    left_at_s: dict[str, float]
    stop_statuses: list[int]
    crashes: list[platform_trial.ReplicaCrash] = dataclasses.field(
        default_factory=list
    )
    bad_runs: int = 0
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    cold: list[ColdTime] = dataclasses.field(default_factory=list)
    data_centres: dict[str, str] = dataclasses.field(default_factory=dict)
    order_s: float | None = None
    final_state: str = ""

    def is_calm(self, router: str, from_s: float, to_s: float) -> bool:
        """Tells whether a router had no trouble from long enough before."""
        return not any(
            trouble.router in (ALL_ROUTERS, _name(router))
            and trouble.from_s <= to_s
            and trouble.to_s >= from_s - CONTACT_S
            for trouble in self.troubles
        )


def violations(history: History, *, with_bounds: bool = True) -> list[str]:
    """Returns everything that did not hold.

    Args:
        history: What was seen.
        with_bounds: Judge bounds in time too. On a machine that is busy with
            other work a router may be late without being wrong.
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
    for requests in history.seen.values():
        for request in requests:
            call = sent.get(request.request_id)
            if request.request_id in history.given_up:
                continue
            if call is None:
                sent_line = f"{request.method} {request.target}"
                yield f"nobody sent {request.request_id!r}: {sent_line}"
            elif request.target != f"/{call.kind}/x" or (
                request.body != call.sent_body
            ):
                yield f"{call.request_id} reached a replica changed"
            elif "authorization" in request.headers:
                yield f"{call.request_id}'s key was passed on"
            elif request.headers.get(headers.TEAM.lower()) != "team":
                yield f"{call.request_id} came without its team"


def _removed_keys(history: History) -> Iterator[str]:
    for call, removal in _calls_with_removed_keys(history):
        in_force_s = removal.from_s + IN_FORCE_S + SLACK_S
        let_in = call.status == 200 or history.runs.get(call.request_id)
        if not let_in or call.sent_s <= in_force_s:
            continue
        if history.is_calm(call.router, removal.from_s, call.sent_s):
            yield f"{call.request_id} was let in by a removed key"


def _keys_that_came_back(history: History) -> Iterator[str]:
    """A router that refused a key once must not let it in again."""
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
            yield f"{call.request_id} was let in after the key's refusal"


def _calls_with_removed_keys(
    history: History,
) -> Iterator[tuple[platform_checks.CallSeen, KeyRemoval]]:
    for removal in history.removals:
        # Until a while before it was given back: the news may be faster than
        # the note of it.
        end_s = removal.to_s - SLACK_S
        for call in history.calls:
            if call.key != removal.key:
                continue
            if removal.from_s < call.sent_s and call.ended_s < end_s:
                yield call, removal


def _drained_replicas(history: History) -> Iterator[str]:
    sent = {call.request_id: call for call in history.calls}
    for replica_id, left_s in history.left_at_s.items():
        bound_s = left_s + DRAINED_S + SLACK_S
        for request in history.seen.get(replica_id, ()):
            call = sent.get(request.request_id)
            if call is None or call.sent_s <= bound_s:
                continue
            if history.is_calm(call.router, left_s, request.arrived_s):
                yield f"{call.request_id} reached {replica_id}, which had left"


def _evacuated_replicas(history: History) -> Iterator[str]:
    sent = {call.request_id: call for call in history.calls}
    for evacuation in history.evacuations:
        in_force_s = evacuation.from_s + EVACUATED_S + SLACK_S
        for replica_id, requests in history.seen.items():
            if history.data_centres.get(replica_id) != evacuation.data_centre:
                continue
            for request in requests:
                call = sent.get(request.request_id)
                if call is None or not (
                    in_force_s < request.arrived_s < evacuation.to_s
                ):
                    continue
                # What the router sends it may have been told of long before.
                from_s = request.arrived_s - CONTACT_S
                if history.is_calm(call.router, from_s, request.arrived_s):
                    yield f"{call.request_id} reached an evacuated {replica_id}"


def most_in_one_second(moments_s: Iterable[float]) -> int:
    """Returns the most moments that lie within one second."""
    known_s = list(moments_s)
    return max(
        (sum(begin <= at < begin + 1.0 for at in known_s) for begin in known_s),
        default=0,
    )


def _cold_replicas(history: History) -> Iterator[str]:
    for cold in history.cold:
        most = most_in_one_second(
            request.arrived_s
            for request in history.seen.get(cold.replica_id, ())
            if cold.from_s <= request.arrived_s < cold.to_s
        )
        if most > MOST_COLD_IN_ONE_SECOND:
            yield f"cold {cold.replica_id} got {most} requests in one second"


def _cut_by_a_stop(history: History) -> Iterator[str]:
    stops = [trouble for trouble in history.troubles if trouble.is_stop]
    others = [trouble for trouble in history.troubles if not trouble.is_stop]
    for call in history.calls:
        if call.status and call.complete:
            continue
        if call.request_id in history.broken:
            continue
        stop = _stop_around(call, stops)
        if stop is None:
            continue
        alone = dataclasses.replace(history, troubles=others)
        if alone.is_calm(call.router, call.sent_s, call.ended_s):
            yield f"{call.request_id} was cut by a graceful stop"


def _stop_around(
    call: platform_checks.CallSeen, stops: Iterable[Trouble]
) -> Trouble | None:
    """Returns the stop during which a request that was taken in ended."""
    for stop in stops:
        if stop.router != _name(call.router):
            continue
        # Connections that were not yet taken in when the door closed are
        # refused, and promise nothing.
        if call.sent_s < stop.from_s and call.ended_s >= stop.from_s:
            return stop
    return None


def _budget(history: History) -> Iterator[str]:
    arrived = sum(len(requests) for requests in history.seen.values())
    distinct = len({r.request_id for rs in history.seen.values() for r in rs})
    if arrived - distinct > RETRY_RATIO * distinct + RETRY_ALLOWANCE:
        yield f"{arrived} arrivals of {distinct} requests"


def _crashing_requests(history: History) -> Iterator[str]:
    if len(history.crashes) < CRASHED_REPLICAS:
        return
    bound_s = history.crashes[CRASHED_REPLICAS - 1].at_s + CONTACT_S
    sent = {call.request_id: call for call in history.calls}
    others = [t for t in history.troubles if t.kind != CRASHING_COPY]
    alone = dataclasses.replace(history, troubles=others)
    late = 0
    for request in _arrivals(history):
        call = sent.get(request.request_id)
        if request.body != platform_checks.CRASHING_BODY or call is None:
            continue
        is_late = request.arrived_s > bound_s
        late += is_late and alone.is_calm(
            call.router, request.arrived_s, request.arrived_s
        )
    if late > CRASHING_RETRIES:
        yield f"a request that had ended three replicas was sent {late} times"


def _arrivals(history: History) -> Iterator[users_replica.ReceivedRequest]:
    for requests in history.seen.values():
        yield from requests


def _exposure(history: History) -> Iterator[str]:
    if history.order_s is None:
        return
    since = sum(call.sent_s >= history.order_s for call in history.calls)
    bound = EXPOSURE_SHARE * since + EXPOSURE_ALLOWANCE
    if history.bad_runs > bound:
        yield f"the bad version ran {history.bad_runs} of {since} requests"
    if history.final_state == "completed":
        yield "the bad version was completed"


def _name(router: str) -> str:
    """Returns a router's name without the number of its start."""
    return router.partition("#")[0]


_CHECKS = (
    _changed_requests,
    _keys_that_came_back,
    _cut_by_a_stop,
    _budget,
    _exposure,
    _crashing_requests,
    _cold_replicas,
)
_CHECKS_OF_BOUNDS = (_removed_keys, _drained_replicas, _evacuated_replicas)
