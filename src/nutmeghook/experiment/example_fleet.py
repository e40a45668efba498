"""The configuration and stand-ins of the demo and the load generator."""

import secrets

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import tokens as tokens_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.standins import engine_settings
from nutmeghook.standins import fleet
from nutmeghook.standins import platform_apps
from nutmeghook.standins import quality

AGENCY_REGION = "hu-central"
AIRLINE_REGION = "th-bangkok"
DATA_CENTRES_PER_REGION = 3
AGENCY_TEAMS = ("inspectors-north", "inspectors-south", "plant-operators")
AIRLINE_TEAMS = ("siam-charter", "andaman-air")
SMALL_MODEL = "inspect-small"
LARGE_MODEL = "inspect-large"
FAST_MODEL = "roster-fast"
DEEP_MODEL = "roster-deep"
# A version that gives bad answers on every engine, and one that is as good as
# its predecessor. Engines load them only for a roll-out.
BAD_VERSION = engine.ModelVersion(model=SMALL_MODEL, version="2")
GOOD_VERSION = engine.ModelVersion(model=FAST_MODEL, version="2")
# The steps are large and few so that a roll-out ends within a short run. The
# Agency requires more ratings a step, as it is more wary of bad versions.
AGENCY_ROLL_OUTS = documents.RollOutPolicy(
    steps_percent=(20.0, 50.0, 100.0), ratings_per_step=30
)
AIRLINE_ROLL_OUTS = documents.RollOutPolicy(
    steps_percent=(30.0, 60.0, 100.0), ratings_per_step=6
)
WEIGHT_BYTES = 10**9
LOAD_MS = 500.0
AGENCY_ENGINES = 6
AIRLINE_ENGINES = 9
PLAIN_REPLICAS = 3


def new_tokens() -> dict[str, str]:
    """Returns a new caller token for each team."""
    return {
        team: secrets.token_urlsafe(24) for team in AGENCY_TEAMS + AIRLINE_TEAMS
    }


def fleet_document() -> documents.Fleet:
    """Returns the catalogue of models."""
    prices = {
        SMALL_MODEL: (1, 4),
        LARGE_MODEL: (10, 40),
        FAST_MODEL: (1, 4),
        DEEP_MODEL: (12, 50),
    }
    return documents.Fleet(
        models=tuple(
            documents.ModelEntry(
                name=name,
                prompt_token_cost_micros=prompt,
                output_token_cost_micros=output,
            )
            for name, (prompt, output) in prices.items()
        )
    )


def team_documents(tokens: dict[str, str]) -> tuple[documents.Team, ...]:
    """Returns all teams with their callers' tokens."""
    agency = [
        _team(
            name,
            tokens[name],
            models=(SMALL_MODEL, LARGE_MODEL),
            routes=(
                documents.PlainRoute(
                    service="registry",
                    path_prefix="/certificates",
                    repeatable=True,
                ),
                documents.PlainRoute(
                    service="registry", path_prefix="/findings"
                ),
            ),
        )
        for name in AGENCY_TEAMS
    ]
    airline = [
        _team(
            name,
            tokens[name],
            models=(FAST_MODEL, DEEP_MODEL),
            routes=(
                documents.PlainRoute(
                    service="scheduler",
                    path_prefix="/pairings",
                    repeatable=True,
                ),
                documents.PlainRoute(
                    service="scheduler", path_prefix="/bookings"
                ),
            ),
        )
        for name in AIRLINE_TEAMS
    ]
    return (*agency, *airline)


def _team(
    name: str,
    token: str,
    *,
    models: tuple[str, ...],
    routes: tuple[documents.PlainRoute, ...],
) -> documents.Team:
    return documents.Team(
        name=name,
        tokens=(
            documents.TokenEntry(
                name="caller",
                role=documents.Role.CALLER,
                sha256=tokens_module.digest(token),
            ),
        ),
        allowed_models=models,
        plain_routes=routes,
    )


