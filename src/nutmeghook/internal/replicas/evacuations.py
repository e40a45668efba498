"""Data centres that the operator is evacuating."""

from collections.abc import Callable
from collections.abc import Iterable

from nutmeghook.internal.observe import logs


class EvacuationRegistry:
    """The evacuations in force, as far as known here.

    Args:
        on_restored: Called with a data centre when its evacuation has ended.
    """

    __slots__ = ("_evacuated", "_on_restored")

    def __init__(
        self, *, on_restored: Callable[[str], None] = lambda name: None
    ):
        self._on_restored = on_restored
        self._evacuated: set[str] = set()

    def evacuate(self, data_centre: str) -> None:
        """Records that no requests may be sent to a data centre."""
        if data_centre in self._evacuated:
            return
        self._evacuated.add(data_centre)
        logs.note("data_centre:evacuated", data_centre=data_centre)

    def restore(self, data_centre: str) -> None:
        """Records that a data centre is in use again."""
        if data_centre not in self._evacuated:
            return
        self._evacuated.remove(data_centre)
        logs.note("data_centre:taken_back", data_centre=data_centre)
        self._on_restored(data_centre)

    def replace(self, evacuated: Iterable[str]) -> None:
        """Records the complete set of evacuations; others have ended."""
        named = set(evacuated)
        for data_centre in self._evacuated - named:
            self.restore(data_centre)
        for data_centre in named:
            self.evacuate(data_centre)

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether no requests may be sent to a data centre."""
        return data_centre in self._evacuated

    def all(self) -> frozenset[str]:
        """Returns the data centres under evacuation."""
        return frozenset(self._evacuated)
