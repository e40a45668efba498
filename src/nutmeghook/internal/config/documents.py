"""The configuration documents that operators edit.

Documents are immutable; a change replaces whole documents under a new revision
of the whole configuration. `validation` holds the rules that span fields.
"""

import enum

import msgspec

from nutmeghook.internal.dependencies import engine


class VersionState(enum.Enum):
    """What a template lets happen with a version."""

    SERVING = "serving"
    ROLLING_OUT = "rolling_out"
    WITHDRAWN = "withdrawn"


class FreshnessPolicy(enum.Enum):
    """What an instance does that can't tell whether its configuration is new.

    `KEEP_SERVING` puts latency first; `STOP_ROLL_OUTS` starts no new work on
    versions that are rolling out; `STOP_NEW_WORK` starts none at all.
    """

    KEEP_SERVING = "keep_serving"
    STOP_ROLL_OUTS = "stop_roll_outs"
    STOP_NEW_WORK = "stop_new_work"


class VersionEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One version of a stage's model.

    Attributes:
        share_percent: Share of new sessions; the serving and rolling-out
            versions of a stage sum to 100.
    """

    version: str
    state: VersionState = VersionState.SERVING
    share_percent: float = 100.0


class Stage(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a cascade; steps go from cheap to expensive."""

    model: str
    versions: tuple[VersionEntry, ...]


class StartPolicy(enum.Enum):
    """Where a cascade starts."""

    LEARNED = "learned"
    CHEAPEST = "cheapest"
    STRONGEST = "strongest"


class RollOutPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How versions of this template are rolled out.

    Attributes:
        steps_percent: Shares that a roll-out goes through.
        unrated_cap: Most answers of a rolling-out version that may be out
            unrated over the whole fleet.
        bad_rating_below: A rating under this counts as bad.
        tolerated_bad_share: Share of bad ratings that is still fine.
        ratings_per_step: Ratings to see before the next step.
    """

    steps_percent: tuple[float, ...] = (1.0, 5.0, 25.0, 50.0, 100.0)
    unrated_cap: int = 40
    bad_rating_below: float = 0.5
    tolerated_bad_share: float = 0.05
    ratings_per_step: int = 60


class Template(msgspec.Struct, frozen=True, kw_only=True):
    """A routing template: what callers name as `model`.

    Attributes:
        quality_target: Mean rating that answers must reach, 0 to 1.
        held_share_percent: Share of requests whose cheap answer may be held
            back until it is judged. Their first token comes late: 5 keeps
            the first-token target for 95 in 100, 100 costs least, 0 lets a
            cascade choose only where to start.
        priority: Higher goes first under load, 0 to 9.
        deadline_ms: For callers that give none.
        tokens_per_minute: Budget of the template; 0 for none.
        hedge_after_ms: Send a second attempt if no token came; 0 for never.
        staleness_limit_ms: Age at which the configuration counts as old.
    """

    team: str
    name: str
    stages: tuple[Stage, ...]
    quality_target: float = 0.8
    start: StartPolicy = StartPolicy.LEARNED
    held_share_percent: float = 5.0
    priority: int = 5
    deadline_ms: int = 30_000
    max_tokens: int = 1024
    tokens_per_minute: int = 0
    hedge_after_ms: int = 0
    freshness: FreshnessPolicy = FreshnessPolicy.STOP_ROLL_OUTS
    staleness_limit_ms: int = 4_000
    roll_out: RollOutPolicy = msgspec.field(default_factory=RollOutPolicy)


class PlainRoute(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of a plain service that a team may call.

    Attributes:
        repeatable: Whether a call may be sent twice; False unless the
            operator knows better, whatever the HTTP method.
    """

    service: str
    path_prefix: str
    repeatable: bool = False
    deadline_ms: int = 10_000
    priority: int = 5

    def covers(self, path: str) -> bool:
        """Matches whole segments: `/book` does not cover `/bookings`."""
        if not path.startswith(self.path_prefix):
            return False
        rest = path[len(self.path_prefix) :]
        return not rest or self.path_prefix.endswith("/") or rest[0] == "/"


class Role(enum.Enum):
    """What a token lets its holder do."""

    CALLER = "caller"
    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMINISTRATOR = "administrator"


class TokenEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A bearer token, kept only as the SHA-256 of its text, in hex."""

    name: str
    role: Role
    sha256: str


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A customer of the platform.

    Attributes:
        allowed_models: What its requests may ever run on; beats everything.
        weight: Its share under contention, relative to other teams.
    """

    name: str
    tokens: tuple[TokenEntry, ...] = ()
    allowed_models: tuple[str, ...] = ()
    plain_routes: tuple[PlainRoute, ...] = ()
    weight: float = 1.0

    def plain_route(self, service: str, path: str) -> PlainRoute | None:
        """Returns the route with the longest prefix of a path, if any has."""
        return max(
            (
                route
                for route in self.plain_routes
                if route.service == service and route.covers(path)
            ),
            key=lambda route: len(route.path_prefix),
            default=None,
        )


class ModelEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A model in the fleet's catalogue; costs are in millionths of a euro."""

    name: str
    prompt_token_cost_micros: int
    output_token_cost_micros: int


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """What holds for all teams.

    Attributes:
        withdrawn: Versions that nobody may use for new work.
    """

    models: tuple[ModelEntry, ...] = ()
    withdrawn: tuple[engine.ModelVersion, ...] = ()


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The whole configuration at one revision."""

    revision: int
    fleet: Fleet
    teams: dict[str, Team]
    templates: dict[str, Template]

    def template(self, team: str, name: str) -> Template | None:
        """Returns a team's template, if it has one of that name."""
        return self.templates.get(template_key(team, name))


EMPTY_SNAPSHOT = Snapshot(revision=0, fleet=Fleet(), teams={}, templates={})


def template_key(team: str, name: str) -> str:
    """Returns the key of a template in `Snapshot.templates`."""
    return f"{team}/{name}"
