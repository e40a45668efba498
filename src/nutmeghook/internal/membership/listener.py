"""The interface through which gossip and the detector report."""

import abc

from nutmeghook.internal.membership import claims
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import table as table_module


class MembershipListener(abc.ABC):
    """Is notified of claims, differences and suspicions."""

    @abc.abstractmethod
    def on_verdict(
        self, claim: claims.Claim, verdict: table_module.Verdict
    ) -> None:
        """Called for each claim that changed or contradicts the table."""

    @abc.abstractmethod
    def on_difference(self, inner_address: str) -> None:
        """Called when a member's set of running members differs."""

    @abc.abstractmethod
    def on_suspicion(self, member: members_module.Member) -> None:
        """Called when this instance starts or stops suspecting a member."""
