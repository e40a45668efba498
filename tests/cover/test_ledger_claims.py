"""Each key is run at most once under instance and store faults."""

import asyncio

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import records
from tests import ledger_cluster

MS = ledger_cluster.MS
SECOND = ledger_cluster.SECOND
WON = ledger.ClaimState.WON
RUNNING = ledger.ClaimState.RUNNING
ANSWERED = ledger.ClaimState.ANSWERED
UNKNOWN = ledger.ClaimState.UNKNOWN


class ClaimTest(ledger_cluster.ClusterCase):
    """Claims of one key from several instances."""

    settings = {"max_entries": 5}

    def claiming(
        self, instance, request_id, *, digest="d", key="k", patience=2
    ):
        return asyncio.ensure_future(
            instance.client.claim(
                ledger_cluster.identity(key, digest=digest),
                request_id=request_id,
                timeout=patience * SECOND,
            )
        )

    async def claim(self, instance, request_id, **options):
        work = self.claiming(instance, request_id, **options)
        return (await self.cluster.drive(work)).state

    async def assert_refused(
        self, instance, request_id, *, code=codes.Code.STORE_OUT, **options
    ):
        with self.assertRaises(errors.CodedError) as raised:
            await self.claim(instance, request_id, **options)
        self.assertIs(raised.exception.code, code)

    async def claims_in_log(self):
        found = await self.cluster.log_records()
        return [
            record.request_id
            for record in found
            if isinstance(record, records.ClaimRecord)
        ]

    async def test_a_retry_elsewhere_gets_the_first_ones_answer(self):
        """A caller's retry reaches another instance.

        It gets `RUNNING` while the first try runs and the first try's answer
        afterwards; a different body is refused. There is one bill.
        """
        self.assertEqual(await self.claim(self.one, "r1"), WON)
        self.assertEqual(await self.claim(self.other, "r2"), RUNNING)
        await self.cluster.drive(
            self.one.client.finish(
                bill=ledger_cluster.bill("k", request_id="r1"),
                answer=ledger_cluster.ANSWER,
                timeout=2 * SECOND,
            )
        )
        retried = await self.cluster.drive(self.claiming(self.other, "r3"))
        self.assertEqual(retried.state, ANSWERED)
        self.assertEqual(retried.answer, ledger_cluster.ANSWER)
        self.assertEqual(
            await self.claim(self.other, "r4", digest="other"),
            ledger.ClaimState.BODY_DIFFERS,
        )
        self.assertEqual(await self.cluster.billed(), ["k"])

    async def test_of_claims_at_once_one_wins(self):
        tries = [
            self.claiming(instance, f"r{number}")
            for number, instance in enumerate(self.cluster.instances.values())
        ]
        results = await self.cluster.drive(asyncio.gather(*tries))
        states = sorted(result.state.value for result in results)
        self.assertEqual(states, ["running", "running", "won"])

    async def test_holder_killed_between_commit_and_reply(self):
        """A holder dies after committing a claim and before its reply.

        The claim is sent again, to the successor, which has read it back from
        the log: it has won once, and no other claim can win.
        """
        self.cluster.table.faults.delay = 500 * MS
        won = self.claiming(self.one, "r1", patience=20)
        await self.cluster.pass_time(100 * MS)
        self.cluster.table.faults.delay = 0 * MS
        self.assertEqual(await self.claims_in_log(), ["r1"])
        self.assertFalse(won.done())
        self.cluster.kill(self.holder.address[0])
        self.assertEqual((await self.cluster.drive(won)).state, WON)
        self.assertEqual(await self.claim(self.other, "r2"), RUNNING)
        self.assertEqual(await self.claims_in_log(), ["r1"])

    async def test_frozen_holder_thaws_and_writes(self):
        """A holder is frozen with a pending claim until its lease expires.

        Another instance takes over. When the old holder thaws, it commits the
        claim to an unwritten row; the store must refuse, because the lease's
        row has changed.
        """
        self.cluster.network.freeze(self.holder.address)
        stale = asyncio.ensure_future(
            self.holder.ledger.service.append(
                0, [claim_record(self.holder, "r2")]
            )
        )
        await self.cluster.pass_time(10 * MS)
        await self.cluster.until(
            lambda: self.cluster.holder() not in (None, self.holder)
        )
        self.cluster.network.thaw(self.holder.address)
        [result] = await self.cluster.drive(stale)
        self.assertIsInstance(result, records.NotHolder)
        self.assertEqual(await self.claims_in_log(), [])
        self.assertEqual(await self.claim(self.holder, "r1"), WON)
        self.assertEqual(await self.claim(self.other, "r3"), RUNNING)
        self.assertEqual(await self.claims_in_log(), ["r1"])

    async def test_answer_lost_after_the_effect(self):
        """A commit takes effect and its reply is lost.

        The holder repeats the commit; the failed condition shows its own
        batch, so the claim is won and recorded once.
        """
        self.cluster.table.faults.lose_next_answers = 1
        self.assertEqual(await self.claim(self.one, "r1"), WON)
        self.assertEqual(await self.claims_in_log(), ["r1"])

    async def test_commit_that_takes_effect_late(self):
        """A commit in doubt takes effect a second later.

        The holder's repeated commit has the same conditions and succeeds, so
        the late one fails. A claim made meanwhile must not be overwritten.
        """
        self.cluster.table.faults.late_effect = SECOND
        first = self.claiming(self.one, "r1", patience=5)
        await self.cluster.pass_time(50 * MS)
        self.cluster.table.faults.late_effect = None
        self.assertEqual((await self.cluster.drive(first)).state, WON)
        self.assertEqual(await self.claim(self.one, "r2", key="k2"), WON)
        await self.cluster.pass_time(2 * SECOND)
        self.assertEqual(await self.claims_in_log(), ["r1", "r2"])
        self.assertEqual(await self.claim(self.other, "r3"), RUNNING)

    async def test_store_outage_refuses_claims_at_once_and_records_none(self):
        """The table service is down, and claims are refused as not run.

        Once the outage is detected no claim waits. Refused keys can be claimed
        afterwards, as nothing of them was recorded.
        """
        self.cluster.table.faults.down = True
        await self.assert_refused(self.one, "r1")
        await self.cluster.pass_time(3 * SECOND)
        before = self.cluster.clock.monotonic()
        for number in range(20):
            await self.assert_refused(self.other, f"s{number}")
        self.assertLess(self.cluster.clock.monotonic() - before, SECOND)
        self.assertEqual(self.other.client.unsettled, 0)
        self.cluster.table.faults.down = False
        await self.cluster.pass_time(8 * SECOND)
        self.assertEqual(await self.claim(self.one, "r2"), WON)

    async def test_claim_in_doubt_is_voided(self):
        """The reply to a claim is lost and the claim times out.

        The caller was told "not run", so the claim is voided once the holder
        is reachable, and a late copy of it must not win.
        """
        self.cluster.network.cut(self.holder.address, self.one.address)
        await self.assert_refused(self.one, "r1")
        self.assertEqual(await self.claims_in_log(), ["r1"])
        self.cluster.network.heal_all()
        await self.cluster.until(lambda: self.one.client.unsettled == 0)
        [late] = await self.cluster.drive(
            self.holder.ledger.service.append(0, [claim_record(self.one, "r1")])
        )
        self.assertNotEqual(late.state, WON)
        self.assertEqual(await self.claim(self.other, "r2"), WON)

    async def test_caller_that_leaves_while_claiming(self):
        """A caller disconnects while its claim is in flight.

        The claim takes effect but is never run; it must be voided, or retries
        would get `RUNNING` for ever.
        """
        self.cluster.table.faults.delay = 300 * MS
        leaving = self.claiming(self.one, "r1")
        await self.cluster.pass_time(100 * MS)
        leaving.cancel()
        await self.cluster.pass_time(10 * MS)
        await self.cluster.until(lambda: self.one.client.unsettled == 0)
        self.assertEqual(await self.claim(self.other, "r2"), WON)

    async def test_claimant_killed_while_running(self):
        """The instance that runs a request dies.

        Whether the backend server ran it is unknown, so retries get `UNKNOWN`
        and none may run it again, also after a take-over.
        """
        self.assertEqual(await self.claim(self.one, "r1"), WON)
        self.cluster.kill(self.one.address[0])
        self.assertEqual(await self.claim(self.other, "r2"), UNKNOWN)
        self.cluster.kill(self.holder.address[0])
        self.assertEqual(
            await self.claim(self.other, "r3", patience=20), UNKNOWN
        )

    async def test_lost_outcome_and_released_claim(self):
        identity = ledger_cluster.identity("k")
        self.assertEqual(await self.claim(self.one, "r1"), WON)
        await self.cluster.drive(
            self.one.client.release(identity, request_id="r1")
        )
        self.assertEqual(await self.claim(self.other, "r2"), WON)
        await self.cluster.drive(
            self.one.client.release(identity, request_id="r1")
        )
        self.assertEqual(await self.claim(self.one, "r3"), RUNNING)
        await self.cluster.drive(
            self.other.client.mark_unknown(identity, request_id="r2")
        )
        self.assertEqual(await self.claim(self.one, "r4"), UNKNOWN)

    async def test_drain_hands_over_at_once(self):
        """A holder drains and releases its lease.

        Its successor serves within a second, well before the lease would have
        expired, and knows the earlier claims.
        """
        self.assertEqual(await self.claim(self.one, "r1"), WON)
        self.cluster.members.remove(self.holder.member)
        await self.cluster.drive(self.holder.ledger.drain(timeout=SECOND))
        before = self.cluster.clock.monotonic()
        self.assertEqual(await self.claim(self.other, "r2"), RUNNING)
        passed = self.cluster.clock.monotonic() - before
        self.assertLess(passed, 1.5 * SECOND)

    async def test_full_partition_refuses_new_claims_only(self):
        for number in range(5):
            self.assertEqual(
                await self.claim(self.one, f"r{number}", key=f"k{number}"), WON
            )
        await self.assert_refused(
            self.one, "r9", key="k9", code=codes.Code.OVERLOADED
        )
        self.assertEqual(await self.claim(self.other, "s0", key="k0"), RUNNING)

    async def test_foreign_partition_number_is_refused(self):
        with self.assertRaisesRegex(ValueError, "partition is 7"):
            await self.holder.ledger.service.handle(
                ttypes.LedgerAppend(partition=7, records=[])
            )


def claim_record(instance, request_id: str) -> records.ClaimRecord:
    """Returns a claim as it reaches a holder."""
    return records.ClaimRecord(
        team="agency",
        key="k",
        body_digest="d",
        request_id=request_id,
        claimant=instance.member.incarnation,
    )
