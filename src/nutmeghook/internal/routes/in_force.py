"""The configuration in force in this process; it never goes back."""

from collections.abc import Callable

from nutmeghook.internal.observe import logs
from nutmeghook.internal.routes import model


class ConfigurationInForce:
    """Holds the newest configuration heard of from anyone.

    Attributes:
        current: None until the first one is heard of.
        newer_exists: Tells whether a peer was heard to know a newer one that
            has not come here yet.
    """

    __slots__ = ("current", "newer_exists")

    def __init__(self):
        self.current: model.Configuration | None = None
        self.newer_exists: Callable[[], bool] = _nobody_knows_more

    def offer(self, configuration: model.Configuration, *, source: str) -> bool:
        """Puts a configuration in force if it is newer.

        The failure: a follower that reads all again, or a peer that lags,
        offers an older one. Taken, a removed key would work again.
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


def _nobody_knows_more() -> bool:
    return False