def template_documents() -> tuple[documents.Template, ...]:
    """Returns all teams' templates."""
    templates: list[documents.Template] = []
    for team in AGENCY_TEAMS:
        templates += [
            _template(team, "certificate-lookup", (SMALL_MODEL, LARGE_MODEL)),
            _template(
                team,
                "dossier-review",
                (SMALL_MODEL, LARGE_MODEL),
                start=documents.StartPolicy.STRONGEST,
                priority=9,
            ),
        ]
    for team in AIRLINE_TEAMS:
        templates += [
            _template(
                team,
                "legality-check",
                (FAST_MODEL, DEEP_MODEL),
                roll_out=AIRLINE_ROLL_OUTS,
            ),
            _template(
                team,
                "full-rebuild",
                (FAST_MODEL, DEEP_MODEL),
                start=documents.StartPolicy.STRONGEST,
                priority=8,
            ),
        ]
    return tuple(templates)


def _template(
    team: str,
    name: str,
    models: tuple[str, ...],
    *,
    start: documents.StartPolicy = documents.StartPolicy.CHEAPEST,
    priority: int = 5,
    roll_out: documents.RollOutPolicy = AGENCY_ROLL_OUTS,
) -> documents.Template:
    return documents.Template(
        team=team,
        name=name,
        stages=tuple(
            documents.Stage(
                model=model, versions=(documents.VersionEntry(version="1"),)
            )
            for model in models
        ),
        start=start,
        priority=priority,
        freshness=documents.FreshnessPolicy.STOP_ROLL_OUTS,
        roll_out=roll_out,
    )


def stand_ins(
    *, mean_answer_tokens: int = 24, preloaded: bool = False
) -> fleet.FleetSpec:
    """Returns the platform of both users: their replicas and services.

    Version 2 of the small inspection model is bad on every engine.

    Args:
        mean_answer_tokens: Mean length of an answer.
        preloaded: The versions to be rolled out are loaded already.
    """
    return fleet.FleetSpec(
        table=fleet.StoreSpec(),
        objects=fleet.StoreSpec(),
        instances=fleet.InstancesSpec(),
        ratings=fleet.RatingsSpec(
            settings=platform_apps.RatingSettings(
                quality=quality.QualitySettings()
            )
        ),
        weights=fleet.WeightsSpec(
            sizes_bytes={
                f"{model}@{version}": WEIGHT_BYTES
                for model in (SMALL_MODEL, LARGE_MODEL, FAST_MODEL, DEEP_MODEL)
                for version in ("1", "2")
            }
        ),
        engines=(
            *_engines(
                "inspection",
                AGENCY_ENGINES,
                region=AGENCY_REGION,
                loaded=(SMALL_MODEL, LARGE_MODEL),
                mean_answer_tokens=mean_answer_tokens,
                preloaded=preloaded,
            ),
            *_engines(
                "rostering",
                AIRLINE_ENGINES,
                region=AIRLINE_REGION,
                loaded=(FAST_MODEL, DEEP_MODEL),
                mean_answer_tokens=mean_answer_tokens,
                preloaded=preloaded,
            ),
        ),
        plain_services=(
            *_plain("registry", AGENCY_REGION),
            *_plain("scheduler", AIRLINE_REGION),
        ),
    )


def data_centre(region: str, number: int) -> str:
    """Returns the name of the region's data centre for the nth machine."""
    return f"{region}-{number % DATA_CENTRES_PER_REGION + 1}"


def _engines(
    pool: str,
    count: int,
    *,
    region: str,
    loaded: tuple[str, ...],
    mean_answer_tokens: int,
    preloaded: bool,
) -> list[fleet.EngineSpec]:
    versions = [engine.ModelVersion(model=m, version="1") for m in loaded]
    if preloaded:
        waiting = (BAD_VERSION, GOOD_VERSION)
        versions += [v for v in waiting if v.model in loaded]
    return [
        fleet.EngineSpec(
            name=f"{pool}-{number}",
            pool=pool,
            region=region,
            data_centre=data_centre(region, number),
            loaded=tuple(str(version) for version in versions),
            settings=engine_settings.EngineSettings(
                step_ms=5.0,
                prompt_token_ms=0.05,
                bad_versions=(BAD_VERSION,),
                load_ms=LOAD_MS,
                download_bytes_per_ms=WEIGHT_BYTES / LOAD_MS,
                mean_answer_tokens=mean_answer_tokens,
            ),
        )
        for number in range(count)
    ]


def _plain(service: str, region: str) -> list[fleet.PlainSpec]:
    return [
        fleet.PlainSpec(
            name=f"{service}-{number}",
            service=service,
            region=region,
            data_centre=data_centre(region, number),
        )
        for number in range(PLAIN_REPLICAS)
    ]
