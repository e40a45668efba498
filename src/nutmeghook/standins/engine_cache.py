"""The prefix cache of a model engine stand-in, and its events."""

import collections
import datetime
import random

import xxhash

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import engine_settings

_MILLISECOND = datetime.timedelta(milliseconds=1)


def prefix_hash(generation: engine.Generation) -> str:
    """Returns the key under which a generation's prefix is cached.

    Generations of one version share a prefix if they have the same session, or
    no session and the same first message.
    """
    if generation.session:
        shared = f"session {generation.session}"
    else:
        first = generation.messages[0].content if generation.messages else ""
        shared = f"prompt {first}"
    name = f"{generation.model_version} {shared}"
    return xxhash.xxh64_hexdigest(name.encode())


class PrefixCache:
    """Token counts by prefix hash, with least-recently-used eviction."""

    __slots__ = (
        "_clock",
        "_events",
        "_prefixes",
        "_random",
        "_sequence",
        "_settings",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        settings: engine_settings.EngineSettings,
        random_source: random.Random,
    ):
        self._clock = clock
        self._settings = settings
        self._random = random_source
        self._prefixes: dict[str, int] = {}
        self._events: collections.deque[
            tuple[datetime.timedelta, engine.CacheEvent]
        ] = collections.deque()
        self._sequence = 0

    def cached_tokens(self, name: str) -> int:
        """Returns how many tokens of a prefix are cached."""
        return self._prefixes.get(name, 0)

    def store(self, name: str, tokens: int) -> None:
        """Caches a prefix, or marks it as most recently used."""
        known = self._prefixes.pop(name, None)
        self._prefixes[name] = max(tokens, known or 0)
        if known is None:
            self._publish(name, stored=True)
        while self._over_capacity():
            oldest = next(iter(self._prefixes))
            del self._prefixes[oldest]
            self._publish(oldest, stored=False)

    def clear(self) -> None:
        """Drops all prefixes and events without publishing evictions."""
        self._prefixes.clear()
        self._events.clear()

    def events(self, after_sequence: int) -> list[engine.CacheEvent]:
        """Returns the later events that are old enough to be published."""
        lag = self._settings.cache_event_lag_ms * _MILLISECOND
        visible_until = self._clock.monotonic() - lag
        return [
            event
            for moment, event in self._events
            if moment <= visible_until and event.sequence > after_sequence
        ]

    def _over_capacity(self) -> bool:
        total = sum(self._prefixes.values())
        return bool(
            self._prefixes and total > self._settings.cache_capacity_tokens
        )

    def _publish(self, name: str, *, stored: bool) -> None:
        self._sequence += 1
        lost_share = self._settings.cache_event_loss_percent / 100
        if self._random.random() < lost_share:
            return
        event = engine.CacheEvent(
            sequence=self._sequence, prefix_hash=name, stored=stored
        )
        self._events.append((self._clock.monotonic(), event))
        while len(self._events) > self._settings.cache_events_kept:
            self._events.popleft()
