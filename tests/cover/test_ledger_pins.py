"""A session keeps its version, on every instance and through outages."""

import asyncio

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import pins
from tests import ledger_cluster

SECOND = ledger_cluster.SECOND
V1 = engine.ModelVersion(model="small", version="1")
V2 = engine.ModelVersion(model="small", version="2")
V3 = engine.ModelVersion(model="small", version="3")


class PinTest(ledger_cluster.ClusterCase):
    """Pins asked for on several instances."""

    settings = {"window": 120 * SECOND}

    def pinning(
        self, instance, proposed, *, unusable=(), session="s", revision=1
    ):
        return asyncio.ensure_future(
            instance.ledger.pins.pin(
                pins.SessionKey(
                    team="agency",
                    template="lookup",
                    stage_index=0,
                    session=session,
                ),
                proposed=proposed,
                unusable=frozenset(unusable),
                revision=revision,
                timeout=15 * SECOND,
            )
        )

    async def pin(self, instance, proposed, **options):
        pinned = await self.cluster.drive(
            self.pinning(instance, proposed, **options)
        )
        return pinned.model_version

    async def test_first_proposal_stays_for_all(self):
        """Two instances propose versions at once, others later.

        All get the one that was recorded first, also after the holder died.
        """
        first, second = await self.cluster.drive(
            asyncio.gather(
                self.pinning(self.one, V1), self.pinning(self.other, V2)
            )
        )
        self.assertEqual(first, second)
        first = first.model_version
        self.assertEqual(await self.pin(self.holder, V3), first)
        self.cluster.kill(self.holder.address[0])
        late = self.cluster.start("d")
        self.assertEqual(await self.pin(late, V3), first)

    async def test_a_session_answered_during_an_outage_is_pinned_after_it(self):
        """The table service is down when a session begins; the only version
        answers it, unpinned. The service comes back, a new version rolls
        out, and another instance proposes it for the session. The session
        must stay on the version that answered it.
        """
        self.cluster.table.faults.down = True
        key = pins.SessionKey(
            team="agency", template="lookup", stage_index=0, session="s"
        )
        self.one.ledger.pins.pin_later(key, version=V1, revision=1)
        await self.cluster.clock.advance(20 * SECOND)
        self.cluster.table.faults.down = False
        await self.cluster.clock.advance(10 * SECOND)
        self.assertEqual(await self.pin(self.other, V2), V1)

    async def test_withdrawn_version_is_replaced_for_all(self):
        await self.pin(self.one, V1)
        self.assertEqual(await self.pin(self.other, V2, unusable=[V1]), V2)
        self.assertEqual(await self.pin(self.one, V3, unusable=[V1]), V2)
        self.assertEqual(await self.pin(self.holder, V3), V2)

    async def test_an_older_revision_can_not_replace_a_pin(self):
        """One instance pins a session to a version that revision 3 brought.

        Another still goes by revision 2, which lacks the version, and asks
        for another one. It is told the pin and the pin's revision, and so is
        a third instance after the holder has died. Under revision 4 the pin
        is replaced.
        """
        await self.pin(self.one, V2, revision=3)
        told = await self.cluster.drive(
            self.pinning(self.other, V1, unusable=[V2], revision=2)
        )
        self.assertEqual(told, pins.Pinned(model_version=V2, revision=3))
        self.cluster.kill(self.holder.address[0])
        late = self.cluster.start("d")
        told = await self.cluster.drive(
            self.pinning(late, V1, unusable=[V2], revision=2)
        )
        self.assertEqual(told, pins.Pinned(model_version=V2, revision=3))
        moved = await self.pin(late, V1, unusable=[V2], revision=4)
        self.assertEqual(moved, V1)

    async def test_a_session_that_was_moved_is_not_remembered_where_it_was(
        self,
    ):
        """Two instances have answered a session on a version that is then
        withdrawn. One of them has heard of it and moves the session. The
        other has not: were it to go by what it remembers, the caller's
        answers would change their version back and forth.
        """
        await self.pin(self.one, V2)
        await self.pin(self.other, V2)
        await self.pin(self.other, V1, unusable=[V2], revision=2)
        self.assertEqual(await self.pin(self.one, V2), V1)

    async def test_outage_serves_known_pins_and_refuses_new_ones(self):
        """The table service is down for longer than the leases last.

        A session's pin is served from the holder's memory, also to an
        instance that never asked before. A new session is refused.
        """
        await self.pin(self.one, V1)
        self.cluster.table.faults.down = True
        await self.cluster.pass_time(20 * SECOND)
        self.assertEqual(await self.pin(self.other, V2), V1)
        with self.assertRaises(errors.CodedError) as raised:
            await self.pin(self.other, V2, session="new")
        self.assertIs(raised.exception.code, codes.Code.STORE_OUT)
        self.cluster.table.faults.down = False
        await self.cluster.pass_time(10 * SECOND)
        self.assertEqual(await self.pin(self.other, V2, session="new"), V2)

    async def test_a_session_in_use_outlives_the_window(self):
        """A session is used now and then for five windows.

        Its pin is written again before it would be forgotten, so a take-over
        finds it; a session at rest is forgotten after the window.
        """
        await self.pin(self.one, V1)
        await self.pin(self.one, V1, session="resting")
        for _ in range(15):
            await self.cluster.pass_time(40 * SECOND)
            self.assertEqual(await self.pin(self.one, V2), V1)
        self.cluster.kill(self.holder.address[0])
        self.assertEqual(await self.pin(self.other, V2), V1)
        self.assertEqual(await self.pin(self.other, V2, session="resting"), V2)
