"""Keeps new sessions off a version that too few engines have loaded."""

from collections.abc import Callable

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.rollout import exposure

# Tells whether enough backend servers hold a version for a share in percent.
IsReady = Callable[[engine.ModelVersion, float], bool]


class ReadyExposureGate(exposure.ExposureGate):
    """Forwards to another gate only for versions that are loaded.

    A roll-out is accepted before any backend server has its version: loading
    takes minutes and waits for the weight store. Without this check the first
    sessions of its share would find no backend server and be refused.
    """

    __slots__ = ("_gate", "_is_ready")

    def __init__(self, *, gate: exposure.ExposureGate, is_ready: IsReady):
        self._gate = gate
        self._is_ready = is_ready

    def try_take(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> bool:
        """Takes allowance for one answer if the version is loaded."""
        share_percent = _share_percent(template, model_version)
        if not self._is_ready(model_version, share_percent):
            return False
        return self._gate.try_take(
            template=template, model_version=model_version
        )

    def take_regardless(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Counts an answer that is sent with or without allowance."""
        self._gate.take_regardless(
            template=template, model_version=model_version
        )

    def release(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Releases the allowance of an answer that will not be sent."""
        self._gate.release(template=template, model_version=model_version)


def _share_percent(
    template: documents.Template, model_version: engine.ModelVersion
) -> float:
    """Returns the share that the template gives the version now."""
    for stage in template.stages:
        if stage.model != model_version.model:
            continue
        for entry in stage.versions:
            if entry.version == model_version.version:
                return entry.share_percent
    return 0.0
