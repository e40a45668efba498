"""Checks of a soak on what replicas ask in their answers.

Like the other time bounds, they apply to routers without a fault.
"""

from collections.abc import Iterator

from nutmeghook.experiment import soak_checks

# The users' bounds on requests count from so long after a router was told.
TOLD_S = 0.5


def violations(history: soak_checks.History) -> list[str]:
    """Returns all violations."""
    return [
        *_stated_limits(history),
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
