"""Rate of refused callers' retries in a store outage, by the product's rule."""

import dataclasses
import functools
import random

from bench.capacity import planned
from bench.models import simulation
from nutmeghook.internal.ledger import settings as ledger_settings
from nutmeghook.internal.ledger import store_health
from nutmeghook.internal.observe import events as events_module

# A caller gives up at a template's usual deadline.
CALLER_TIMEOUT_S = 30.0
# Simulates 1 in 100 of the planned peak's callers; the rule does not depend on
# their number.
_SCALE = 100
_OUTAGE_S = 300
_LATE_S = 100


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RetryRates:
    """Retries per second, in addition to new requests.

    Attributes:
        peak: In the worst second of the outage.
        late: On average, once the outage has lasted for minutes.
    """

    peak: float
    late: float


@functools.cache
def retry_rates() -> RetryRates:
    """Simulates an outage: callers retry when told to, up to their deadline."""
    clock = simulation.Simulation()
    health = store_health.StoreHealth(
        name="table",
        clock=clock,
        events=events_module.EventRing(clock=clock, capacity_events=16),
        rng=random.Random(1),
        failures_to_out=1,
        probe=_never,
        probe_every=ledger_settings.LedgerSettings().probe_every,
    )
    health.note_failure()
    retries_by_second = [0] * _OUTAGE_S

    def refuse(deadline_s: float) -> None:
        wait_s = health.suggested_retry_after().total_seconds()
        if clock.now_s + wait_s <= deadline_s:
            clock.call_at(clock.now_s + wait_s, lambda: retry(deadline_s))

    def retry(deadline_s: float) -> None:
        retries_by_second[int(clock.now_s)] += 1
        refuse(deadline_s)

    refused_per_s = planned.REQUESTS_PER_S * planned.KEYED_SHARE / _SCALE
    clock.call_every(
        1 / refused_per_s,
        lambda: refuse(clock.now_s + CALLER_TIMEOUT_S),
        first_s=0.0,
    )
    clock.run_until(_OUTAGE_S - 1e-6)
    late_counts = retries_by_second[_LATE_S:]
    return RetryRates(
        peak=_SCALE * max(retries_by_second),
        late=_SCALE * sum(late_counts) / len(late_counts),
    )


async def _never() -> None:
    """Serves as the probe; the simulation ends before the outage does."""
