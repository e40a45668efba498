"""What is known of backend servers, and the interface for choosing one."""

import abc
import dataclasses
import datetime
import enum

from nutmeghook.internal.dependencies import engine


class Locality(enum.IntEnum):
    """Distance of a backend server from this instance.

    `OWN_CELL` is the part of the fleet that `cells` assigns to this instance
    and the few peers with which it gossips load.
    """

    OWN_CELL = 0
    OWN_DATA_CENTRE = 1
    OWN_REGION = 2
    ELSEWHERE = 3


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Backend:
    """One backend server and its state as known to this instance.

    Attributes:
        address: `ip:port`.
        service: Pool or plain service it belongs to.
        report: Its newest load report; None before the first.
        reported_at: Monotonic time at which the report was measured.
        leaving: Listed as leaving, or reported so itself; gets no new work.
        leaving_since: Monotonic time at which that became known.
        listed_leaving: It was listed as leaving.
        ejected: Gets no new work for a while: its attempts failed or were
            slow.
        on_probation: Was ejected, and is given one attempt at a time until
            one succeeds.
        locality: Its distance from this instance.
        plain: It is a plain service's instance, not a model engine.
        in_flight: Attempts of this instance that run on it now.
        peers_in_flight: Attempts in flight that the cell's peers reported.
        external_in_flight: Estimate of the attempts from outside the cell:
            those that its load reports show beyond the other two.
        external_at: Monotonic time to which `external_in_flight` refers.
    """

    address: str
    region: str
    data_centre: str
    service: str
    report: engine.LoadReport | None = None
    reported_at: datetime.timedelta = datetime.timedelta()
    leaving: bool = False
    leaving_since: datetime.timedelta = datetime.timedelta()
    listed_leaving: bool = False
    ejected: bool = False
    on_probation: bool = False
    locality: Locality = Locality.OWN_CELL
    plain: bool = False
    in_flight: int = 0
    peers_in_flight: int = 0
    external_in_flight: float = 0.0
    external_at: datetime.timedelta = datetime.timedelta()

    @property
    def capacity(self) -> int:
        """Generations that its batch holds; 1 where that is unknown."""
        return max(1, self.report.capacity) if self.report else 1


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class BackendCriteria:
    """What a request requires of a backend server.

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
    """How an attempt on a backend server ended."""

    ANSWERED = "answered"
    REFUSED_OVERLOAD = "refused_overload"
    REFUSED_LEAVING = "refused_leaving"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    CANCELLED = "cancelled"
    WITHHELD = "withheld"


class BackendChooser(abc.ABC):
    """Chooses the backend server for an attempt and learns from it."""

    @abc.abstractmethod
    def choose(self, criteria: BackendCriteria) -> Backend | None:
        """Returns a backend server that may take new work now, or None."""

    def may_send(self, backend: Backend) -> bool:
        """Tells whether work may still go to a backend server chosen before.

        Called just before the work is sent. The default is for choosers that
        learn nothing between the choice and the sending.
        """
        del backend
        return True

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
        """Notes how it ended, with the load report that the answer carried."""
