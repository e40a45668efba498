"""A small configuration, and a view of it that tests can replace."""

import datetime

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import tokens
from nutmeghook.internal.config import view

TOKEN = "token-of-agency"
OTHER_TOKEN = "token-of-roster"
VIEWER_TOKEN = "token-of-viewer"


def snapshot(**template_fields) -> documents.Snapshot:
    """A team `agency` with a template `review`, and a team without one."""
    stages = tuple(
        documents.Stage(
            model=model, versions=(documents.VersionEntry(version="1"),)
        )
        for model in ("small", "large")
    )
    template_fields.setdefault("stages", stages)
    template = documents.Template(
        team="agency", name="review", **template_fields
    )
    routes = (
        documents.PlainRoute(service="crew", path_prefix="/bookings"),
        documents.PlainRoute(
            service="crew", path_prefix="/bookings/open", repeatable=True
        ),
    )
    teams = [
        documents.Team(
            name="agency",
            tokens=(
                _token("calls", documents.Role.CALLER, TOKEN),
                _token("views", documents.Role.VIEWER, VIEWER_TOKEN),
            ),
            allowed_models=("small", "large"),
            plain_routes=routes,
        ),
        documents.Team(
            name="roster",
            tokens=(_token("calls", documents.Role.CALLER, OTHER_TOKEN),),
        ),
    ]
    return documents.Snapshot(
        revision=1,
        fleet=documents.Fleet(
            models=(
                documents.ModelEntry(
                    name="small",
                    prompt_token_cost_micros=1,
                    output_token_cost_micros=10,
                ),
                documents.ModelEntry(
                    name="large",
                    prompt_token_cost_micros=10,
                    output_token_cost_micros=100,
                ),
            )
        ),
        teams={team.name: team for team in teams},
        templates={documents.template_key("agency", "review"): template},
    )


def _token(name: str, role: documents.Role, text: str) -> documents.TokenEntry:
    return documents.TokenEntry(
        name=name, role=role, sha256=tokens.digest(text)
    )


class MutableConfigView(view.ConfigView):
    """A configuration that the test replaces."""

    def __init__(self, current: documents.Snapshot):
        self.current = current

    @property
    def snapshot(self):
        return self.current

    def confirmed_age(self):
        return datetime.timedelta()
