"""Permits further attempts: whether, and where, another one is made."""

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dispatch import engine_crashes
from nutmeghook.internal.dispatch import stage_calls
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission as admission_module
from nutmeghook.internal.routing import backends as backends_module
from nutmeghook.internal.routing import versions as versions_module

MAX_ATTEMPTS_PER_STAGE = 4


class RetryPermission:
    """Permits attempts by configuration, backend servers and retry budget."""

    __slots__ = (
        "_backends",
        "_config",
        "_crashes",
        "_retry_budgets",
        "_versions",
    )

    def __init__(
        self,
        *,
        config: view_module.ConfigView,
        versions: versions_module.VersionChooser,
        backends: backends_module.BackendChooser,
        retry_budgets: admission_module.RetryBudgets,
        crashes: engine_crashes.EngineCrashDetector,
    ):
        self._crashes = crashes
        self._config = config
        self._versions = versions
        self._backends = backends
        self._retry_budgets = retry_budgets

    def template_now(self, call: stage_calls.StageCall) -> documents.Template:
        """Returns the request's template as it is configured now.

        Raises:
            errors.CodedError: It was removed.
        """
        asked = call.request.template
        template = self._config.snapshot.template(asked.team, asked.name)
        if template is None:
            raise errors.CodedError(
                code=codes.Code.UNKNOWN_TEMPLATE,
                detail=f"template {asked.name!r} was removed",
            )
        return template

    def check_version(self, call: stage_calls.StageCall) -> None:
        """Checks that requests may be sent to the chosen version now.

        Raises:
            errors.CodedError: They may not.
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
        """Checks version and backend server just before the first byte is sent.

        Between the choice and the send, a connection has to be made and the
        process can be stopped for seconds. Meanwhile the version may have been
        withdrawn, or the backend server may have left.

        Raises:
            failures.WithheldError: It must not be sent; choose again.
        """
        try:
            self._versions.check_dispatch(
                template=self.template_now(call), choice=choice
            )
        except errors.CodedError as error:
            raise failures.WithheldError(str(error)) from error
        if not self._backends.may_send(backend):
            raise failures.WithheldError(
                f"{backend.address} left, or this instance was stalled"
            )

    def budget(
        self, call: stage_calls.StageCall
    ) -> admission_module.RetryBudget:
        """Returns the retry budget of the chosen model."""
        return self._retry_budgets.budget_for(
            f"model {call.choice.model_version.model}"
        )

    def try_permit_elsewhere(
        self, call: stage_calls.StageCall, current: backends_module.Backend
    ) -> backends_module.Backend | None:
        """Permits one more attempt while one is in progress.

        The budget is spent last, so that no retry is spent on an attempt that
        is then not made.

        Returns:
            The backend server to send it to; None if it is not permitted.
        """
        if self._crashes.is_quarantined(call.request):
            return None
        try:
            self.check_version(call)
        except errors.CodedError:
            return None
        other = self._backends.choose(
            stage_calls.backend_criteria(call, current.address)
        )
        if other is None or not self.budget(call).try_spend():
            return None
        return other

    def try_grant(
        self, call: stage_calls.StageCall, current: backends_module.Backend
    ) -> bool:
        """Permits continuing at another engine than the current one.

        An engine that is unreachable for half a second still has the answer,
        so it must not be abandoned for an attempt that is then refused. The
        next attempt is permitted, backend server included, before the current
        one is abandoned; it is sent at once, and nothing is checked again.
        """
        if call.failed_attempts + 1 >= MAX_ATTEMPTS_PER_STAGE:
            return False
        call.granted = self.try_permit_elsewhere(call, current)
        return call.granted is not None
