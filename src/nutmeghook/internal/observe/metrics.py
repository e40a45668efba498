"""All metrics of an instance, with names and units in one place.

docs/METRICS.md is checked against `page()`.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import enum

import aioprometheus
from aioprometheus import collectors
import msgspec

PREFIX = "nutmeghook_"


class MetricKind(enum.Enum):
    """The Prometheus type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class MetricSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One metric's name, kind and meaning; the unit ends the name."""

    name: str
    kind: MetricKind
    meaning: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


_LATENCY_BUCKETS_S = (
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.39,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)

SPECS: tuple[MetricSpec, ...] = (
    MetricSpec(
        name="requests_total",
        kind=MetricKind.COUNTER,
        meaning="Requests that got their final answer, by result code.",
        labels=("team", "target", "code"),
    ),
    MetricSpec(
        name="first_token_seconds",
        kind=MetricKind.HISTOGRAM,
        meaning="From a request's arrival to its first token.",
        labels=("team", "template"),
        buckets=_LATENCY_BUCKETS_S,
    ),
    MetricSpec(
        name="answer_seconds",
        kind=MetricKind.HISTOGRAM,
        meaning="From a request's arrival to its last byte.",
        labels=("team", "target"),
        buckets=_LATENCY_BUCKETS_S,
    ),
    MetricSpec(
        name="attempts_total",
        kind=MetricKind.COUNTER,
        meaning="Attempts on backend servers, by how they ended.",
        labels=("outcome",),
    ),
    MetricSpec(
        name="attempts_repeated_total",
        kind=MetricKind.COUNTER,
        meaning="Attempts beyond a request's first: retries and hedges.",
        labels=("hedged",),
    ),
    MetricSpec(
        name="streams_resumed_total",
        kind=MetricKind.COUNTER,
        meaning="Cut streams taken up again on the same engine.",
    ),
    MetricSpec(
        name="chunks_dropped_total",
        kind=MetricKind.COUNTER,
        meaning="Late, crossed or duplicated chunks, kept from callers.",
    ),
    MetricSpec(
        name="output_tokens_total",
        kind=MetricKind.COUNTER,
        meaning="Tokens of billed answers.",
    ),
    MetricSpec(
        name="cost_micros_total",
        kind=MetricKind.COUNTER,
        meaning="Price of billed answers, in millionths of a euro.",
    ),
    MetricSpec(
        name="spent_micros_total",
        kind=MetricKind.COUNTER,
        meaning="Cost of all attempts of billed requests, same unit.",
    ),
    MetricSpec(
        name="relayed_total",
        kind=MetricKind.COUNTER,
        meaning="Relayed requests that ended, by route and result code.",
        labels=("route", "code"),
    ),
    MetricSpec(
        name="relayed_seconds",
        kind=MetricKind.HISTOGRAM,
        meaning="From a relayed request's arrival to its end.",
        labels=("route",),
        buckets=_LATENCY_BUCKETS_S,
    ),
    MetricSpec(
        name="answers_cut_total",
        kind=MetricKind.COUNTER,
        meaning="Relayed answers that were begun and cut, by why.",
        labels=("route", "reason"),
    ),
    MetricSpec(
        name="cannot_end_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Relayed requests refused before they ran, since no replica is"
            " expected to end them in time."
        ),
        labels=("route",),
    ),
    MetricSpec(
        name="callers_not_reading_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Requests ended because their callers did not read, with memory"
            " short or the deadline past."
        ),
    ),
    MetricSpec(
        name="clients_closed_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Connections closed because of what their clients sent, or did not"
            " send or read, or to make room for others, by listener and reason."
        ),
        labels=("listener", "reason"),
    ),
    MetricSpec(
        name="slow_bodies_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Requests refused, and not run, because their bodies were not"
            " complete at their deadline or gave up their room to others."
        ),
    ),
    MetricSpec(
        name="no_memory_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Requests refused, and not run, because the memory for bodies and"
            " answers was used up."
        ),
    ),
    MetricSpec(
        name="held_bytes",
        kind=MetricKind.GAUGE,
        meaning=(
            "Bytes of bodies and answers held for callers and replicas; the"
            " bound is a quarter of the instance's memory."
        ),
    ),
    MetricSpec(
        name="client_connections",
        kind=MetricKind.GAUGE,
        meaning="Open connections of callers.",
        labels=("listener",),
    ),
    MetricSpec(
        name="client_held_bytes",
        kind=MetricKind.GAUGE,
        meaning=(
            "Bytes held for callers' connections before requests are handled;"
            " the bound is an eighth of the instance's memory."
        ),
        labels=("listener",),
    ),
    MetricSpec(
        name="attempts_left_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Attempts given up for a further one: their replicas were dark, and"
            " answered no attempt to connect, or only silent for too long."
        ),
        labels=("replica",),
    ),
    MetricSpec(
        name="connections_lost_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Connections lost in the middle of an exchange, by how the replica"
            " meets a new one: it accepts, refuses (its process ended), or is"
            " dark."
        ),
        labels=("replica",),
    ),
    MetricSpec(
        name="liveness_probes_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Liveness probes of replicas, by how the replica responded to a"
            " connection and whether it answered."
        ),
        labels=("replica", "answered"),
    ),
    MetricSpec(
        name="lost_paths",
        kind=MetricKind.GAUGE,
        meaning="Replicas' addresses that accept no connections from here.",
    ),
    MetricSpec(
        name="bypassed_paths",
        kind=MetricKind.GAUGE,
        meaning="Replicas' addresses that are reached through peers only.",
    ),
    MetricSpec(
        name="tunnels_carried",
        kind=MetricKind.GAUGE,
        meaning="Connections to replicas that this instance carries for peers.",
    ),
    MetricSpec(
        name="cut_off",
        kind=MetricKind.GAUGE,
        meaning="1 while this instance seems to reach no replica by itself.",
    ),
    MetricSpec(
        name="quarantined_requests",
        kind=MetricKind.GAUGE,
        meaning="Requests sent to no replica, since replicas end under them.",
    ),
    MetricSpec(
        name="quarantined_parts",
        kind=MetricKind.GAUGE,
        meaning="Prompt parts whose requests are sent to no replica.",
    ),
    MetricSpec(
        name="evacuated_data_centres",
        kind=MetricKind.GAUGE,
        meaning="Data centres to which nothing is sent, by the operator.",
    ),
    MetricSpec(
        name="cold_replicas",
        kind=MetricKind.GAUGE,
        meaning=(
            "Replicas that bear few requests, since they have just started, by"
            " whether this instance may send to them now."
        ),
        labels=("open",),
    ),
    MetricSpec(
        name="limited_replicas",
        kind=MetricKind.GAUGE,
        meaning=(
            "Replicas that state a rate limit, by whether this instance may"
            " send to them now."
        ),
        labels=("open",),
    ),
    MetricSpec(
        name="brittle_replicas",
        kind=MetricKind.GAUGE,
        meaning=(
            "Replicas that fall over if they turn many requests away, by their"
            " own answers or those of others of their service."
        ),
    ),
    MetricSpec(
        name="slow_replicas",
        kind=MetricKind.GAUGE,
        meaning=(
            "Replicas believed to take over 1.5 times as long as an average one"
            " of their version, by the answers to all instances."
        ),
    ),
    MetricSpec(
        name="requests_held_back_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Requests rejected while replicas asked for fewer, by what they"
            " asked for."
        ),
        labels=("signal",),
    ),
    MetricSpec(
        name="no_room_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Requests refused, not run, since their service was short of"
            " capacity and their team asked for more than its share."
        ),
        labels=("team",),
    ),
    MetricSpec(
        name="configuration_version",
        kind=MetricKind.GAUGE,
        meaning="Version of the configuration in force here; 0 for none.",
    ),
    MetricSpec(
        name="configuration_proof_age_seconds",
        kind=MetricKind.GAUGE,
        meaning=(
            "Time since the store last confirmed, to this instance or a peer,"
            " that it has no newer configuration; negative before the first"
            " time."
        ),
    ),
    MetricSpec(
        name="store_epoch",
        kind=MetricKind.GAUGE,
        meaning=(
            "The store's epoch, which rises each time it is restored from an"
            " older copy."
        ),
    ),
    MetricSpec(
        name="surplus_answers_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Answers of replicas that belong to no request under way, by how"
            " they were found: on an idle connection, behind the answer, or"
            " instead of it with another request's id or none."
        ),
        labels=("found",),
    ),
    MetricSpec(
        name="unreadable_values_total",
        kind=MetricKind.COUNTER,
        meaning=(
            "Values of headers and rows that can't be read and were ignored,"
            " by field."
        ),
        labels=("field",),
    ),
    MetricSpec(
        name="peer_unreadable_datagrams",
        kind=MetricKind.GAUGE,
        meaning=(
            "Datagrams to the inner address that can't be read, or were not"
            " sealed by a peer, since the start."
        ),
    ),
    MetricSpec(
        name="start_seconds",
        kind=MetricKind.GAUGE,
        meaning=(
            "From when the listener opened until the instance had what it needs"
            " to serve, by condition."
        ),
        labels=("condition",),
    ),
    MetricSpec(
        name="start_processor_seconds",
        kind=MetricKind.GAUGE,
        meaning="Processor time of the process until it was ready.",
    ),
    MetricSpec(
        name="ratings_dropped_total",
        kind=MetricKind.COUNTER,
        meaning="Answers not handed in for rating: the queue was full.",
    ),
    MetricSpec(
        name="config_revision",
        kind=MetricKind.GAUGE,
        meaning="Revision of the configuration in force here.",
    ),
    MetricSpec(
        name="config_confirmed_age_seconds",
        kind=MetricKind.GAUGE,
        meaning="Time since that revision was known to be the newest.",
    ),
    MetricSpec(
        name="members",
        kind=MetricKind.GAUGE,
        meaning="Entry instances believed to be there, by health.",
        labels=("health",),
    ),
    MetricSpec(
        name="store_out",
        kind=MetricKind.GAUGE,
        meaning="1 while the table service is taken to be out.",
    ),
    MetricSpec(
        name="bills_waiting",
        kind=MetricKind.GAUGE,
        meaning="Objects with bills that wait for the table service.",
    ),
    MetricSpec(
        name="leases_held",
        kind=MetricKind.GAUGE,
        meaning="Ledger partitions that this instance writes.",
    ),
    MetricSpec(
        name="peer_sent_bytes",
        kind=MetricKind.GAUGE,
        meaning=(
            "Sent to other instances since the start, headers of datagrams"
            " included, by kind of message."
        ),
        labels=("kind",),
    ),
)


