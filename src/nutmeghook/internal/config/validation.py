"""Validation rules for a whole configuration.

All faults are reported together. A change is refused only for faults that it
adds: a template that a fleet-wide withdrawal left without a version must not
block other teams' changes.
"""

from collections.abc import Iterator
import math
import re

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import faults
from nutmeghook.internal.config import field_rules
from nutmeghook.internal.config import template_rules

_SHA256 = re.compile(r"[0-9a-f]{64}")


def added_faults(
    before: documents.Snapshot, after: documents.Snapshot
) -> list[faults.FieldFault]:
    """Returns the faults of `after` that `before` did not have."""
    known = set(find_faults(before))
    return [fault for fault in find_faults(after) if fault not in known]


def find_faults(snapshot: documents.Snapshot) -> list[faults.FieldFault]:
    """Returns every fault of a configuration."""
    found = list(_fleet_faults(snapshot.fleet))
    found += _shared_token_faults(snapshot)
    for team in snapshot.teams.values():
        found += _team_faults(team, snapshot.fleet)
    for template in snapshot.templates.values():
        found += template_rules.template_faults(template, snapshot)
    return found


def _fleet_faults(fleet: documents.Fleet) -> Iterator[faults.FieldFault]:
    path = edits.FLEET_DOCUMENT
    names = [model.name for model in fleet.models]
    yield from field_rules.duplicate_faults(f"{path}.models", names)
    for index, model in enumerate(fleet.models):
        at = f"{path}.models[{index}]"
        if not field_rules.MODEL_NAME.fullmatch(model.name):
            yield field_rules.fault(
                f"{at}.name", model.name, field_rules.NAME_REMEDY
            )
        if model.prompt_token_cost_micros < 0:
            yield field_rules.fault(
                f"{at}.prompt_token_cost_micros",
                model.prompt_token_cost_micros,
                "give 0 or more",
            )
        if model.output_token_cost_micros < 0:
            yield field_rules.fault(
                f"{at}.output_token_cost_micros",
                model.output_token_cost_micros,
                "give 0 or more",
            )
    for index, withdrawn in enumerate(fleet.withdrawn):
        if not field_rules.MODEL_NAME.fullmatch(withdrawn.version):
            at = f"{path}.withdrawn[{index}].version"
            yield field_rules.fault(
                at, withdrawn.version, field_rules.NAME_REMEDY
            )


def _team_faults(
    team: documents.Team, fleet: documents.Fleet
) -> Iterator[faults.FieldFault]:
    path = edits.team_document(team.name)
    if not field_rules.NAME.fullmatch(team.name):
        yield field_rules.fault(
            f"{path}.name", team.name, field_rules.NAME_REMEDY
        )
    if not (math.isfinite(team.weight) and team.weight > 0):
        yield field_rules.fault(
            f"{path}.weight", team.weight, "give more than 0"
        )
    catalogue = {model.name for model in fleet.models}
    for index, model in enumerate(team.allowed_models):
        if model not in catalogue:
            yield field_rules.fault(
                f"{path}.allowed_models[{index}]",
                model,
                "name a model of the fleet's catalogue, or add it there first",
            )
    yield from field_rules.duplicate_faults(
        f"{path}.tokens", [t.name for t in team.tokens]
    )
    for index, token in enumerate(team.tokens):
        yield from _token_faults(f"{path}.tokens[{index}]", token)
    for index, route in enumerate(team.plain_routes):
        yield from _route_faults(f"{path}.plain_routes[{index}]", route)


def _token_faults(
    path: str, token: documents.TokenEntry
) -> Iterator[faults.FieldFault]:
    if not field_rules.NAME.fullmatch(token.name):
        yield field_rules.fault(
            f"{path}.name", token.name, field_rules.NAME_REMEDY
        )
    if not _SHA256.fullmatch(token.sha256):
        yield field_rules.fault(
            f"{path}.sha256",
            token.sha256,
            "give the SHA-256 of the token's text as 64 lower-case hex digits",
        )


def _shared_token_faults(
    snapshot: documents.Snapshot,
) -> Iterator[faults.FieldFault]:
    # A bearer token is looked up by its hash alone; a hash that two entries
    # share would authenticate the team that was indexed last.
    seen: set[str] = set()
    for team in snapshot.teams.values():
        for token in team.tokens:
            if token.sha256 in seen:
                path = f"{edits.team_document(team.name)}.tokens[{token.name}]"
                yield field_rules.fault(
                    f"{path}.sha256", token.sha256, "create a separate token"
                )
            seen.add(token.sha256)


def _route_faults(
    path: str, route: documents.PlainRoute
) -> Iterator[faults.FieldFault]:
    if not field_rules.NAME.fullmatch(route.service):
        yield field_rules.fault(
            f"{path}.service", route.service, field_rules.NAME_REMEDY
        )
    if not route.path_prefix.startswith("/"):
        yield field_rules.fault(
            f"{path}.path_prefix", route.path_prefix, "start with '/'"
        )
    yield from field_rules.common_faults(path, route)
