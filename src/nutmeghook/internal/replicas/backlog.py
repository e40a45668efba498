"""Backlog of a replica: prefill time of prompts that it has still to process.

The time to first token depends on the prompts queued before. Replicas report
counts of running and waiting requests, but only with their answers, so a count
is most of a second old, and the prefill of a large model's prompt takes a
hundred times as long as that of a small one's. The backlog is derived from what
instances have sent and got no first event for.
"""

import datetime

import msgspec

_ZERO = datetime.timedelta()


class Prefill(msgspec.Struct, frozen=True, kw_only=True):
    """The prefill of one prompt.

    Attributes:
        time: How long it takes on an idle replica.
        urgent: Engines process it before prompts that are not urgent.
    """

    time: datetime.timedelta
    urgent: bool


class Backlog(msgspec.Struct, frozen=True, kw_only=True):
    """Total prefill time of several prompts.

    Attributes:
        urgent: Of urgent prompts.
        normal: Of the others.
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
        """Returns the backlog with one prompt added."""
        return self + _of(prefill)

    def without_prefill(self, prefill: Prefill) -> "Backlog":
        """Returns the backlog with one prompt removed."""
        return self - _of(prefill)


def _of(prefill: Prefill) -> Backlog:
    if prefill.urgent:
        return Backlog(urgent=prefill.time)
    return Backlog(normal=prefill.time)
