"""Limits on the requests that an instance runs at once."""

import abc
import datetime


class ConcurrencyLimit(abc.ABC):
    """A number of slots, which may adapt to measured service."""

    @property
    @abc.abstractmethod
    def slots(self) -> int:
        """The number of requests that may run at once; at least 1."""

    @abc.abstractmethod
    def note(
        self,
        *,
        duration: datetime.timedelta,
        overloaded: bool,
        work_tokens: int,
        running: int,
    ) -> None:
        """Records one finished attempt.

        Args:
            duration: How long the attempt ran.
            overloaded: It was refused for overload; `duration` is ignored.
            work_tokens: Its tokens; durations are compared per token.
            running: Requests that were running when it ended.
        """


class FixedLimit(ConcurrencyLimit):
    """A limit that only its owner changes."""

    __slots__ = ("_slots",)

    def __init__(self, *, slots: int):
        self._slots = checked_slots(slots)

    @property
    def slots(self) -> int:
        """The number given."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Changes the number."""
        self._slots = checked_slots(slots)

    def note(
        self,
        *,
        duration: datetime.timedelta,
        overloaded: bool,
        work_tokens: int,
        running: int,
    ) -> None:
        """Ignores it."""


def checked_slots(slots: int) -> int:
    """Returns the number, or raises ValueError if it is under 1."""
    if slots < 1:
        raise ValueError(f"slots is {slots}; give 1 or more")
    return slots
