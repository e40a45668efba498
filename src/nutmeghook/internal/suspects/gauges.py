"""Metrics of what is quarantined."""

from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.suspects import registry as registry_module


def set_gauges(
    metrics: metrics_module.Metrics, registry: registry_module.SuspectRegistry
) -> None:
    """Sets the numbers of quarantined requests and prompt parts."""
    quarantined = registry.quarantined()
    parts = sum(suspicion.is_part for suspicion in quarantined)
    metrics.set("quarantined_parts", parts)
    metrics.set("quarantined_requests", len(quarantined) - parts)
