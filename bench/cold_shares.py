"""Policies for sharing the request rate of a cold replica."""

from bench import _limited_shares
from bench import report
from bench.models import limited_fleet
from nutmeghook.internal.replicas import send_shares

_PER_S, _OVERRUN, _ALLOWANCE = 18.0, 1.5, 5.0


def run() -> list[report.Line]:
    """Returns the lines of all policies, sizes and scenarios."""
    limit = limited_fleet.Limit(
        per_s=_PER_S,
        span_s=1.0,
        bound=_PER_S * _OVERRUN + _ALLOWANCE,
        share=send_shares.cold_share(
            per_s=_PER_S, overrun=_OVERRUN, allowance=_ALLOWANCE
        ),
    )
    return _limited_shares.lines("cold_shares", limit)
