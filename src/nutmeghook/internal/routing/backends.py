"""Backend servers as the router sees them, and the choice among them."""

import abc
import dataclasses
import datetime
import enum

from nutmeghook.internal.platform import engine


class Nearness(enum.IntEnum):
    """Where a backend server stands, seen from this instance."""

    OWN_DATA_CENTRE = 0
    OWN_REGION = 1
    ELSEWHERE = 2


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Backend:
    """One backend server and what is believed of it.

    Attributes:
        address: `ip:port`.
        service: Pool or plain service it belongs to.
        report: Its newest load report; None before the first.
        reported_at: Monotonic time at which the report's figures were true.
        leaving: Listed as leaving, or said so itself; takes no new work.
        ejected: Takes no new work until it has proved itself again.
        nearness: Its place seen from this instance.
        plain: It is a plain service's instance, not a model engine.
        in_flight: Attempts of this instance that run on it now.
        others_at_report: Attempts of other instances when it reported.
    """

    address: str
    region: str
    data_centre: str
    service: str
    report: engine.LoadReport | None = None
    reported_at: datetime.timedelta = datetime.timedelta()
    leaving: bool = False
    ejected: bool = False
    nearness: Nearness = Nearness.OWN_DATA_CENTRE
    plain: bool = False
    in_flight: int = 0
    others_at_report: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class BackendNeed:
    """What a request needs of a backend server.

    Attributes:
        model_version: None for a plain service.
        service: The plain service's name; empty for a model.
        affinity_key: Session or prompt prefix; empty for none.
        priority: 0 to 9.
        exclude: Addresses already tried.
    """

    model_version: engine.ModelVersion | None = None
    service: str = ""
    affinity_key: str = ""
    priority: int = 5
    exclude: frozenset[str] = frozenset()


class AttemptOutcome(enum.Enum):
    """How an attempt on a backend server ended, as evidence about it."""

    ANSWERED = "answered"
    REFUSED_OVERLOAD = "refused_overload"
    REFUSED_LEAVING = "refused_leaving"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    CANCELLED = "cancelled"


class BackendChooser(abc.ABC):
    """Chooses the backend server for an attempt and learns from it."""

    @abc.abstractmethod
    def choose(self, need: BackendNeed) -> Backend | None:
        """Returns a backend server that may take new work now, or None."""

    @abc.abstractmethod
    def started(self, backend: Backend) -> None:
        """Notes that an attempt was sent."""

    @abc.abstractmethod
    def finished(
        self,
        backend: Backend,
        *,
        outcome: AttemptOutcome,
        duration: datetime.timedelta,
        report: engine.LoadReport | None = None,
    ) -> None:
        """Notes how it ended, with the load report that came along."""
