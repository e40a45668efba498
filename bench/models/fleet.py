"""Many routers in front of many replicas, with delayed load reports."""

from collections.abc import Callable
import datetime
import random

from bench.models import fleet_parts
from bench.models import replicas
from bench.models import routers as routers_module
from bench.models import simulation
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import poller

# By then every replica has reported, as before an instance is ready.
TRAFFIC_STARTS_S = 8.0
# Tokens of an answer: lookups, checks and a few reviews. The mean is 214, from
# 1.8 million tokens and 8,400 requests a second.
TOKENS_OF_KIND = (90, 300, 1500)
SHARE_OF_KIND = (0.70, 0.25, 0.05)
TOKEN_S = 0.034
MEAN_WORK_S = TOKEN_S * sum(
    tokens * share
    for tokens, share in zip(TOKENS_OF_KIND, SHARE_OF_KIND, strict=True)
)


class Fleet(routers_module.RouterEnvironment):
    """Runs routers and replicas on a virtual clock and records the waits.

    Attributes:
        waits_s: Time that each request waited to join a batch.
        imbalance: The largest load divided by the mean load, for each sample.
    """

    def __init__(
        self,
        *,
        shape: fleet_parts.Shape,
        seed: int,
        build_router: Callable[["Fleet", int], routers_module.Router],
    ):
        self.shape = shape
        self.simulation = simulation.Simulation()
        self.rng = random.Random(seed)
        # Separate, so that every policy receives the same requests.
        self._traffic_rng = random.Random(f"traffic {seed}")
        self.replicas = [
            replicas.Replica(
                simulation=self.simulation, capacity=shape.capacity
            )
            for _ in range(shape.replicas)
        ]
        self.by_address = {
            fleet_parts.address_of(number): replica
            for number, replica in enumerate(self.replicas)
        }
        self.routers = [build_router(self, n) for n in range(shape.routers)]
        self.waits_s: list[float] = []
        self.imbalance: list[float] = []
        self._rate_factor = 1.0
        self._rate_per_s = (
            shape.load_share * shape.replicas * shape.capacity / MEAN_WORK_S
        )

    def run(self) -> None:
        """Runs for the shape's duration."""
        for router in self.routers:
            router.start(self)
        for number in range(self.shape.replicas):
            self._send_report(number)
            first_s = self.rng.random() * self._report_period_s()
            self.simulation.call_every(
                self._report_period_s(),
                lambda number=number: self._send_report(number),
                first_s=first_s,
            )
        if self.shape.bursts:
            self._switch_rate()
        self.simulation.call_every(0.5, self._sample, first_s=0.0)
        self.simulation.call_at(TRAFFIC_STARTS_S, self._start_request)
        self.simulation.run_until(self.shape.duration_s)

    def _report_period_s(self) -> float:
        """Returns the polling period of a report at this size."""
        polled = self.shape.replicas // self.shape.routers
        return poller.report_period(polled).total_seconds()

    def _send_report(self, number: int) -> None:
        replica = self.replicas[number]
        report = fleet_parts.report_of(replica)
        measured_s = self.simulation.now_s
        if measured_s >= self.shape.reports_stop_s:
            return

        def submit() -> None:
            for router in self.routers:
                router.receive_report(number, report, measured_s)

        self.simulation.call_at(measured_s + fleet_parts.REPORT_DELAY_S, submit)

    def _switch_rate(self) -> None:
        in_burst = self._rate_factor > 1.0
        self._rate_factor = 0.7 if in_burst else 1.6
        mean_s = 6.0 if in_burst else 3.0
        self.simulation.call_at(
            self.simulation.now_s + self._traffic_rng.expovariate(1 / mean_s),
            self._switch_rate,
        )

    def _sample(self) -> None:
        if self.simulation.now_s < self.shape.warm_up_s:
            return
        loads = [replica.load for replica in self.replicas]
        mean = sum(loads) / len(loads)
        self.imbalance.append(max(loads) / max(mean, 1.0))

    def _start_request(self) -> None:
        rng = self._traffic_rng
        now_s = self.simulation.now_s
        gap_s = rng.expovariate(self._rate_per_s * self._rate_factor)
        self.simulation.call_at(now_s + gap_s, self._start_request)
        chooser = rng.choice(self.routers).chooser
        kind_tokens = rng.choices(TOKENS_OF_KIND, SHARE_OF_KIND)[0]
        work_s = TOKEN_S * kind_tokens * rng.uniform(0.5, 1.5)
        backend = chooser.choose(
            backends.BackendCriteria(model_version=fleet_parts.VERSION)
        )
        chooser.started(backend)
        job = replicas.Job(arrived_s=now_s, work_s=work_s)
        job.done = lambda: self._finish_request(chooser, backend, job)
        self.by_address[backend.address].submit(job)

    def _finish_request(
        self,
        chooser: backends.BackendChooser,
        backend: backends.Backend,
        job: replicas.Job,
    ) -> None:
        chooser.finished(
            backend,
            outcome=backends.AttemptOutcome.ANSWERED,
            duration=datetime.timedelta(
                seconds=self.simulation.now_s - job.arrived_s
            ),
        )
        if job.arrived_s >= self.shape.warm_up_s:
            self.waits_s.append(job.waited_s)
