"""Tells peers at once what an instance learns in the course of an order.

Two things can't wait for the store, or do without it: which sessions were
under way when the roll-out began, and bad answers. While the store is
away, each instance alone may know of too few to withdraw the version.
"""

from collections.abc import Callable
import datetime
import random

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.observe import logs
from nutmeghook.internal.version_plans import evidence as evidence_module
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.internal.version_plans import plan as plan_module
from nutmeghook.internal.version_plans import rollouts as rollouts_module

# Sessions may move 1.5 s after a roll-out's start; a word of one that may not
# is sent twice before, in case a datagram is lost.
TELL_EVERY = datetime.timedelta(milliseconds=250)
TIMES_TOLD = 2
# A digest takes up to 10 bytes, and a datagram should fit into one packet.
MOST_SESSIONS = 100
# Bad answers are also written to the store, so of a large fleet a part is
# told; sessions are told to all.
PEERS_TOLD_EVIDENCE = 24
# In bad answers. A slow one is about as much, and a datagram costs little.
_WORTH_TELLING = 0.5


class _Told:
    """What peers were told of one order.

    Attributes:
        positions: In the list of held sessions, after each of the last ticks.
        size: Of the evidence.
        weight: Of the evidence.
    """

    __slots__ = ("order_id", "positions", "size", "weight")

    def __init__(self, *, order_id: int):
        self.order_id = order_id
        self.positions = [0] * TIMES_TOLD
        self.weight = 0.0
        self.size = 0


class RollOutNews(gossip_senders.PeriodicGossipSender):
    """Sends and takes in news of open orders."""

    __slots__ = (
        "_addresses",
        "_instance_id",
        "_messages",
        "_orders",
        "_rollouts",
        "_told",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        rollouts: rollouts_module.RollOuts,
        orders: orders_module.OrderBook,
        messages: sealed_messages.SealedMessages,
        addresses: Callable[[], list[str]],
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        super().__init__(
            period=TELL_EVERY, clock=clock, random_source=random_source
        )
        self._instance_id = instance_id
        self._rollouts = rollouts
        self._orders = orders
        self._messages = messages
        self._addresses = addresses
        self._told: dict[str, _Told] = {}
        messages.register(ttypes.RollOutNews, self._receive)

    def send_update(self) -> None:
        """Tells peers what is new of each open order."""
        for order in self._orders.all():
            plan = self._rollouts.plan_of(order)
            if plan is not None and plan.is_open:
                self._tell_of(order, plan)

    def _tell_of(
        self, order: orders_module.RollOutOrder, plan: plan_module.PlanRow
    ) -> None:
        told = self._told.get(order.service)
        if told is None or told.order_id != order.order_id:
            told = _Told(order_id=order.order_id)
            self._told[order.service] = told
        self._tell_sessions(order, told)
        own = self._rollouts.evidence_of(order).own
        if self._is_news(own, told, plan):
            self._tell_evidence(order, own, told)

    def _tell_sessions(
        self, order: orders_module.RollOutOrder, told: _Told
    ) -> None:
        held = self._rollouts.held_sessions(order)
        first = told.positions.pop(0)
        sessions = held.own_since(first)
        told.positions.append(first + len(sessions))
        for start in range(0, len(sessions), MOST_SESSIONS):
            part = sessions[start : start + MOST_SESSIONS]
            self._messages.send(
                self._addresses(), self._news(order, sessions=part)
            )

    def _is_news(
        self,
        own: evidence_module.EvidenceRow,
        told: _Told,
        plan: plan_module.PlanRow,
    ) -> bool:
        """Tells whether peers are to hear now what was seen here.

        Before the last stretch that is all of it, good answers too: an
        instance without the store can't write its final report, and those
        that decide would count none of what it saw.
        """
        if own.weight >= told.weight + _WORTH_TELLING:
            return True
        is_due = self._rollouts.progress.is_final_report_due(plan)
        return is_due and own.size > told.size

    def _tell_evidence(
        self,
        order: orders_module.RollOutOrder,
        own: evidence_module.EvidenceRow,
        told: _Told,
    ) -> None:
        told.weight = own.weight
        told.size = own.size
        known = self._addresses()
        peers = self._random.sample(known, min(PEERS_TOLD_EVIDENCE, len(known)))
        self._messages.send(
            peers, self._news(order, evidence=msgspec.json.encode(own))
        )

    def _news(
        self,
        order: orders_module.RollOutOrder,
        *,
        sessions: list[int] | None = None,
        evidence: bytes | None = None,
    ) -> ttypes.RollOutNews:
        return ttypes.RollOutNews(
            sender_id=self._instance_id,
            service_name=order.service,
            order_id=order.order_id,
            held_sessions=sessions or [],
            evidence=evidence,
        )

    def _receive(self, message: ttypes.RollOutNews) -> None:
        """Takes in a peer's news.

        News may come before this instance has heard of the order; the peer's
        second message, or the store's row, makes up for what is dropped.
        """
        order = self._orders.of_service(message.service_name)
        if order is None or order.order_id != message.order_id:
            return
        self._rollouts.held_sessions(order).hear(message.held_sessions)
        if message.evidence is None:
            return
        try:
            counted = msgspec.json.decode(
                message.evidence, type=evidence_module.EvidenceRow
            )
        except msgspec.MsgspecError as error:
            logs.note("roll_out:bad_news", error=str(error))
            return
        self._rollouts.evidence_of(order).merge(message.sender_id, counted)
