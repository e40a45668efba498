"""Log lines about an instance and its view of the fleet, as typed records."""

from nutmeghook.internal.observe import log_records

Record = log_records.Record


class ConfigurationInForce(Record, frozen=True, kw_only=True):
    """A configuration was put in force.

    Attributes:
        before: The version in force until then.
        source: The store, or the address of a peer.
        proof_age_ms: How old the last proof was that there is no newer one than
            that before; -1 if there was none.
    """

    version: int
    before: int | None = None
    source: str | None = None
    proof_age_ms: int | None = None


class ReplicaChange(Record, frozen=True, kw_only=True):
    """The instance's view of a replica changed.

    Attributes:
        slowness: The factor by which its work is believed to take longer than
            an average replica's.
        weight: The answers that the slowness was learnt from, after decay.
        rank: The instance's place among the replica's senders; None if it is
            no sender.
        senders: How many senders the replica has by this instance's view.
        members: The instances among which they were elected.
    """

    replica: str
    service: str | None = None
    address: str | None = None
    version: str | None = None
    leaving: bool | None = None
    started_ms: float | None = None
    last_started_ms: float | None = None
    cold_left_s: float | None = None
    per_s: float | None = None
    before_per_s: float | None = None
    source: str | None = None
    age_ms: float | None = None
    signal: str | None = None
    rest_s: float | None = None
    successor: str | None = None
    slowness: float | None = None
    weight: float | None = None
    rank: int | None = None
    senders: int | None = None
    members: int | None = None


class EvacuationChange(Record, frozen=True, kw_only=True):
    """A data centre was evacuated, or restored."""

    data_centre: str


class RollOutChange(Record, frozen=True, kw_only=True):
    """A roll-out's state, or what is known of it, changed.

    Attributes:
        answers: How many answers of the new version a verdict rests on.
        bad: How many of them were bad.
        paces: By latency measure: the answers whose pace was compared, the sum
            of their deviations, this sum over its standard error, and the upper
            bound of their mean.
    """

    service: str | None = None
    order: int | str | None = None
    version: str | None = None
    within_s: float | None = None
    verdict: str | None = None
    reason: str | None = None
    key: str | None = None
    error: str | None = None
    answers: int | None = None
    bad: int | None = None
    paces: dict[str, list[float]] | None = None


class StoreChange(Record, frozen=True, kw_only=True):
    """The store became unreachable or reachable, or lost changes.

    Attributes:
        epoch: Grows each time the store is restored from an older copy.
        before: The epoch before.
        silence_s: For how long it had answered no instance.
    """

    error: str | None = None
    table: str | None = None
    epoch: int | None = None
    before: int | None = None
    silence_s: float | None = None


class ProcessChange(Record, frozen=True, kw_only=True):
    """The process started, is stopping, or got new settings."""

    instance: str | None = None
    data_centre: str | None = None
    address: str | None = None
    metrics_address: str | None = None
    cpu_ms: int | None = None
    in_flight: int | None = None
    failed: bool | None = None
    failure: str | None = None
    trace: str | None = None
    signalled: bool | None = None
    faults: list[str] | None = None


class LinesDropped(Record, frozen=True, kw_only=True):
    """Lines were dropped for a full buffer since the last such line."""

    lines: int
