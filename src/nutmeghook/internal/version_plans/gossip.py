"""Gossips what an instance learns during an order.

Two things are sent to peers directly: which sessions were under way when the
roll-out began, which can't wait for the store, and bad answers, of which each
instance alone may know too few to withdraw the version during a store outage.
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

# Sessions may move 1.5 s after a roll-out's start. Before that a pinned session
# is sent twice, in case a datagram is lost.
GOSSIP_PERIOD = datetime.timedelta(milliseconds=250)
SENDS_PER_SESSION = 2
# A digest takes up to 10 bytes, and a datagram should fit into one packet.
MAX_SESSIONS_PER_DATAGRAM = 100
# Number of peers that evidence is sent to. It is also written to the store, so
# a part of a large fleet suffices; sessions are sent to all peers.
EVIDENCE_FANOUT = 24
# Evidence is sent once its weight has grown by this, in bad answers. A slow
# answer weighs about as much, and a datagram costs little.
_MIN_WEIGHT_GAIN = 0.5


class _SentState:
    """What was sent to peers about one order.

    Attributes:
        positions: In the list of pinned sessions, after each of the last
            updates.
        size: Of the evidence last sent.
        weight: Of the evidence last sent.
    """

    __slots__ = ("order_id", "positions", "size", "weight")

    def __init__(self, *, order_id: int):
        self.order_id = order_id
        self.positions = [0] * SENDS_PER_SESSION
        self.weight = 0.0
        self.size = 0


class RollOutGossip(gossip_senders.PeriodicGossipSender):
    """Sends and receives updates of open orders."""

    __slots__ = (
        "_addresses",
        "_instance_id",
        "_messages",
        "_orders",
        "_rollouts",
        "_sent",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        rollouts: rollouts_module.RollOuts,
        orders: orders_module.OrderRegistry,
        messages: sealed_messages.SealedMessages,
        addresses: Callable[[], list[str]],
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        super().__init__(
            period=GOSSIP_PERIOD, clock=clock, random_source=random_source
        )
        self._instance_id = instance_id
        self._rollouts = rollouts
        self._orders = orders
        self._messages = messages
        self._addresses = addresses
        self._sent: dict[str, _SentState] = {}
        messages.register(ttypes.RollOutNews, self._receive)

    def send_update(self) -> None:
        """Sends peers what is new about each open order."""
        for order in self._orders.all():
            plan = self._rollouts.plan_of(order)
            if plan is not None and plan.is_open:
                self._send_order_updates(order, plan)

    def _send_order_updates(
        self, order: orders_module.RollOutOrder, plan: plan_module.PlanRow
    ) -> None:
        sent = self._sent.get(order.service)
        if sent is None or sent.order_id != order.order_id:
            sent = _SentState(order_id=order.order_id)
            self._sent[order.service] = sent
        self._send_sessions(order, sent)
        own = self._rollouts.evidence_of(order).own
        if self._is_evidence_due(own, sent, plan):
            self._send_evidence(order, own, sent)

    def _send_sessions(
        self, order: orders_module.RollOutOrder, sent: _SentState
    ) -> None:
        pinned = self._rollouts.pinned_sessions(order)
        first = sent.positions.pop(0)
        sessions = pinned.own_since(first)
        sent.positions.append(first + len(sessions))
        for start in range(0, len(sessions), MAX_SESSIONS_PER_DATAGRAM):
            batch = sessions[start : start + MAX_SESSIONS_PER_DATAGRAM]
            self._messages.send(
                self._addresses(), self._message(order, sessions=batch)
            )

    def _is_evidence_due(
        self,
        own: evidence_module.EvidenceRow,
        sent: _SentState,
        plan: plan_module.PlanRow,
    ) -> bool:
        """Tells whether this instance's evidence is to be sent now.

        When the final report is due, good answers are sent too: an instance
        that can't reach the store can't write the report, and the instances
        that decide would miss all its answers.
        """
        if own.weight >= sent.weight + _MIN_WEIGHT_GAIN:
            return True
        is_due = self._rollouts.progress.is_final_report_due(plan)
        return is_due and own.size > sent.size

    def _send_evidence(
        self,
        order: orders_module.RollOutOrder,
        own: evidence_module.EvidenceRow,
        sent: _SentState,
    ) -> None:
        sent.weight = own.weight
        sent.size = own.size
        known = self._addresses()
        peers = self._random.sample(known, min(EVIDENCE_FANOUT, len(known)))
        self._messages.send(
            peers, self._message(order, evidence=msgspec.json.encode(own))
        )

    def _message(
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
        """Applies a peer's update.

        An update that arrives before this instance knows the order is dropped;
        the peer's second message, or the store's row, makes up for it.
        """
        order = self._orders.of_service(message.service_name)
        if order is None or order.order_id != message.order_id:
            return
        self._rollouts.pinned_sessions(order).receive(message.held_sessions)
        if message.evidence is None:
            return
        try:
            counted = evidence_module.decode(message.evidence)
        except ValueError as error:
            logs.note("roll_out:bad_news", error=str(error))
            return
        self._rollouts.evidence_of(order).merge(message.sender_id, counted)
