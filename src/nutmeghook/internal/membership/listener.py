"""Who hears what membership finds out."""

import abc

from nutmeghook.internal.membership import claims
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import table as table_module


class MembershipListener(abc.ABC):
    """Hears of claims, differences and suspicions as they come up."""

    @abc.abstractmethod
    def on_verdict(
        self, claim: claims.Claim, verdict: table_module.Verdict
    ) -> None:
        """Called for each claim that changed or contradicts something."""

    @abc.abstractmethod
    def on_difference(self, inner_address: str) -> None:
        """Called when a member believes in other members."""

    @abc.abstractmethod
    def on_suspicion(self, member: members_module.Member) -> None:
        """Called when this instance begins or ceases to suspect a member."""
