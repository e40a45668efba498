"""Writing, reading and sizing of `LoadDigest` messages."""

from collections.abc import Iterator
import dataclasses
import datetime

import xxhash

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.routing import backends

# Bytes a second that an instance may send as digests to all its peers; the
# period grows to stay within them.
BUDGET_BYTES_PER_S = 1200
SHORTEST_PERIOD = datetime.timedelta(milliseconds=200)
LONGEST_PERIOD = datetime.timedelta(seconds=2)

# Sizes on the wire. A frame has 40 bytes of TCP and IP headers.
_FRAME_BYTES = 80
_ENTRY_BYTES = 4
_REPORT_BYTES = 44


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PeerReport:
    """A load report from a digest; `running` includes those waiting."""

    address: str
    report: engine.LoadReport


def address_hash(address: str) -> int:
    """Returns the 20 bits that stand for an address in digests."""
    return xxhash.xxh32_intdigest(address.encode()) & 0xFFFFF


def write_in_flight(
    changed: list[backends.Backend], *, complete: bool, sender_address: str
) -> ttypes.LoadDigest:
    """Returns a digest of the own attempts in flight, without reports."""
    return ttypes.LoadDigest(
        addresses=[],
        address_hashes=[address_hash(b.address) for b in changed],
        in_flight=[b.in_flight for b in changed],
        complete=complete or None,
        sender_address=sender_address,
    )


def add_reports(
    digest: ttypes.LoadDigest,
    reported: list[backends.Backend],
    *,
    age: datetime.timedelta,
) -> None:
    """Puts the newest reports of backend servers into a digest."""
    digest.addresses = [b.address for b in reported]
    digest.load_percent = [_load_percent(b.report) for b in reported]
    digest.capacity = [b.report.capacity for b in reported]
    digest.loaded = [
        ",".join(str(v) for v in b.report.loaded) for b in reported
    ]
    digest.leaving = [b.report.leaving for b in reported]
    digest.age_ms = age // datetime.timedelta(milliseconds=1)


def read_reports(digest: ttypes.LoadDigest) -> Iterator[PeerReport]:
    """Yields the reports of a digest; its `age_ms` is the age of all."""
    for number, address in enumerate(digest.addresses or ()):
        capacity = digest.capacity[number]
        yield PeerReport(
            address=address,
            report=engine.LoadReport(
                loaded=_versions(digest.loaded[number]),
                running=round(digest.load_percent[number] * capacity / 100),
                waiting=0,
                capacity=capacity,
                leaving=digest.leaving[number],
            ),
        )


def period_for(*, peers: int, entries: int, reports: int) -> datetime.timedelta:
    """Returns the delay after digests of this size that keeps the budget."""
    size_bytes = _FRAME_BYTES + _ENTRY_BYTES * entries + _REPORT_BYTES * reports
    period = datetime.timedelta(seconds=size_bytes * peers / BUDGET_BYTES_PER_S)
    return min(max(period, SHORTEST_PERIOD), LONGEST_PERIOD)


def _load_percent(report: engine.LoadReport) -> int:
    return round(
        100 * (report.running + report.waiting) / max(1, report.capacity)
    )


def _versions(text: str) -> tuple[engine.ModelVersion, ...]:
    return tuple(
        engine.ModelVersion.parse(part) for part in text.split(",") if part
    )