class Metrics:
    """The collectors of one instance, by name."""

    __slots__ = ("_by_name",)

    def __init__(self):
        self._by_name: dict[str, collectors.Collector] = {
            spec.name: _collector(spec) for spec in SPECS
        }

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""
        self._by_name[name].add(labels, amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        self._by_name[name].set(labels, value)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds one value to a histogram."""
        self._by_name[name].observe(labels, value)

    def render(self, accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the page in the Prometheus text format, and its headers.

        Metrics without a value are left out, and histograms come last: a
        scraper that keeps only the first 4,000 bytes of a page would otherwise
        get descriptions and buckets, but no count of how requests ended.

        Args:
            accepts: The request's Accept headers.
        """
        with_values = [c for c in self._by_name.values() if c.get_all()]
        counted = [c for c in with_values if not _is_histogram(c)]
        timed = [c for c in with_values if _is_histogram(c)]
        first, headers = aioprometheus.render(_registry(counted), accepts)
        second, _ = aioprometheus.render(_registry(timed), accepts)
        return first + second, headers


def _collector(spec: MetricSpec) -> collectors.Collector:
    name = PREFIX + spec.name
    # In the default registry a name can be used only once per process, which
    # a second instance in the process would need.
    registry = aioprometheus.Registry()
    if spec.kind is MetricKind.COUNTER:
        return aioprometheus.Counter(name, spec.meaning, registry=registry)
    if spec.kind is MetricKind.GAUGE:
        return aioprometheus.Gauge(name, spec.meaning, registry=registry)
    return aioprometheus.Histogram(
        name, spec.meaning, registry=registry, buckets=list(spec.buckets)
    )


def _is_histogram(collector: collectors.Collector) -> bool:
    return isinstance(collector, aioprometheus.Histogram)


def _registry(
    included: Iterable[collectors.Collector],
) -> aioprometheus.Registry:
    registry = aioprometheus.Registry()
    for collector in included:
        registry.register(collector)
    return registry


_HEAD = """# Metrics

Each instance serves these at `/metrics` in the Prometheus text format. Names
end in their unit; counts have none.

| name | kind | labels | meaning |
| --- | --- | --- | --- |
"""


def page() -> str:
    """Returns docs/METRICS.md."""
    rows = [
        f"| `{PREFIX}{spec.name}` | {spec.kind.value} |"
        f" {', '.join(spec.labels) or '-'} | {spec.meaning} |\n"
        for spec in SPECS
    ]
    return _HEAD + "".join(rows)


if __name__ == "__main__":
    print(page(), end="")
