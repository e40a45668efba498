"""Prompts that a replica has still to read, as time that the reading takes.

A request's first event waits until its replica has read what was sent there
before. Replicas tell how many requests run and wait, but only with an answer:
that is most of a second old, and a prompt of a large model takes a hundred
times as long as one of a small. Instances know better: each knows what it has
sent and not heard of yet.
"""

import dataclasses
import datetime

_ZERO = datetime.timedelta()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Prefill:
    """One prompt's reading.

    Attributes:
        time: How long it takes an idle replica.
        urgent: It goes before what is not.
    """

    time: datetime.timedelta
    urgent: bool


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Backlog:
    """The reading before several requests' first events.

    Attributes:
        urgent: Of urgent prompts.
        later: Of the others.
    """

    urgent: datetime.timedelta = _ZERO
    normal: datetime.timedelta = _ZERO

    def __bool__(self) -> bool:
        return self.urgent > _ZERO or self.normal > _ZERO

    def __add__(self, other: "Backlog") -> "Backlog":
        return Backlog(
            urgent=self.urgent + other.urgent, normal=self.normal + other.normal
        )

    def __sub__(self, other: "Backlog") -> "Backlog":
        return Backlog(
            urgent=max(_ZERO, self.urgent - other.urgent),
            normal=max(_ZERO, self.normal - other.normal),
        )

    def with_prefill(self, prefill: Prefill) -> "Backlog":
        """Returns the backlog with one more prompt."""
        return self + _of(prefill)

    def without_prefill(self, prefill: Prefill) -> "Backlog":
        """Returns the backlog with one prompt less."""
        return self - _of(prefill)


def _of(prefill: Prefill) -> Backlog:
    if prefill.urgent:
        return Backlog(urgent=prefill.time)
    return Backlog(normal=prefill.time)
