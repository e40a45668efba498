"""Fakes of the plain service, the ledger and the rating service."""

import asyncio
import collections

from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dependencies import ratings as rating_service
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger


class FakeService(plain.PlainServiceConnector):
    """Raises or returns the next of `outcomes`, then answers 200."""

    def __init__(self):
        self.calls: list[tuple[str, plain.PlainCall]] = []
        self.outcomes: collections.deque = collections.deque()
        self.gate: asyncio.Event | None = None
        self.body = b"ok"

    async def call(self, address, call):
        self.calls.append((address, call))
        if self.gate is not None:
            await self.gate.wait()
        outcome = self.outcomes.popleft() if self.outcomes else 200
        if isinstance(outcome, Exception):
            raise outcome
        headers = (("Content-Type", "text/plain"), ("X-Crew", "7"))
        return plain.PlainAnswer(
            status=outcome, headers=headers, body=self.body
        )


class FakeLedger(ledger.Ledger):
    """Keeps claims and bills in memory, with errors set by the test."""

    def __init__(self):
        self.claims: dict[str, ledger.ClaimResult] = {}
        self.claim_error: errors.CodedError | None = None
        self.finish_error: errors.CodedError | None = None
        self.finish_gate: asyncio.Event | None = None
        self.bills: list[ledger.Bill] = []
        self.kept: list[ledger.KeptAnswer | None] = []
        self.released: list[str] = []
        self.unknown: list[str] = []

    async def claim(self, identity, *, request_id, timeout):
        if self.claim_error is not None:
            raise self.claim_error
        won = ledger.ClaimResult(state=ledger.ClaimState.WON)
        running = ledger.ClaimResult(state=ledger.ClaimState.RUNNING)
        result = self.claims.get(identity.key, won)
        self.claims.setdefault(identity.key, running)
        return result

    async def release(self, identity, *, request_id):
        self.released.append(identity.key)
        self.claims.pop(identity.key, None)

    async def finish(self, *, bill, answer, timeout):
        if self.finish_gate is not None:
            await self.finish_gate.wait()
        if self.finish_error is not None:
            raise self.finish_error
        self.bills.append(bill)
        self.kept.append(answer)
        self.claims[bill.identity.key] = ledger.ClaimResult(
            state=ledger.ClaimState.ANSWERED, answer=answer
        )

    async def mark_unknown(self, identity, *, request_id):
        self.unknown.append(identity.key)
        self.claims[identity.key] = ledger.ClaimResult(
            state=ledger.ClaimState.UNKNOWN
        )


class FakeRatings(rating_service.RatingService):
    """Keeps the submitted tasks."""

    def __init__(self):
        self.tasks: list[rating_service.RatingTask] = []
        self.fails: Exception | None = None

    async def submit(self, tasks):
        if self.fails is not None:
            raise self.fails
        self.tasks.extend(tasks)

    async def ratings_after(self, cursor, *, limit=1000):
        return []
