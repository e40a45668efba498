"""Contents of a configuration: routes, services, teams and limits."""

from collections.abc import Iterator
import datetime
import enum

import msgspec


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to one host below one path prefix.

    Attributes:
        shares: The services that get the requests, by weight.
        time_limit: Longest time that a request may take.
        target: An answer within this time has its full utility.
        attempts: Maximum number of replicas that one request is sent to.
        priority: 0 is the most urgent.
        resumable: An interrupted stream may continue at another replica.
        longest_pause: A stream with a longer pause between events is late.
        models: The models to choose from, smallest first; empty if callers
            name the model themselves.
        needs_key: Only requests with a team's API key are allowed.
        home_regions: Where its requests may run; empty for anywhere.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    time_limit: datetime.timedelta
    target: datetime.timedelta
    attempts: int
    priority: int
    resumable: bool = False
    longest_pause: datetime.timedelta = datetime.timedelta(seconds=1)
    models: tuple[str, ...] = ()
    needs_key: bool = True
    home_regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of interchangeable replicas.

    Attributes:
        liveness_path: Path that each replica answers while it runs, without a
            free slot if it has such a path.
        health_path: Path whose answer says how the replica is; empty if it is
            the liveness path.
        max_connections: Connections that one replica accepts in total.
        model_costs: Price of each model for 1,000 generated tokens.
        cold_time: For how long a replica is cold after its start.
        cold_per_s: Requests a second that a cold replica can handle; 0 for no
            limit.
    """

    name: str
    liveness_path: str
    max_connections: int
    model_costs: dict[str, float] = msgspec.field(default_factory=dict)
    cold_time: datetime.timedelta = datetime.timedelta()
    cold_per_s: float = 0.0
    health_path: str = ""


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A team.

    Attributes:
        priority: Takes precedence over the route's; None for the route's.
        home_regions: Where its requests may run; empty for anywhere.
    """

    name: str
    priority: int | None = None
    home_regions: frozenset[str] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_time: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_time: datetime.timedelta = datetime.timedelta(seconds=15)


class Configuration:
    """One version of the configuration, with its indexes.

    Attributes:
        version: Grows with each change.
        requires_keys: Routes that need an API key accept only teams' keys. If
            False, there are no teams, and every request is accepted.
        teams_by_key: Teams by API key; empty while no team has a key.
    """

    __slots__ = (
        "_by_host",
        "limits",
        "requires_keys",
        "services",
        "teams_by_key",
        "version",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        requires_keys: bool,
        teams_by_key: dict[str, Team],
        limits: CallerLimits,
    ):
        self.version = version
        self.services = services
        self.requires_keys = requires_keys
        self.teams_by_key = teams_by_key
        self.limits = limits
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: -len(route.prefix))

    def admits_key(self, route: Route, key: str | None) -> bool:
        """Returns whether a request with this key, or none, may use a route."""
        if not route.needs_key or not self.requires_keys:
            return True
        return bool(key) and key in self.teams_by_key

    def routes(self) -> Iterator[Route]:
        """Yields all routes."""
        for host_routes in self._by_host.values():
            yield from host_routes

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
