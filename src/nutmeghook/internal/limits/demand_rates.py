"""What teams ask for and get, as cost a second, over the whole fleet."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import typing

import msgspec
import xxhash

from nutmeghook.internal.foundation import clock as clock_module

# Rates are over this time: long enough for some requests of each team at one
# instance, short enough to follow a surge of some seconds.
WINDOW = datetime.timedelta(seconds=2)
_BUCKETS = 8
_BUCKET = WINDOW / _BUCKETS
# A report is the sender's whole state. Each instance hears only a few peers a
# second, so reports are kept for longer than the window.
REPORT_LIFETIME = datetime.timedelta(seconds=3)
# More than twice the largest fleet, at 16 entries each.
_MAX_SENDERS = 1024


class DemandKey(typing.NamedTuple):
    """One team's requests of one priority to one service.

    Attributes:
        priority: 0 is the most urgent.
        team: Name of the team; empty for requests without one.
    """

    service: str
    priority: int
    team: str

    @property
    def text(self) -> str:
        """The parts in one text."""
        return f"{self.service}/{self.priority}/{self.team}"

    @property
    def short_id(self) -> int:
        """31-bit hash that identifies the key in messages."""
        return xxhash.xxh32_intdigest(self.text.encode()) >> 1


class Rates(msgspec.Struct, frozen=True, kw_only=True):
    """Cost a second that is asked for, and that is admitted."""

    asked: float = 0.0
    admitted: float = 0.0

    def times(self, factor: float) -> "Rates":
        """Returns both rates times a factor."""
        return Rates(asked=factor * self.asked, admitted=factor * self.admitted)


class FleetRates(msgspec.Struct, frozen=True, kw_only=True):
    """Rates of the whole fleet, estimated from the instances heard.

    Attributes:
        scale: The fleet's size for each instance heard, this one included.
    """

    by_key: dict[DemandKey, Rates]
    scale: float


class _CostWindow:
    """Costs of the last `WINDOW`, in buckets of a fixed length."""

    __slots__ = ("_buckets",)

    def __init__(self):
        # Bucket number, cost asked for and cost admitted.
        self._buckets: collections.deque[list[float]] = collections.deque()

    def add(self, bucket: int, *, asked: float, admitted: float) -> None:
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append([bucket, 0.0, 0.0])
        newest = self._buckets[-1]
        newest[1] += asked
        newest[2] += admitted
        self._expire(bucket)

    def rates(self, bucket: int) -> Rates:
        self._expire(bucket)
        asked = admitted = 0.0
        for _, bucket_asked, bucket_admitted in self._buckets:
            asked += bucket_asked
            admitted += bucket_admitted
        seconds = WINDOW.total_seconds()
        return Rates(asked=asked / seconds, admitted=admitted / seconds)

    def _expire(self, bucket: int) -> None:
        while self._buckets and self._buckets[0][0] <= bucket - _BUCKETS:
            self._buckets.popleft()


class _PeerReport(msgspec.Struct, frozen=True, kw_only=True):
    at: datetime.timedelta
    rates: dict[int, Rates]


class DemandRates:
    """Rates of this instance, and those that its peers report."""

    __slots__ = ("_clock", "_keys", "_reports", "_windows")

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        # The configured keys, by the hash that messages name them by.
        self._keys: dict[int, DemandKey] = {}
        self._windows: dict[DemandKey, _CostWindow] = {}
        # By sender, the latest report at the end.
        self._reports: collections.OrderedDict[str, _PeerReport] = (
            collections.OrderedDict()
        )

    def configure(self, keys: Iterable[DemandKey]) -> None:
        """Sets the keys that are counted; others' rates are dropped."""
        self._keys = {key.short_id: key for key in keys}
        known = set(self._keys.values())
        self._windows = {
            key: window for key, window in self._windows.items() if key in known
        }

    def services(self) -> set[str]:
        """Returns the services of the configured keys."""
        return {key.service for key in self._keys.values()}

    def note_asked(self, key: DemandKey, cost: float) -> None:
        """Counts a request's cost as asked for."""
        self._add(key, asked=cost, admitted=0.0)

    def note_admitted(self, key: DemandKey, cost: float) -> None:
        """Counts a request's cost as admitted."""
        self._add(key, asked=0.0, admitted=cost)

    def note_report(self, sender_id: str, rates: Mapping[int, Rates]) -> None:
        """Replaces a peer's rates, by the hashes of their keys."""
        self._reports[sender_id] = _PeerReport(
            at=self._clock.monotonic(), rates=dict(rates)
        )
        self._reports.move_to_end(sender_id)
        if len(self._reports) > _MAX_SENDERS:
            self._reports.popitem(last=False)

    def own(self) -> dict[DemandKey, Rates]:
        """Returns this instance's rates, without those that are zero."""
        bucket = self._bucket()
        found = {key: w.rates(bucket) for key, w in self._windows.items()}
        return {key: rates for key, rates in found.items() if rates.asked}

    def fleet(self, size: int) -> FleetRates:
        """Returns the rates of the fleet.

        Args:
            size: Number of its instances, this one included.
        """
        self._expire_reports()
        scale = max(1.0, size / (1 + len(self._reports)))
        # Plain sums: this runs several times a second over hundreds of rates.
        asked: dict[DemandKey, float] = collections.defaultdict(float)
        admitted: dict[DemandKey, float] = collections.defaultdict(float)
        for key, rates in self.own().items():
            asked[key] = rates.asked
            admitted[key] = rates.admitted
        for report in self._reports.values():
            for short_id, rates in report.rates.items():
                key = self._keys.get(short_id)
                if key is not None:
                    asked[key] += rates.asked
                    admitted[key] += rates.admitted
        by_key = {
            key: Rates(asked=scale * asked[key], admitted=scale * admitted[key])
            for key in asked
        }
        return FleetRates(by_key=by_key, scale=scale)

    def _add(self, key: DemandKey, *, asked: float, admitted: float) -> None:
        window = self._windows.get(key)
        if window is None:
            window = self._windows[key] = _CostWindow()
        window.add(self._bucket(), asked=asked, admitted=admitted)

    def _bucket(self) -> int:
        return self._clock.monotonic() // _BUCKET

    def _expire_reports(self) -> None:
        oldest = self._clock.monotonic() - REPORT_LIFETIME
        while self._reports:
            sender_id = next(iter(self._reports))
            if self._reports[sender_id].at >= oldest:
                return
            del self._reports[sender_id]
