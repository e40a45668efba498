"""What the ledger concludes from the list of members."""

from nutmeghook.internal.membership import members as members_module


class Liveness:
    """Tells members that exist from those that are gone.

    An incarnation that this instance has never seen may be too new for its
    list: it is neither alive nor gone.
    """

    __slots__ = ("_members", "_seen")

    def __init__(self, *, members: members_module.MemberView):
        self._members = members
        self._seen: set[str] = set()

    def is_alive(self, incarnation: str) -> bool:
        """Whether an incarnation is a member now."""
        return incarnation in self._present()

    def is_gone(self, incarnation: str) -> bool:
        """Whether an incarnation was a member and is one no more."""
        present = self._present()
        return incarnation not in present and incarnation in self._seen

    def _present(self) -> set[str]:
        present = {member.incarnation for member in self._members.members()}
        self._seen |= present
        return present
