"""A session keeps its version on every instance and during outages."""

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
    """Pins requested on several instances."""

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
        """Instances that propose different versions get the same pin.

        The first recorded proposal holds, also after the holder has died.
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
        """A session is answered without a pin while the table service is
        down. Unless its version is pinned after the outage, an instance that
        proposes a new version would move the session.
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
        """A session is pinned to a version that revision 3 introduced.

        An instance at revision 2, which lacks the version, must get that pin
        and its revision, also after a take-over. At revision 4 the pin may be
        replaced.
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
        """A version is withdrawn, and one instance moves a session off it.
        If an instance that has not received the withdrawal used its cached
        pin, the session would switch back and forth.
        """
        await self.pin(self.one, V2)
        await self.pin(self.other, V2)
        await self.pin(self.other, V1, unusable=[V2], revision=2)
        self.assertEqual(await self.pin(self.one, V2), V1)

    async def test_outage_serves_known_pins_and_refuses_new_ones(self):
        """The table service is down for longer than a lease's duration.

        A known pin is served from the holder's memory, also to an instance
        without a cached copy. A new session is refused.
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
        """A session is used regularly for five windows.

        Its pin is written again before it expires, so a take-over finds it;
        the pin of an idle session expires after the window.
        """
        await self.pin(self.one, V1)
        await self.pin(self.one, V1, session="resting")
        for _ in range(15):
            await self.cluster.pass_time(40 * SECOND)
            self.assertEqual(await self.pin(self.one, V2), V1)
        self.cluster.kill(self.holder.address[0])
        self.assertEqual(await self.pin(self.other, V2), V1)
        self.assertEqual(await self.pin(self.other, V2, session="resting"), V2)
