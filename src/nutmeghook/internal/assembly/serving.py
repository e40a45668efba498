"""Placeholder until the parts stand."""

from nutmeghook.internal.settings import loading


async def serve(settings: loading.Settings) -> int:
    """Runs an instance until it is told to stop."""
    return 0
