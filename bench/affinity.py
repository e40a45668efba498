"""Prefix cache hits, and sessions that move when a replica is removed."""

import collections
import dataclasses
import datetime
import random

from bench import report
from bench.models import fleet
from bench.models import fleet_parts
from bench.models import replicas
from bench.models import routers
from bench.models import simulation
from nutmeghook.internal.routing import affinity
from nutmeghook.internal.routing import backends

REPLICAS = 50
SESSIONS = 20_000
SEEDS = (1, 2, 3)
# Prefixes that a replica's cache holds; the least recently used is evicted.
CACHE_PREFIXES = 40
PREFIXES = 400
# Popularity of the n-th prefix is 1 / n ** this.
SKEW = 0.8
REQUESTS = 12_000


class PrefixCache:
    """The prefixes that a replica holds; counts hits."""

    __slots__ = ("_prefixes", "hits")

    def __init__(self):
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.hits = 0

    def __contains__(self, prefix: str) -> bool:
        return prefix in self._prefixes

    def use(self, prefix: str) -> None:
        """Records a request with the prefix."""
        if prefix in self._prefixes:
            self.hits += 1
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > CACHE_PREFIXES:
            self._prefixes.popitem(last=False)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CacheRun:
    """Results of a policy."""

    hit_share: float
    fullest_load_share: float


def run() -> list[report.Line]:
    """Measures hit shares, the maximum load, and moved sessions."""
    product = [_run_caches(seed, "product") for seed in SEEDS]
    clairvoyant = [_run_caches(seed, "clairvoyant") for seed in SEEDS]
    no_affinity = [_run_caches(seed, "unaware") for seed in SEEDS]
    moved = [_moved_share(seed) for seed in SEEDS]
    return [
        _share("affinity.prefix_hit_share", _mean_hits(product)),
        _share(
            "affinity.prefix_hit_share.clairvoyant", _mean_hits(clairvoyant)
        ),
        _share(
            "affinity.prefix_hit_share.no_affinity", _mean_hits(no_affinity)
        ),
        report.Line(
            name="affinity.prefix_hit_vs_clairvoyant",
            value=round(_mean_hits(product) / _mean_hits(clairvoyant), 3),
            unit="ratio",
            bound=0.8,
            better=report.Better.HIGHER,
        ),
        report.Line(
            name="affinity.fullest_replica_load_share",
            value=round(max(r.fullest_load_share for r in product), 3),
            unit="share of batch",
            bound=1.5,
        ),
        report.Line(
            name="affinity.sessions_moved_share",
            value=round(max(moved), 4),
            unit="share, worst seed",
            bound=0.03,
        ),
    ]


def _share(name: str, value: float) -> report.Line:
    return report.Line(
        name=name,
        value=round(value, 3),
        unit="share",
        better=report.Better.HIGHER,
    )


def _mean_hits(runs: list[CacheRun]) -> float:
    return sum(r.hit_share for r in runs) / len(runs)


def _moved_share(seed: int) -> float:
    """Returns the share of sessions that move when a replica is removed.

    One of 50 replicas is removed at random; the ideal share is 0.02.
    """
    ring = affinity.AffinityRing()
    ring.add_all(fleet_parts.address_of(n) for n in range(REPLICAS))
    before = [_owner(ring, n) for n in range(SESSIONS)]
    removed = fleet_parts.address_of(random.Random(seed).randrange(REPLICAS))
    ring.remove(removed)
    after = [_owner(ring, n) for n in range(SESSIONS)]
    moved = sum(a != b for a, b in zip(before, after, strict=True))
    return moved / SESSIONS


def _owner(ring: affinity.AffinityRing, session: int) -> str:
    return next(ring.owners(f"session-{session}", limit=1))


def _run_caches(seed: int, policy: str) -> CacheRun:
    """Runs 12 replicas with prefix caches at 70% load under one policy.

    A hit saves no work, so that the load is the same for all policies and
    their hit shares are comparable.
    """
    rng = random.Random(f"prefixes {seed}")
    clock = simulation.Simulation()
    shape = fleet_parts.Shape(routers=1, replicas=12, capacity=16, bursts=False)
    router = routers.ProductRouter(
        number=0, shape=shape, clock=clock, rng=random.Random(seed)
    )
    engines = [
        replicas.Replica(simulation=clock, capacity=shape.capacity)
        for _ in range(shape.replicas)
    ]
    caches = [PrefixCache() for _ in engines]
    weights = [1 / (n + 1) ** SKEW for n in range(PREFIXES)]
    work_s = fleet.MEAN_WORK_S
    gap_s = work_s / (0.7 * shape.replicas * shape.capacity)
    for number in range(shape.replicas):
        router.receive_report(
            number, fleet_parts.report_of(engines[number]), 0.0
        )
    numbers = {fleet_parts.address_of(n): n for n in range(shape.replicas)}
    max_load_share = 0.0
    for _ in range(REQUESTS):
        clock.run_until(clock.now_s + rng.expovariate(1 / gap_s))
        prefix = f"prefix-{rng.choices(range(PREFIXES), weights)[0]}"
        if policy == "clairvoyant":
            chosen = _clairvoyant(engines, caches, prefix)
            backend = router.directory.find(fleet_parts.address_of(chosen))
        else:
            key = prefix if policy == "product" else ""
            backend = router.chooser.choose(
                backends.BackendCriteria(
                    model_version=fleet_parts.VERSION, affinity_key=key
                )
            )
            chosen = numbers[backend.address]
        caches[chosen].use(prefix)
        _send(router, backend, engines[chosen], clock, work_s)
        max_load_share = max(
            max_load_share, engines[chosen].load / shape.capacity
        )
    hits = sum(cache.hits for cache in caches)
    return CacheRun(
        hit_share=hits / REQUESTS, fullest_load_share=max_load_share
    )


def _clairvoyant(
    engines: list[replicas.Replica], caches: list[PrefixCache], prefix: str
) -> int:
    """Returns the least loaded with the prefix and a free slot, or of all."""
    numbers = range(len(engines))
    with_room = [
        n
        for n in numbers
        if prefix in caches[n] and engines[n].load < engines[n].capacity
    ]
    return min(with_room or numbers, key=lambda n: engines[n].load)


def _send(
    router: routers.ProductRouter,
    backend: backends.Backend,
    replica: replicas.Replica,
    clock: simulation.Simulation,
    work_s: float,
) -> None:
    router.chooser.started(backend)

    def done() -> None:
        router.chooser.finished(
            backend,
            outcome=backends.AttemptOutcome.ANSWERED,
            duration=datetime.timedelta(seconds=work_s),
        )

    replica.submit(
        replicas.Job(arrived_s=clock.now_s, work_s=work_s, done=done)
    )
