"""The share of engines on which each version should be loaded."""

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine

_WHOLE_PERCENT = 100.0


def desired_shares(
    snapshot: documents.Snapshot,
) -> dict[engine.ModelVersion, float]:
    """Returns each usable version's share of its model's engines, 0 to 1.

    Of the shares that templates give a version the largest counts. Reports
    don't carry the load of each version, and too many replicas cost memory
    where too few cost answers.
    """
    shares: dict[engine.ModelVersion, float] = {}
    for template in snapshot.templates.values():
        for stage in template.stages:
            for entry in stage.versions:
                version = engine.ModelVersion(
                    model=stage.model, version=entry.version
                )
                if _is_withdrawn(version, entry, snapshot):
                    continue
                share = _share(entry, stage, template) / _WHOLE_PERCENT
                shares[version] = max(shares.get(version, 0.0), share)
    return shares


def withdrawn_versions(
    snapshot: documents.Snapshot,
) -> frozenset[engine.ModelVersion]:
    """Returns the versions that are withdrawn in all templates naming them.

    A version that no template names is left out: an operator may have loaded
    it for a roll-out that is yet to be accepted.
    """
    withdrawn = set(snapshot.fleet.withdrawn)
    for template in snapshot.templates.values():
        for stage in template.stages:
            withdrawn.update(
                engine.ModelVersion(model=stage.model, version=entry.version)
                for entry in stage.versions
                if entry.state is documents.VersionState.WITHDRAWN
            )
    return frozenset(withdrawn - desired_shares(snapshot).keys())


def _is_withdrawn(
    version: engine.ModelVersion,
    entry: documents.VersionEntry,
    snapshot: documents.Snapshot,
) -> bool:
    return (
        entry.state is documents.VersionState.WITHDRAWN
        or version in snapshot.fleet.withdrawn
    )


def _share(
    entry: documents.VersionEntry,
    stage: documents.Stage,
    template: documents.Template,
) -> float:
    """Returns the share in percent that the replicas must be ready for.

    A version in roll-out is loaded for its next step, so that it can carry that
    step from the start. The serving versions stay ready for all traffic: the
    roll-out may be withdrawn at any time, and must not wait for loads then.
    """
    if entry.state is documents.VersionState.ROLLING_OUT:
        steps = template.roll_out.steps_percent
        later = [step for step in steps if step > entry.share_percent]
        return min(later, default=_WHOLE_PERCENT)
    if _has_roll_out(stage) and entry.share_percent > 0:
        return _WHOLE_PERCENT
    return entry.share_percent


def _has_roll_out(stage: documents.Stage) -> bool:
    return any(
        entry.state is documents.VersionState.ROLLING_OUT
        for entry in stage.versions
    )
