"""Sets a version's state and share in a template, and adjusts the others."""

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors


def uses(
    template: documents.Template, model_version: engine.ModelVersion
) -> bool:
    """Tells whether a template names a version."""
    models = {stage.model for stage in template.stages}
    return (
        model_version.model in models
        and state_of(template, model_version) is not None
    )


def state_of(
    template: documents.Template, model_version: engine.ModelVersion
) -> documents.VersionState | None:
    """Returns the state of a version in a template; None if not named."""
    stage = template.stages[stage_index(template, model_version)]
    for entry in stage.versions:
        if entry.version == model_version.version:
            return entry.state
    return None


def stage_index(
    template: documents.Template, model_version: engine.ModelVersion
) -> int:
    """Returns the index of the version's stage.

    Raises:
        errors.CodedError: `INVALID_TEMPLATE`, there is none.
    """
    for index, stage in enumerate(template.stages):
        if stage.model == model_version.model:
            return index
    raise invalid_template(
        f"template {template.name} has no stage of model {model_version.model}"
    )


def withdrawn_from(
    template: documents.Template, model_version: engine.ModelVersion
) -> documents.Template:
    """Returns a template in which a version takes no new work."""
    return with_entry(
        template, model_version, documents.VersionState.WITHDRAWN, 0.0
    )


def with_entry(
    template: documents.Template,
    model_version: engine.ModelVersion,
    entry_state: documents.VersionState,
    share_percent: float,
) -> documents.Template:
    """Sets one version's entry; the others split the remaining share."""
    index = stage_index(template, model_version)
    stage = template.stages[index]
    others = [e for e in stage.versions if e.version != model_version.version]
    remaining_percent = edits.FULL_SHARE_PERCENT - share_percent
    new_entry = documents.VersionEntry(
        version=model_version.version,
        state=entry_state,
        share_percent=share_percent,
    )
    versions = (*_scaled(others, remaining_percent), new_entry)
    stages = list(template.stages)
    stages[index] = msgspec.structs.replace(stage, versions=versions)
    return msgspec.structs.replace(template, stages=tuple(stages))


def _scaled(
    entries: list[documents.VersionEntry], total_percent: float
) -> list[documents.VersionEntry]:
    """Scales the shares of serving versions so that all sum to a total.

    Another version's roll-out keeps its share, because its exposure was
    evaluated at it, unless no serving version is left to take the rest.
    """
    receiving = [
        e for e in entries if e.state is documents.VersionState.SERVING
    ]
    kept_percent = sum(
        e.share_percent
        for e in entries
        if e.state is documents.VersionState.ROLLING_OUT
    )
    if not receiving or kept_percent > total_percent:
        receiving = [
            e
            for e in entries
            if e.state is not documents.VersionState.WITHDRAWN
        ]
        kept_percent = 0.0
    return _divided(entries, receiving, total_percent - kept_percent)


def _divided(
    entries: list[documents.VersionEntry],
    receiving: list[documents.VersionEntry],
    total_percent: float,
) -> list[documents.VersionEntry]:
    """Divides a total in proportion to the entries' present shares.

    If all shares are 0, the entries are former versions, and the one that
    served most recently gets everything. That is the last one, because
    `with_entry` appends each version it changes. Equal shares would bring back
    versions replaced long ago.
    """
    sum_percent = sum(entry.share_percent for entry in receiving)
    if sum_percent <= 0:
        receiving = receiving[-1:]
    divided = []
    for entry in entries:
        if entry in receiving:
            fraction = (
                entry.share_percent / sum_percent if sum_percent > 0 else 1
            )
            entry = msgspec.structs.replace(
                entry, share_percent=round(total_percent * fraction, 6)
            )
        divided.append(entry)
    return divided


def invalid_template(detail: str) -> errors.CodedError:
    """Returns the error for an edit that does not fit the template."""
    return errors.CodedError(code=codes.Code.INVALID_TEMPLATE, detail=detail)
