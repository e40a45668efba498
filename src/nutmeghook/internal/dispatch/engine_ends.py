"""Under which generations engines end, and which of them to stop."""

import datetime

import msgspec
import xxhash

from nutmeghook.internal.dependencies import engine as engine_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dispatch import attempts as attempts_module
from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.foundation import identities
from nutmeghook.internal.suspects import registry as registry_module

# An engine that lives answers this within a few milliseconds.
_ASKING_TIMEOUT = datetime.timedelta(milliseconds=350)
# Engines don't tell their starts apart, and need longer to start. So all ends
# of one address within this are one end, whichever instance notices it.
_SAME_END_S = 10


class EngineEnds:
    """Holds the end of an engine against the generations that it had."""

    __slots__ = ("_clock", "_connector", "_registry")

    def __init__(
        self,
        *,
        registry: registry_module.SuspectRegistry,
        connector: engine_module.EngineConnector,
        clock: clock_module.Clock,
    ):
        self._registry = registry
        self._connector = connector
        self._clock = clock

    def is_suspect(self, request: requests.GenerationRequest) -> bool:
        """Tells whether an engine has ended under a request."""
        return not self._registry.is_empty and self._registry.is_suspect(
            _identity(request)
        )

    def is_quarantined(self, request: requests.GenerationRequest) -> bool:
        """Tells whether a request is to be sent to no engine.

        Its identity takes its whole prompt, and there is seldom a suspect.
        """
        return not self._registry.is_empty and self._registry.is_quarantined(
            _identity(request)
        )

    def check(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
    ) -> None:
        """Checks that a request may be sent to an engine.

        The failure: each of its attempts ends another engine, with all that
        it generates for others. It gets none, but for the one of a copy that
        is sent on trial.

        Raises:
            errors.CodedError: It is quarantined.
        """
        if not self.is_quarantined(request):
            return
        identity = _identity(request)
        if not progress.attempts and self._registry.is_probe_due(identity):
            return
        detail = "backend servers end under this request"
        if progress.possibly_run:
            raise errors.CodedError(
                code=codes.Code.BACKEND_FAILED, detail=detail
            )
        raise errors.CodedError(
            code=codes.Code.QUARANTINED,
            detail=detail,
            retry_after=self._registry.refused_for(identity),
        )

    def note_sent(self, request: requests.GenerationRequest) -> None:
        """Takes in that a request is sent: on trial, if it is quarantined."""
        if self.is_quarantined(request):
            self._registry.try_probe(_identity(request))

    def note_answered(self, request: requests.GenerationRequest) -> None:
        """Takes in that an engine ran a request to its end."""
        self._registry.note_answered(_identity(request))

    async def note_failed(
        self,
        request: requests.GenerationRequest,
        attempt: attempts_module.Attempt,
        error: attempts_module.AttemptError,
    ) -> None:
        """Takes in how an attempt ended that gave no whole answer.

        A lost connection alone says little, so the engine is asked.
        """
        if not error.ran:
            return
        address = attempt.backend.address
        if not attempt.backend.leaving and await self._has_ended(address):
            self._registry.note_crash(
                _identity(request),
                replica_hash=self._end_hash(address),
                begun=attempt.next_token > 0,
            )

    async def _has_ended(self, address: str) -> bool:
        engine = self._connector.connect(address)
        try:
            await self._clock.wait_for(engine.load_report(), _ASKING_TIMEOUT)
        except failures.NotDoneError as error:
            return not (error.overloaded or error.leaving)
        except (failures.OutcomeUnknownError, TimeoutError):
            return False
        return False

    def _end_hash(self, address: str) -> int:
        span = int(self._clock.now().timestamp()) // _SAME_END_S
        return xxhash.xxh32_intdigest(f"{address}/{span}".encode()) >> 1


def _identity(request: requests.GenerationRequest) -> bytes:
    return identities.identity_of(
        path=request.template.name,
        caller=request.team.name,
        body=msgspec.json.encode((request.messages, request.max_tokens)),
    )
