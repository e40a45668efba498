"""In-memory weight store with a limit on downloads."""

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import weights
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import faults as faults_module
from nutmeghook.standins import rate_limit

GRANTS_PER_S = 2.0


class MemoryWeights(weights.WeightStore):
    """Grants download tickets for the versions that it has.

    Attributes:
        sizes_bytes: The versions and their sizes; may be changed at any time.
    """

    __slots__ = ("_grant_limit", "_tickets", "faults", "sizes_bytes")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        sizes_bytes: dict[engine.ModelVersion, int],
        faults: faults_module.Faults | None = None,
        grants_per_s: float = GRANTS_PER_S,
    ):
        self.faults = faults or faults_module.Faults(clock=clock)
        self.sizes_bytes = dict(sizes_bytes)
        self._grant_limit = rate_limit.RateLimit(
            clock=clock, name="downloads", per_s=grants_per_s
        )
        self._tickets: dict[str, engine.ModelVersion] = {}

    async def describe(
        self, model_version: engine.ModelVersion
    ) -> weights.WeightInfo | None:
        """Returns a version's weights, or None for an unknown version."""
        await self.faults.before_read()
        return self._info(model_version)

    async def grant_download(
        self, model_version: engine.ModelVersion, address: str
    ) -> str:
        """Returns a ticket that lets the engine at `address` download."""
        return await self.faults.write(
            lambda: self._grant(model_version, address)
        )

    def redeem(self, ticket: str) -> weights.WeightInfo | None:
        """Returns the weights that a ticket grants; it is valid once."""
        model_version = self._tickets.pop(ticket, None)
        return self._info(model_version) if model_version else None

    def _info(
        self, model_version: engine.ModelVersion
    ) -> weights.WeightInfo | None:
        size_bytes = self.sizes_bytes.get(model_version)
        if size_bytes is None:
            return None
        return weights.WeightInfo(
            model_version=model_version, size_bytes=size_bytes
        )

    def _grant(self, model_version: engine.ModelVersion, address: str) -> str:
        if model_version not in self.sizes_bytes:
            raise failures.NotDoneError(
                f"model_version {model_version} has no weights here"
            )
        self._grant_limit.spend(1)
        ticket = f"ticket-{self._grant_limit.used}-{address}-{model_version}"
        self._tickets[ticket] = model_version
        return ticket
