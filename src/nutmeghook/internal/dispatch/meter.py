"""Metrics of the request path, as an interface."""

import abc
import datetime

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.routing import backends


class Meter(abc.ABC):
    """Records measurements; called on the hot path, so it must be cheap."""

    @abc.abstractmethod
    def request_finished(
        self,
        *,
        team: str,
        target: str,
        code: codes.Code,
        duration: datetime.timedelta,
    ) -> None:
        """Counts a finished request; `target` is the template or service."""

    @abc.abstractmethod
    def first_token(
        self, *, team: str, template: str, duration: datetime.timedelta
    ) -> None:
        """Records the time from a request's arrival to its first token."""

    @abc.abstractmethod
    def answer_billed(
        self, *, output_tokens: int, cost_micros: int, spent_micros: int
    ) -> None:
        """Adds tokens and cost of a billed answer."""

    @abc.abstractmethod
    def attempt_finished(self, outcome: backends.AttemptOutcome) -> None:
        """Counts how an attempt on a backend server ended."""

    @abc.abstractmethod
    def attempt_repeated(self, *, hedged: bool) -> None:
        """Counts an attempt beyond the first, retry or hedge."""

    @abc.abstractmethod
    def stream_resumed(self) -> None:
        """Counts a cut stream that was resumed."""

    @abc.abstractmethod
    def chunk_dropped(self) -> None:
        """Counts a late or duplicate chunk, or one of another attempt."""

    @abc.abstractmethod
    def rating_dropped(self) -> None:
        """Counts an answer that could not be submitted for rating."""


class NullMeter(Meter):
    """Counts nothing; for tests and tools."""

    __slots__ = ()

    def request_finished(
        self,
        *,
        team: str,
        target: str,
        code: codes.Code,
        duration: datetime.timedelta,
    ) -> None:
        """Ignores it."""

    def first_token(
        self, *, team: str, template: str, duration: datetime.timedelta
    ) -> None:
        """Ignores it."""

    def answer_billed(
        self, *, output_tokens: int, cost_micros: int, spent_micros: int
    ) -> None:
        """Ignores it."""

    def attempt_finished(self, outcome: backends.AttemptOutcome) -> None:
        """Ignores it."""

    def attempt_repeated(self, *, hedged: bool) -> None:
        """Ignores it."""

    def stream_resumed(self) -> None:
        """Ignores it."""

    def chunk_dropped(self) -> None:
        """Ignores it."""

    def rating_dropped(self) -> None:
        """Ignores it."""
