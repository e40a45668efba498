"""Which incarnations are alive or gone, from the list of members."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.membership import members as members_module

_POLL_INTERVAL = datetime.timedelta(milliseconds=500)


class Liveness:
    """Distinguishes current members from former ones.

    An incarnation that this instance has never seen may be too new for its
    list, so it counts as neither alive nor gone.
    """

    __slots__ = ("_clock", "_members", "_seen")

    def __init__(
        self, *, members: members_module.MemberView, clock: clock_module.Clock
    ):
        self._members = members
        self._clock = clock
        self._seen: set[str] = set()

    async def run(self) -> None:
        """Records the members every 500 ms, until cancelled."""
        while True:
            self._present()
            await self._clock.sleep(_POLL_INTERVAL)

    def is_alive(self, incarnation: str) -> bool:
        """Whether an incarnation is a member now."""
        return incarnation in self._present()

    def is_gone(self, incarnation: str) -> bool:
        """Whether an incarnation was a member and no longer is."""
        present = self._present()
        return incarnation not in present and incarnation in self._seen

    def _present(self) -> set[str]:
        present = {member.incarnation for member in self._members.members()}
        self._seen |= present
        return present
