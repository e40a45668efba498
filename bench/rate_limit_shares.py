"""Policies for sharing the rate limit that a replica states."""

from bench import _limited_shares
from bench import report
from bench.models import limited_fleet
from nutmeghook.experiment import soak_checks
from nutmeghook.internal.replicas import send_shares

# Below one a second, as in a replica's need, and above a usual load.
RATES_PER_S = (0.5, 2.5, 20.0)


def run() -> list[report.Line]:
    """Returns the lines of all rates, policies, sizes and scenarios."""
    found = []
    for per_s in RATES_PER_S:
        limit = limited_fleet.Limit(
            per_s=per_s,
            span_s=soak_checks.RATE_LIMIT_SPAN_S,
            bound=soak_checks.rate_limit_bound(per_s),
            share=send_shares.rate_limit_share(per_s),
        )
        found += _limited_shares.lines(f"rate_limit_shares.{per_s:g}", limit)
    return found
