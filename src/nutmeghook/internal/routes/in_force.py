"""The configuration in force in this process."""

from collections.abc import Callable

from nutmeghook.internal.observe import logs
from nutmeghook.internal.routes import model


class ConfigurationInForce:
    """Holds the newest configuration received; versions never decrease.

    Attributes:
        current: None until the first one is received.
        newer_exists: Returns whether a peer reported a newer version that has
            not been received here yet.
    """

    __slots__ = ("current", "newer_exists")

    def __init__(self):
        self.current: model.Configuration | None = None
        self.newer_exists: Callable[[], bool] = _no_newer_version

    def offer(self, configuration: model.Configuration, *, source: str) -> bool:
        """Puts a configuration in force if it is newer than the current one.

        A full read of the table or a lagging peer may offer an older one, with
        which a removed API key would work again.

        Returns:
            Whether it was put in force.
        """
        current = self.current
        if current is not None and configuration.version <= current.version:
            return False
        self.current = configuration
        logs.note(
            "configuration:in_force",
            version=configuration.version,
            before=current.version if current else None,
            source=source,
        )
        return True


def _no_newer_version() -> bool:
    return False
