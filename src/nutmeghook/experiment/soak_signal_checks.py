"""Checks of a soak on what replicas ask in their answers.

A router's own faults excuse it, and faults of the links to replicas, which
delay arrivals. Faults of the store and crashes of replicas excuse nobody.
"""

from collections.abc import Iterator
import dataclasses

from nutmeghook.experiment import soak_checks

# The users' bounds on requests count from so long after a router was told; a
# replica that asked for rest gets at most so many in that time.
TOLD_S = 0.5
MAX_IN_REST = 2
_REPLICA_LINK = "link to replica"


def violations(history: soak_checks.History) -> list[str]:
    """Returns all violations."""
    excusing = [
        fault
        for fault in history.injected_faults
        if fault.router != soak_checks.ALL_ROUTERS
        or fault.kind.startswith(_REPLICA_LINK)
    ]
    history = dataclasses.replace(history, injected_faults=excusing)
    return [
        *_stated_limits(history),
        *_resting_replicas(history),
        *_leaving_replicas(history),
        *_brittle_replicas(history),
    ]


def _stated_limits(history: soak_checks.History) -> Iterator[str]:
    """Requests of routers that were told, from shortly after on."""
    sent = {call.request_id: call for call in history.calls}
    for limit in history.stated_limits:
        told_s: dict[str, float] = {}
        counted = []
        for request in history.received.get(limit.replica_id, ()):
            call = sent.get(request.request_id)
            if call is None or not (
                limit.from_s <= request.arrived_s < limit.to_s
            ):
                continue
            if call.status and call.request_id not in history.broken:
                told_s.setdefault(call.router, call.ended_s)
            known_s = told_s.get(call.router, float("inf"))
            if request.arrived_s >= known_s + TOLD_S and (
                history.is_undisturbed(
                    call.router, request.arrived_s, request.arrived_s
                )
            ):
                counted.append(request.arrived_s)
        most = soak_checks.max_within(counted, soak_checks.RATE_LIMIT_SPAN_S)
        if most > soak_checks.rate_limit_bound(limit.per_s):
            yield (
                f"{limit.replica_id}, which takes {limit.per_s} a second, got"
                f" {most} requests in {soak_checks.RATE_LIMIT_SPAN_S} s"
            )


def _brittle_replicas(history: soak_checks.History) -> Iterator[str]:
    """Falls of which most refused requests came from undisturbed routers."""
    sent = {call.request_id: call for call in history.calls}
    for brittle in history.brittle:
        counted = 0
        for refused_ids in brittle.falls:
            calls = [sent[one] for one in refused_ids if one in sent]
            undisturbed = sum(
                history.is_undisturbed(call.router, call.sent_s, call.ended_s)
                for call in calls
            )
            counted += undisturbed > len(refused_ids) / 2
        most = (
            soak_checks.BRITTLE_FALLS
            + soak_checks.BRITTLE_FALLS_SHARE * brittle.replicas
        )
        if counted > most:
            yield (
                f"{brittle.replicas} brittle replicas fell over {counted} times"
                f" from {brittle.from_s:.3f} to {brittle.to_s:.3f}"
            )


def _resting_replicas(history: soak_checks.History) -> Iterator[str]:
    """Requests of a router during the rest that it was asked for."""
    sent = {call.request_id: call for call in history.calls}
    arrivals: dict[tuple[str, str], list[float]] = {}
    for replica_id, requests in history.received.items():
        for request in requests:
            call = sent.get(request.request_id)
            if call is not None:
                arrivals.setdefault((replica_id, call.router), []).append(
                    request.arrived_s
                )
    for refusal in history.refusals:
        call = sent.get(refusal.request_id)
        if call is None:
            continue
        from_s = refusal.at_s + TOLD_S
        to_s = refusal.at_s + refusal.rest_s
        found = [
            arrived_s
            for arrived_s in arrivals[refusal.replica_id, call.router]
            if from_s <= arrived_s < to_s
        ]
        if len(found) > MAX_IN_REST and history.is_undisturbed(
            call.router, refusal.at_s, to_s
        ):
            yield (
                f"{refusal.replica_id} had asked {call.router} for"
                f" {refusal.rest_s} s of rest and got {len(found)} requests"
            )


def _leaving_replicas(
    history: soak_checks.History,
) -> Iterator[str]:
    """Requests of a router long after an answer has told it."""
    sent = {call.request_id: call for call in history.calls}
    for replica_id, said_s in history.said_leaving_since_s.items():
        told_s: dict[str, float] = {}
        for request in history.received.get(replica_id, ()):
            call = sent.get(request.request_id)
            if call is None or request.arrived_s < said_s:
                continue
            known_s = told_s.get(call.router, float("inf"))
            if (
                call.sent_s
                > known_s + soak_checks.DRAIN_BOUND_S + soak_checks.SLACK_S
                and (
                    history.is_undisturbed(
                        call.router, known_s, request.arrived_s
                    )
                )
            ):
                yield (
                    f"{call.request_id} reached {replica_id}, which had told"
                    f" {call.router} that it leaves"
                )
            if call.status and call.request_id not in history.broken:
                told_s.setdefault(call.router, call.ended_s)
