"""Admission of requests under load, as an interface."""

import abc
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import datetime


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class AdmissionRequest:
    """What admission needs to know of a request.

    Attributes:
        weight: The team's share relative to other teams.
        priority: 0 to 9; higher goes first.
        deadline: Monotonic time at which its answer is useless.
        cost_tokens: Estimate of the work.
        tokens_per_minute: The template's budget; 0 for none.
    """

    team: str
    template: str
    weight: float
    priority: int
    deadline: datetime.timedelta
    cost_tokens: int
    tokens_per_minute: int = 0


PRIORITIES = 10


def checked(request: AdmissionRequest) -> AdmissionRequest:
    """Returns the request, or raises ValueError for a wrong field.

    One negative cost or weight would spoil the queue's sums for everybody.
    """
    if request.weight <= 0:
        raise ValueError(f"weight is {request.weight}; give a number over 0")
    if not 0 <= request.priority < PRIORITIES:
        raise ValueError(f"priority is {request.priority}; give 0 to 9")
    if request.cost_tokens < 1:
        raise ValueError(
            f"cost_tokens is {request.cost_tokens}; give 1 or more"
        )
    return request


class Admission(abc.ABC):
    """Lets requests in, queues them, or turns them away at once."""

    @abc.abstractmethod
    def admitted(
        self, request: AdmissionRequest
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Holds a place while the request runs.

        Raises (on entering):
            errors.CodedError: `OVERLOADED`, `OVER_BUDGET` or
                `DEADLINE_BEFORE_RUN`, as soon as that is clear, with
                `retry_after`.
        """

    @abc.abstractmethod
    def note_service(
        self,
        *,
        duration: datetime.timedelta,
        overloaded: bool,
        work_tokens: int = 1,
    ) -> None:
        """Takes in how long an attempt ran, or that it met overload.

        Args:
            duration: How long it ran.
            overloaded: It met overload; the duration is ignored then.
            work_tokens: Tokens it generated. Durations are compared by the
                token, so give this always or never.
        """

    def reconcile(self, request: AdmissionRequest, *, used_tokens: int) -> None:
        """Replaces the estimate of an admitted request by what it used.

        Estimates count the longest answer allowed. Without this, budgets and
        fair shares are charged for tokens that were never generated. An
        admission that charges nothing has nothing to replace.
        """
        del request, used_tokens


class RetryBudget(abc.ABC):
    """Bounds attempts beyond the first to a share of recent requests."""

    @abc.abstractmethod
    def note_request(self) -> None:
        """Counts a first attempt."""

    @abc.abstractmethod
    def try_spend(self) -> bool:
        """Takes leave for one more retry or hedge."""


class RetryBudgets(abc.ABC):
    """A retry budget for each dependency."""

    @abc.abstractmethod
    def budget_for(self, dependency: str) -> RetryBudget:
        """Returns the budget of a model's pool or of a plain service."""


class OpenAdmission(Admission):
    """Lets everything in; for tests and as a baseline."""

    __slots__ = ()

    @contextlib.asynccontextmanager
    async def admitted(self, request: AdmissionRequest) -> AsyncIterator[None]:
        """Holds no place."""
        yield

    def note_service(
        self,
        *,
        duration: datetime.timedelta,
        overloaded: bool,
        work_tokens: int = 1,
    ) -> None:
        """Ignores it."""
