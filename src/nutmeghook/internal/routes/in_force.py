"""The configuration in force in this process; it never goes back."""

from nutmeghook.internal.observe import logs
from nutmeghook.internal.routes import model


class ConfigurationInForce:
    """Holds the newest configuration heard of from anyone.

    Attributes:
        current: None until the first one is heard of.
    """

    __slots__ = ("current",)

    def __init__(self):
        self.current: model.Configuration | None = None

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
