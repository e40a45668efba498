"""One run a key, whatever happens to the instances and the store."""

import unittest

from nutmeghook.internal.ledger import ledger
from tests import ledger_cluster

WON = ledger.ClaimState.WON
RUNNING = ledger.ClaimState.RUNNING
ANSWERED = ledger.ClaimState.ANSWERED
UNKNOWN = ledger.ClaimState.UNKNOWN
TIMEOUT = 2 * ledger_cluster.SECOND


class ClaimTest(unittest.IsolatedAsyncioTestCase):
    """Claims of one key from several instances."""

    async def asyncSetUp(self):
        self.cluster = ledger_cluster.Cluster()
        for name in "abc":
            self.cluster.start(name)
        self.holder = await self.cluster.until_held()

    async def asyncTearDown(self):
        await self.cluster.stop()

    async def claim(self, instance, key, request_id, *, digest="d"):
        result = await self.cluster.drive(
            instance.client.claim(
                ledger_cluster.identity(key, digest=digest),
                request_id=request_id,
                timeout=TIMEOUT,
            )
        )
        return result.state

    async def finish(self, instance, key, request_id):
        await self.cluster.drive(
            instance.client.finish(
                bill=ledger_cluster.bill(key, request_id=request_id),
                answer=ledger_cluster.ANSWER,
                timeout=TIMEOUT,
            )
        )

    async def test_a_retry_elsewhere_gets_the_first_ones_answer(self):
        one, other = self.cluster.others(self.holder)
        self.assertEqual(await self.claim(one, "k", "r1"), WON)
        self.assertEqual(await self.claim(other, "k", "r2"), RUNNING)
        await self.finish(one, "k", "r1")
        retried = await self.cluster.drive(
            other.client.claim(
                ledger_cluster.identity("k"), request_id="r3", timeout=TIMEOUT
            )
        )
        self.assertEqual(retried.state, ANSWERED)
        self.assertEqual(retried.answer, ledger_cluster.ANSWER)
        self.assertEqual(
            await self.claim(other, "k", "r4", digest="other"),
            ledger.ClaimState.BODY_DIFFERS,
        )
        self.assertEqual(await self.cluster.billed(), ["k"])
