"""Minimal dependencies of the request path."""

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.limits import admission
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import versions


class FirstVersion(versions.VersionChooser):
    """Always chooses the first version of a stage."""

    async def choose(self, *, template, stage_index, session, request_id):
        """Returns it."""
        stage = template.stages[stage_index]
        return versions.VersionChoice(
            model_version=engine.ModelVersion(
                model=stage.model, version=stage.versions[0].version
            ),
            rolling_out=False,
        )

    def check_dispatch(self, *, template, choice):
        """Permits every dispatch."""


class OneBackend(backends.BackendChooser):
    """Knows one backend server."""

    def __init__(self, address: str):
        self._backend = backends.Backend(
            address=address, region="r", data_centre="r-1", service="engines"
        )

    def choose(self, criteria):
        """Returns it."""
        return self._backend

    def started(self, backend):
        """Ignores it."""

    def finished(self, backend, *, outcome, duration, report=None, **more):
        """Ignores it."""


class NoRetries(admission.RetryBudget, admission.RetryBudgets):
    """Denies every retry: a failure ends the benchmark."""

    def budget_for(self, dependency):
        """Returns itself, the only budget."""
        return self

    def note_request(self):
        """Ignores it."""

    def try_spend(self):
        """Denies the retry."""
        return False


class InstantLedger(ledger.Ledger):
    """Discards all bills."""

    async def claim(self, identity, *, request_id, timeout):
        """Grants every claim."""
        return ledger.ClaimResult(state=ledger.ClaimState.WON)

    async def release(self, identity, *, request_id):
        """Does nothing."""

    async def finish(self, *, bill, answer, timeout):
        """Does nothing."""

    async def mark_unknown(self, identity, *, request_id):
        """Does nothing."""


class NoService(plain.PlainServiceConnector):
    """Has no plain services."""

    async def call(self, address, call):
        """Must not be called."""
        raise NotImplementedError


class NoRatings(ratings.RatingService):
    """Discards all rating tasks."""

    async def submit(self, tasks):
        """Does nothing."""

    async def ratings_after(self, cursor, *, limit=1000):
        """Returns none."""
        return []
