"""Decodes the operator's configuration."""

import datetime
from typing import Annotated

import msgspec

from nutmeghook.internal.foundation import stored_json
from nutmeghook.internal.routes import model
from nutmeghook.platform import headers

# One day; no replica stays cold for that long after its start.
_MAX_COLD_S = 86_400.0
_KINDS = {
    "idempotent": model.RouteKind.IDEMPOTENT,
    "non_idempotent": model.RouteKind.ONCE,
    "streaming": model.RouteKind.STREAM,
}


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    prefix: str
    route_kind: str
    timeout_ms: float
    service: str = ""
    split: list[_Share] = []
    slo_ms: float = 1000.0
    attempts: int = 1
    # 0 is the most urgent rank.
    priority: int = 0
    resumable: bool = False
    gap_target_ms: float = 1000.0
    # Names of models, smallest first.
    sizes: list[str] = []
    # True if callers need no API key.
    anonymous: bool = False
    home_regions: list[str] = []


class _Model(msgspec.Struct, frozen=True):
    name: str
    cost: float = 0.0


class _Engine(msgspec.Struct, frozen=True):
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    health_path: str = headers.HEALTH_PATH
    max_conns: int = 100
    cold_s: Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_COLD_S)] = 0.0
    cold_per_s: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Team(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    home_regions: list[str] = []


class _Configuration(msgspec.Struct, frozen=True):
    version: Annotated[int, msgspec.Meta(ge=0, le=stored_json.MAX_NUMBER)]
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    # Without the field no request needs a key. An empty list admits none.
    tenants: list[_Team] | msgspec.UnsetType = msgspec.UNSET


_DECODER = msgspec.json.Decoder(_Configuration)


def decode(value: bytes) -> model.Configuration:
    """Returns the configuration.

    Raises:
        ValueError: It is malformed; the text says where.
    """
    wire = stored_json.decode(value, _DECODER)
    try:
        return _configuration(wire)
    except (KeyError, OverflowError) as error:
        # An unknown kind of route, or a time beyond what can be represented.
        raise stored_json.UnreadableError(
            f"malformed configuration: {error!r}"
        ) from error


def _configuration(wire: _Configuration) -> model.Configuration:
    has_teams = wire.tenants is not msgspec.UNSET
    return model.Configuration(
        version=wire.version,
        routes=tuple(_route(route) for route in wire.routes),
        services={s.name: _service(s) for s in wire.services},
        requires_keys=has_teams,
        teams_by_key={
            key: team
            for wire_team in (wire.tenants if has_teams else ())
            for team in (_team(wire_team),)
            for key in wire_team.api_keys
        },
        limits=_limits(wire.limits),
    )


def _route(wire: _Route) -> model.Route:
    shares = tuple(
        model.ServiceShare(service=share.service, weight=share.weight)
        for share in wire.split
    )
    if not shares:
        shares = (model.ServiceShare(service=wire.service, weight=1.0),)
    return model.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=_KINDS[wire.route_kind],
        shares=shares,
        time_limit=_milliseconds(wire.timeout_ms),
        target=_milliseconds(wire.slo_ms),
        attempts=max(1, wire.attempts),
        priority=wire.priority,
        resumable=wire.resumable,
        longest_pause=_milliseconds(wire.gap_target_ms),
        models=tuple(wire.sizes),
        needs_key=not wire.anonymous,
        home_regions=frozenset(wire.home_regions),
    )


def _team(wire: _Team) -> model.Team:
    return model.Team(
        name=wire.name,
        priority=wire.priority,
        home_regions=frozenset(wire.home_regions),
    )


def _service(wire: _Service) -> model.Service:
    models = wire.engine.models if wire.engine else []
    return model.Service(
        name=wire.name,
        liveness_path=(
            headers.ENGINE_REPORT_PATH if wire.engine else wire.health_path
        ),
        max_connections=wire.max_conns,
        model_costs={entry.name: entry.cost for entry in models},
        cold_time=datetime.timedelta(seconds=wire.cold_s),
        cold_per_s=wire.cold_per_s,
        health_path=wire.health_path,
    )


def _limits(wire: _Limits) -> model.CallerLimits:
    return model.CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_time=_milliseconds(wire.header_timeout_ms),
        idle_time=_milliseconds(wire.idle_timeout_ms),
    )


def _milliseconds(number: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=number)
