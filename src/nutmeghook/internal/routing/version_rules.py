"""Rules for which versions may run now; precedence is enforced only here.

docs/design/precedence.md gives the order and its reasons. `version_choice`
chooses among the versions that these rules permit.
"""

import dataclasses
import datetime
import enum

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors


class Standing(enum.Enum):
    """Whether the configuration permits a version; the first that applies."""

    NOT_ALLOWED = "not_allowed"
    WITHDRAWN = "withdrawn"
    NOT_LISTED = "not_listed"
    STALE = "stale"
    ROLLING_OUT = "rolling_out"
    SERVING = "serving"

    @property
    def usable(self) -> bool:
        """Whether new work may run on the version."""
        return self in (Standing.SERVING, Standing.ROLLING_OUT)


_REFUSAL_CODES = {
    Standing.NOT_ALLOWED: codes.Code.NOT_ALLOWED,
    Standing.WITHDRAWN: codes.Code.NO_CANDIDATE,
    Standing.NOT_LISTED: codes.Code.NO_CANDIDATE,
    Standing.STALE: codes.Code.STALE_CONFIG,
}
_STALE_RETRY_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ListedVersion:
    """A version that the newest template lists for a model.

    Attributes:
        share_percent: Its share of new sessions.
    """

    model_version: engine.ModelVersion
    standing: Standing
    share_percent: float


class VersionRules:
    """Applies the newest configuration, not a request's copy.

    A version may be withdrawn while a request waits in a queue. The template
    it was admitted under still names that version, and the caller would get
    its answer although the operator has withdrawn it.
    """

    __slots__ = ("_view",)

    def __init__(self, *, view: view_module.ConfigView):
        self._view = view

    @property
    def revision(self) -> int:
        """The revision of the configuration that the rules apply."""
        return self._view.snapshot.revision

    def standing(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> Standing:
        """Returns the standing of one version of a template now."""
        for listed in self.listed(template=template, model=model_version.model):
            if listed.model_version == model_version:
                return listed.standing
        return self._without_entry(template, model_version)

    def listed(
        self, *, template: documents.Template, model: str
    ) -> list[ListedVersion]:
        """Returns the versions of a model that the newest template lists."""
        current = self._view.snapshot.template(template.team, template.name)
        if current is None:
            return []
        return [
            self._listed(current, model, entry)
            for stage in current.stages
            if stage.model == model
            for entry in stage.versions
        ]

    def _listed(
        self,
        current: documents.Template,
        model: str,
        entry: documents.VersionEntry,
    ) -> ListedVersion:
        model_version = engine.ModelVersion(model=model, version=entry.version)
        forbidden = self._forbidden_fleet_wide(current.team, model_version)
        return ListedVersion(
            model_version=model_version,
            standing=forbidden or self._standing_in(current, entry),
            share_percent=entry.share_percent,
        )

    def _without_entry(
        self, template: documents.Template, model_version: engine.ModelVersion
    ) -> Standing:
        forbidden = self._forbidden_fleet_wide(template.team, model_version)
        return forbidden or Standing.NOT_LISTED

    def _forbidden_fleet_wide(
        self, team_name: str, model_version: engine.ModelVersion
    ) -> Standing | None:
        snapshot = self._view.snapshot
        team = snapshot.teams.get(team_name)
        if team is None or model_version.model not in team.allowed_models:
            return Standing.NOT_ALLOWED
        if model_version in snapshot.fleet.withdrawn:
            return Standing.WITHDRAWN
        return None

    def _standing_in(
        self, current: documents.Template, entry: documents.VersionEntry
    ) -> Standing:
        if entry.state is documents.VersionState.WITHDRAWN:
            return Standing.WITHDRAWN
        if self._is_too_stale_for(current, entry):
            return Standing.STALE
        if entry.state is documents.VersionState.ROLLING_OUT:
            return Standing.ROLLING_OUT
        return Standing.SERVING

    def _is_too_stale_for(
        self, current: documents.Template, entry: documents.VersionEntry
    ) -> bool:
        """Tells whether the template's freshness policy forbids the entry.

        A partitioned instance can't know that a version was withdrawn and
        would go on serving it. The policy bounds for how long, by the
        template's staleness limit.
        """
        if current.freshness is documents.FreshnessPolicy.KEEP_SERVING:
            return False
        age = self._view.confirmed_age()
        limit = datetime.timedelta(milliseconds=current.staleness_limit_ms)
        if age is not None and age <= limit:
            return False
        if current.freshness is documents.FreshnessPolicy.STOP_NEW_WORK:
            return True
        return entry.state is documents.VersionState.ROLLING_OUT


def refusal(
    standing: Standing, *, template: documents.Template, what: str
) -> errors.CodedError:
    """Returns the error for work that a standing forbids.

    Args:
        standing: Why; not a usable one.
        template: What the caller asked for.
        what: The model or version, for the error's text.
    """
    retry_after = _STALE_RETRY_AFTER if standing is Standing.STALE else None
    return errors.CodedError(
        code=_REFUSAL_CODES[standing],
        detail=f"{what} of template {template.name!r} is {standing.value}",
        retry_after=retry_after,
        run_state=codes.RunState.NOT_RUN,
    )
