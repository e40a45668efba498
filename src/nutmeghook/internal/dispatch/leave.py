"""What a stage's further attempt needs, asked in one place."""

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dispatch import engine_ends
from nutmeghook.internal.dispatch import stage_calls
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission as admission_module
from nutmeghook.internal.routing import backends as backends_module
from nutmeghook.internal.routing import versions as versions_module

MAX_ATTEMPTS_PER_STAGE = 4


class AttemptLeave:
    """Asks configuration, backend servers and retry budget for an attempt."""

    __slots__ = ("_backends", "_config", "_ends", "_retry_budgets", "_versions")

    def __init__(
        self,
        *,
        config: view_module.ConfigView,
        versions: versions_module.VersionChooser,
        backends: backends_module.BackendChooser,
        retry_budgets: admission_module.RetryBudgets,
        ends: engine_ends.EngineEnds,
    ):
        self._ends = ends
        self._config = config
        self._versions = versions
        self._backends = backends
        self._retry_budgets = retry_budgets

    def template_now(self, call: stage_calls.StageCall) -> documents.Template:
        """Returns the request's template as it is in force.

        Raises:
            errors.CodedError: It was removed.
        """
        asked = call.request.template
        template = self._config.snapshot.template(asked.team, asked.name)
        if template is None:
            raise errors.CodedError(
                code=codes.Code.UNKNOWN_TEMPLATE,
                detail=f"template {asked.name!r} was removed meanwhile",
            )
        return template

    def check_version(self, call: stage_calls.StageCall) -> None:
        """Checks that the version chosen may be sent to right now.

        Raises:
            errors.CodedError: It may not.
        """
        self._versions.check_dispatch(
            template=self.template_now(call), choice=call.choice
        )

    def check_send(
        self,
        call: stage_calls.StageCall,
        choice: versions_module.VersionChoice,
        backend: backends_module.Backend,
    ) -> None:
        """Checks as an attempt's first byte is about to leave.

        The failure: version and backend server were chosen, then a connection
        had to be made, or the process was stopped for seconds. Meanwhile the
        version was withdrawn or the server left, and it got the work after
        the bound all the same.

        Raises:
            failures.WithheldError: It may not leave; choose anew.
        """
        try:
            self._versions.check_dispatch(
                template=self.template_now(call), choice=choice
            )
        except errors.CodedError as error:
            raise failures.WithheldError(str(error)) from error
        if not self._backends.may_send(backend):
            raise failures.WithheldError(
                f"{backend.address} left, or this instance stood still"
            )

    def budget(
        self, call: stage_calls.StageCall
    ) -> admission_module.RetryBudget:
        """Returns the retry budget of the model chosen."""
        return self._retry_budgets.budget_for(
            f"model {call.choice.model_version.model}"
        )

    def try_beside(
        self, call: stage_calls.StageCall, at_work: backends_module.Backend
    ) -> backends_module.Backend | None:
        """Takes leave for one more attempt while one is at work.

        The budget is asked last: leave that is taken for nothing would be
        missing where a request needs it.
        """
        if self._ends.is_quarantined(call.request):
            return None
        try:
            self.check_version(call)
        except errors.CodedError:
            return None
        other = self._backends.choose(
            stage_calls.backend_criteria(call, at_work.address)
        )
        if other is None or not self.budget(call).try_spend():
            return None
        return other

    def try_grant(
        self, call: stage_calls.StageCall, at_work: backends_module.Backend
    ) -> bool:
        """Takes leave to go on elsewhere than at the engine at work.

        The failure: an engine couldn't be reached for half a second. It was
        left after three resumes in vain, and only then version, budget and
        backend servers were asked. One of them refused, and the caller's
        answer was cut, though the engine still had it. So the attempt that
        follows is granted whole, backend server included, before the one at
        work is given up; it is sent at once, and nothing is asked again.
        """
        if call.failed_attempts + 1 >= MAX_ATTEMPTS_PER_STAGE:
            return False
        call.granted = self.try_beside(call, at_work)
        return call.granted is not None
