"""Typical members, documents, records and events, by number."""

import functools
import hashlib

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import state
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import log
from nutmeghook.internal.ledger import records
from nutmeghook.internal.membership import claims
from nutmeghook.internal.membership import members
from nutmeghook.internal.observe import events
from nutmeghook.internal.observe import metrics as metrics_module

REGIONS = 3
DATA_CENTRES = 9
TEMPLATES_A_TEAM = 10
VERSION = engine.ModelVersion(model="inspection-large", version="2026.11")
# The plan's mean tokens of an answer, at about 4 bytes a token.
ANSWER_BYTES = 4 * 214


def location(number: int) -> tuple[str, str]:
    """Returns the region and data centre of a numbered machine."""
    centre = number % DATA_CENTRES
    region = f"region-{centre % REGIONS}"
    return region, f"{region}-{centre // REGIONS + 1}"


def member(number: int) -> members.Member:
    """Returns an entry instance."""
    region, data_centre = location(number)
    return members.Member(
        inner_address=f"10.{number // 250}.{number % 250}.7:8081",
        incarnation=f"19ae3f2c{number:04x}d1",
        region=region,
        data_centre=data_centre,
    )


def claim(number: int) -> claims.Claim:
    """Returns an entry instance's claim of itself."""
    return claims.Claim(member=member(number), number=1_764_000_000_000)


def listed_engine(number: int) -> instances.ListedInstance:
    """Returns an engine's line in the instance list."""
    region, data_centre = location(number)
    return instances.ListedInstance(
        address=f"10.{100 + number // 250}.{number % 250}.9:9000",
        role=instances.InstanceRole.MODEL_ENGINE,
        state=instances.InstanceState.LIVE,
        region=region,
        data_centre=data_centre,
        service=f"engines-{number % 5}",
    )


def template(number: int) -> documents.Template:
    """Returns a template with a cascade of two stages."""
    stages = tuple(
        documents.Stage(
            model=model,
            versions=(
                documents.VersionEntry(version="2026.10"),
                documents.VersionEntry(version="2026.11"),
            ),
        )
        for model in ("inspection-small", "inspection-large")
    )
    return documents.Template(
        team=f"team-{number // TEMPLATES_A_TEAM}",
        name=f"template-{number}",
        stages=stages,
    )


def team(number: int) -> documents.Team:
    """Returns a team with four tokens."""
    tokens = tuple(
        documents.TokenEntry(
            name=f"{role.value}-{number}",
            role=role,
            sha256=hashlib.sha256(f"{role.value}{number}".encode()).hexdigest(),
        )
        for role in documents.Role
    )
    return documents.Team(
        name=f"team-{number}",
        tokens=tokens,
        allowed_models=("inspection-small", "inspection-large"),
    )


def config_state(templates: int) -> state.ConfigState:
    """Returns a configuration with a number of templates."""
    templates_kept = [template(number) for number in range(templates)]
    teams = [team(n) for n in range(-(-templates // TEMPLATES_A_TEAM))]
    snapshot = documents.Snapshot(
        revision=1,
        fleet=documents.Fleet(),
        teams={t.name: t for t in teams},
        templates={
            documents.template_key(t.team, t.name): t for t in templates_kept
        },
    )
    revisions = {f"template/{key}": 1 for key in snapshot.templates}
    revisions |= {f"team/{name}": 1 for name in snapshot.teams}
    return state.ConfigState(snapshot=snapshot, document_revisions=revisions)


def caller_key(number: int) -> str:
    """Returns an idempotency key as long as a UUID."""
    return f"{number:08x}-53a1-4c1e-9f00-b7de5a0c11ff"


def _request_id(number: int) -> str:
    return f"req-19ae3f2c0001d1-{number}"


def _digest(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()[:32]


def claim_record(number: int) -> records.ClaimRecord:
    """Returns a claim."""
    return records.ClaimRecord(
        team=f"team-{number % 300}",
        key=caller_key(number),
        body_digest=_digest(number),
        request_id=_request_id(number),
        claimant=member(number % 420).incarnation,
    )


def finish_record(
    number: int, *, given_by_caller: bool = True, answer_bytes: int = 0
) -> records.FinishRecord:
    """Returns a bill, with a kept answer if `answer_bytes` is not 0."""
    answer = None
    if answer_bytes:
        answer = ledger.KeptAnswer(
            status=200,
            content_type="application/json",
            body=b"x" * answer_bytes,
        )
    return records.FinishRecord(
        team=f"team-{number % 300}",
        key=caller_key(number) if given_by_caller else _request_id(number),
        given_by_caller=given_by_caller,
        body_digest=_digest(number) if given_by_caller else "",
        request_id=_request_id(number),
        template=f"template-{number % 3000}",
        model_version=str(VERSION),
        prompt_tokens=400,
        output_tokens=214,
        cost_micros=2100,
        spent_micros=2400,
        answer=answer,
    )


def pin_record(number: int) -> records.PinRecord:
    """Returns a session's pin."""
    return records.PinRecord(
        team=f"team-{number % 300}",
        template=f"template-{number % 3000}",
        stage_index=1,
        session=caller_key(number),
        model_version=str(VERSION),
    )


def pin_request(number: int) -> records.PinRequest:
    """Returns a request for a session's pin."""
    return records.PinRequest(
        team=f"team-{number % 300}",
        template=f"template-{number % 3000}",
        stage_index=1,
        session=caller_key(number),
        proposed=str(VERSION),
    )


def row_key(number: int) -> str:
    """Returns the key of the log's row that holds a record."""
    return f"{log.partition_prefix(number % 64)}{number // 50:08d}"


@functools.cache
def metrics() -> metrics_module.Metrics:
    """Returns the metrics, which the library permits once per process."""
    return metrics_module.Metrics()


def record_event(ring: events.EventRing, number: int) -> None:
    """Records an event of a request."""
    ring.record(
        events.EventKind.REQUEST_DISPATCHED,
        _request_id(number),
        backend=f"10.100.{number % 250}.9:9000",
        version=str(VERSION),
        stage="1",
    )
