"""Admission control, as an interface."""

import abc
from collections.abc import AsyncIterator
import contextlib
import datetime

import msgspec


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What admission control needs to know of a request.

    Attributes:
        weight: The team's share relative to other teams.
        priority: 0 to 9; higher goes first.
        deadline: Monotonic time at which its answer becomes useless.
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

    A single negative cost or weight would corrupt the sums of the queue.
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
    """Admits requests, queues them, or rejects them at once."""

    @abc.abstractmethod
    def admitted(
        self, request: AdmissionRequest
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Holds a slot while the request runs.

        Raises (on entering):
            errors.CodedError: `OVERLOADED`, `OVER_BUDGET` or
                `DEADLINE_BEFORE_RUN`, as soon as that is certain, with
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
        """Records how long an attempt ran, or that it was refused for overload.

        Args:
            duration: How long it ran.
            overloaded: It was refused for overload; the duration is ignored.
            work_tokens: Tokens it generated. Durations are compared per token,
                so pass this always or never.
        """

    def reconcile(self, request: AdmissionRequest, *, used_tokens: int) -> None:
        """Replaces the estimated cost of an admitted request by what it used.

        Estimates assume the longest answer allowed. Without this, budgets and
        fair shares would be charged for tokens that were never generated. The
        default is for implementations that charge nothing.
        """
        del request, used_tokens


class RetryBudget(abc.ABC):
    """Bounds attempts beyond the first to a share of recent requests."""

    @abc.abstractmethod
    def note_request(self) -> None:
        """Counts a first attempt."""

    @abc.abstractmethod
    def try_spend(self) -> bool:
        """Spends one retry or hedge; False if the budget does not permit it."""


class RetryBudgets(abc.ABC):
    """A retry budget for each dependency."""

    @abc.abstractmethod
    def budget_for(self, dependency: str) -> RetryBudget:
        """Returns the budget of a model's pool or of a plain service."""


class OpenAdmission(Admission):
    """Admits everything; for tests and as a baseline."""

    __slots__ = ()

    @contextlib.asynccontextmanager
    async def admitted(self, request: AdmissionRequest) -> AsyncIterator[None]:
        """Holds no slot."""
        yield

    def note_service(
        self,
        *,
        duration: datetime.timedelta,
        overloaded: bool,
        work_tokens: int = 1,
    ) -> None:
        """Ignores it."""
