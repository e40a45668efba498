"""Whether a version has enough replicas for the share it is to get."""

from collections.abc import Callable

from nutmeghook.internal.orders import planning
from nutmeghook.internal.platform import engine
from nutmeghook.internal.routing import backends


class Readiness:
    """Counts replicas on the backend servers that this instance knows.

    On an instance that reads only a part of the fleet's reports the counts
    are of that part; the shares, which are compared, still hold.

    Args:
        known: Returns all known backend servers.
    """

    __slots__ = ("_known",)

    def __init__(self, *, known: Callable[[], list[backends.Backend]]):
        self._known = known

    def ready_replicas(self, model_version: engine.ModelVersion) -> int:
        """Returns how many engines can serve a version now."""
        return len(self._having(model_version))

    def is_ready_for(
        self, model_version: engine.ModelVersion, *, share_percent: float
    ) -> bool:
        """Tells whether a version may get a share without overload."""
        pools = {
            backend.service
            for backend in self._usable()
            if _serves_model(backend, model_version.model)
        }
        engines = sum(b.service in pools for b in self._usable())
        if not engines:
            return False
        wanted = planning.wanted_replicas(
            engines=engines, share=share_percent / 100
        )
        return self.ready_replicas(model_version) >= wanted

    def _usable(self) -> list[backends.Backend]:
        return [
            backend
            for backend in self._known()
            if backend.report is not None and not backend.leaving
        ]

    def _having(
        self, model_version: engine.ModelVersion
    ) -> list[backends.Backend]:
        return [b for b in self._usable() if model_version in b.report.loaded]


def _serves_model(backend: backends.Backend, model: str) -> bool:
    return any(version.model == model for version in backend.report.loaded)
