"""Costs of requests and tokens at one instance."""

from bench.capacity import figures
from bench.capacity import planned

GROUP = "node-data-path"
STREAMS = "open streams"

_US_PERCENT = 1e-4
# Records of a request on the time line and in the metrics.
_EVENTS_PER_REQUEST = 6
_METRICS_PER_REQUEST = 8


def all_figures(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the figures of the data path."""
    requests = planned.NODE_REQUESTS_PER_S

    def percent(name, us, basis, mechanism, runs=("footprint",)):
        return figures.Figure(
            group=GROUP,
            name=name,
            value=us * _US_PERCENT,
            unit="% of a core",
            basis=basis,
            runs=runs,
            mechanism=mechanism,
        )

    tokens_per_core = facts.value("relay.tokens_per_core_s")
    ledger_us = facts.value("footprint.ledger_message_us")
    inner_us = facts.value("footprint.inner_call_both_sides_us")
    messages = 2 + planned.SESSION_SHARE
    message_bytes = (
        facts.value("footprint.claim_bytes")
        + facts.value("footprint.bill_with_answer_bytes")
        + planned.SESSION_SHARE * facts.value("footprint.pin_bytes")
    )
    return [
        percent(
            "relay of 4,286 tokens a second",
            planned.NODE_TOKENS_PER_S / tokens_per_core * 1e6,
            "tokens / tokens a second of processor",
            "dispatch/generations, entry/sinks",
            ("relay",),
        ),
        percent(
            "choice of backend server",
            requests * facts.largest("decision.cost_us"),
            "20 a second, 4,400 replicas in one cell",
            "routing/chooser",
            ("decision",),
        ),
        percent(
            "admission",
            requests * facts.value("footprint.admission_us"),
            "20 a second",
            "limits/fair_admission",
        ),
        percent(
            "claim, bill and pin: the sender's part",
            requests * messages * (ledger_us + inner_us / 2),
            "20 x 2.5 messages a second",
            "ledger/sender",
        ),
        percent(
            "time line's events",
            requests * _EVENTS_PER_REQUEST * facts.value("footprint.event_us"),
            f"20 x {_EVENTS_PER_REQUEST} a second",
            "observe/events",
        ),
        percent(
            "metrics",
            requests
            * _METRICS_PER_REQUEST
            * facts.value("footprint.metric_us"),
            f"20 x {_METRICS_PER_REQUEST} a second",
            "observe/metrics",
        ),
        figures.Figure(
            group=GROUP,
            name="whole process under a node's share of the load",
            value=facts.value("node.load_core_percent"),
            unit="% of a core",
            basis="measured: 20 requests a second at today's fleet size",
            runs=("node",),
            mechanism="assembly/instance",
        ),
        figures.Figure(
            group=GROUP,
            name=STREAMS,
            value=facts.slope("footprint.stream_memory_bytes")
            * planned.NODE_STREAMS
            / planned.MB,
            unit="MB",
            basis=f"slope x {planned.NODE_STREAMS:.0f} streams",
            runs=("footprint",),
            mechanism="entry/sinks, dispatch/generations",
        ),
        figures.Figure(
            group=GROUP,
            name="claims, bills with answers, pins on the wire",
            value=requests * message_bytes,
            unit="B/s",
            basis="20 a second, sent and received",
            runs=("footprint",),
            mechanism="ledger/sender",
        ),
    ]
