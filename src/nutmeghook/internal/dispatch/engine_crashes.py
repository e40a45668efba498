"""Detects generations that crash engines, and quarantines them."""

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

# A live engine answers within a few milliseconds.
_PROBE_TIMEOUT = datetime.timedelta(milliseconds=350)
# Engines do not report an incarnation, and take longer than this to start. So
# all crashes at one address within this time count as one, whichever instance
# notices them.
_SAME_CRASH_S = 10
# Messages of a conversation that are suspects; bounds what a request adds.
_MAX_PARTS = 16


class EngineCrashDetector:
    """Attributes the crash of an engine to the generations that it ran."""

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
        """Tells whether an engine has crashed while it ran a request."""
        return not self._registry.is_empty and self._registry.is_suspect(
            _identity(request), _part_identities(request)
        )

    def is_quarantined(self, request: requests.GenerationRequest) -> bool:
        """Tells whether a request must not be sent to any engine.

        The registry is usually empty, and computing an identity hashes the
        whole prompt, so that is done only if there is a suspect.
        """
        return not self._registry.is_empty and self._registry.is_quarantined(
            _identity(request), _part_identities(request)
        )

    def check(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
    ) -> None:
        """Checks that a request may be sent to an engine.

        Each attempt of a quarantined request could crash another engine, with
        all that it generates for others. So it gets no attempt, except for one
        copy that is sent as a probe.

        Raises:
            errors.CodedError: It is quarantined.
        """
        if not self.is_quarantined(request):
            return
        identity, parts = _identity(request), _part_identities(request)
        if not progress.attempts and self._registry.is_probe_due(
            identity, parts
        ):
            return
        detail = "backend servers crash while running this request"
        if progress.possibly_run:
            raise errors.CodedError(
                code=codes.Code.BACKEND_FAILED, detail=detail
            )
        raise errors.CodedError(
            code=codes.Code.QUARANTINED,
            detail=detail,
            retry_after=self._registry.refused_for(identity, parts),
        )

    def note_sent(self, request: requests.GenerationRequest) -> None:
        """Records that a request is sent: as a probe, if it is quarantined."""
        if self.is_quarantined(request):
            self._registry.try_probe(
                _identity(request), _part_identities(request)
            )

    def note_answered(self, request: requests.GenerationRequest) -> None:
        """Records that an engine completed a request."""
        self._registry.note_answered(
            _identity(request), _part_identities(request)
        )

    async def note_failed(
        self,
        request: requests.GenerationRequest,
        attempt: attempts_module.Attempt,
        error: attempts_module.AttemptError,
    ) -> None:
        """Records an attempt that ended without a complete answer.

        A lost connection does not prove a crash, so the engine is probed.
        """
        if not error.ran:
            return
        address = attempt.backend.address
        if not attempt.backend.leaving and await self._has_crashed(address):
            self._registry.note_crash(
                _identity(request),
                replica_hash=self._crash_hash(address),
                begun=attempt.next_token > 0,
                sent_at=attempt.started_at,
                parts=_part_identities(request),
            )

    async def _has_crashed(self, address: str) -> bool:
        engine = self._connector.connect(address)
        try:
            await self._clock.wait_for(engine.load_report(), _PROBE_TIMEOUT)
        except failures.NotDoneError as error:
            return not (error.overloaded or error.leaving)
        except (failures.OutcomeUnknownError, TimeoutError):
            return False
        return False

    def _crash_hash(self, address: str) -> int:
        span = int(self._clock.now().timestamp()) // _SAME_CRASH_S
        return xxhash.xxh32_intdigest(f"{address}/{span}".encode()) >> 1


def _identity(request: requests.GenerationRequest) -> bytes:
    return identities.identity_of(
        path=request.template.name,
        caller=request.team.name,
        body=msgspec.json.encode((request.messages, request.max_tokens)),
    )


def _part_identities(request: requests.GenerationRequest) -> list[bytes]:
    """Returns the identities of the messages but the last.

    A conversation sends them again at each turn, and a template's instructions
    stand in all its requests.
    """
    return [
        identities.part_identity_of(message.role, message.content)
        for message in request.messages[:-1][:_MAX_PARTS]
    ]
