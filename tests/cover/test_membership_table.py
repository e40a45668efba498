"""Merging claims: the order in which they come must not matter."""

import asyncio
import random
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.foundation import clock
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.membership import claims
from nutmeghook.internal.membership import local_fleet
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import rumours
from nutmeghook.internal.membership import table as table_module
from nutmeghook.internal.membership import timing

HEALTHS = (
    members_module.MemberHealth.ALIVE,
    members_module.MemberHealth.LEAVING,
    members_module.MemberHealth.DEAD,
)
MINE = "10.0.0.9:7000"


def claim(address, incarnation, health, number, revision=0):
    return claims.Claim(
        member=members_module.Member(
            inner_address=address,
            incarnation=incarnation,
            region="r",
            data_centre="d",
            health=health,
            config_revision=revision,
        ),
        number=number,
    )


def new_table():
    fake = clock.FakeClock()
    return table_module.MemberTable(
        myself=claim(MINE, "me", HEALTHS[0], 5),
        clock=fake,
        max_ack_age=timing.Timing().probe_period,
    )


CLAIMS = strategies.builds(
    claim,
    strategies.sampled_from(["10.0.0.1:1", "10.0.0.2:1", MINE]),
    strategies.sampled_from(["a", "b", "me"]),
    strategies.sampled_from(HEALTHS),
    strategies.integers(1, 8),
    strategies.integers(0, 3),
)


class MemberTableTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(CLAIMS), strategies.randoms(use_true_random=False)
    )
    def test_any_order_and_repetition_leads_to_the_same_members(
        self, said, rng
    ):
        one, other = new_table(), new_table()
        for each in said:
            one.apply_claim(each)
        again = said + said[: len(said) // 2]
        rng.shuffle(again)
        for each in again:
            other.apply_claim(each)
        self.assertEqual(one.running_hash(), other.running_hash())
        for address in ("10.0.0.1:1", "10.0.0.2:1"):
            mine, theirs = one.record(address), other.record(address)
            self.assertEqual(
                mine and mine.claim.order, theirs and theirs.claim.order
            )

    @hypothesis.given(strategies.lists(CLAIMS))
    def test_this_instance_outbids_all_that_is_wrong_of_it(self, said):
        table = new_table()
        number = table.own_claim.number
        for each in said:
            table.apply_claim(each)
            self.assertGreaterEqual(table.own_claim.number, number)
            number = table.own_claim.number
        self.assertEqual(table.own_claim.member.incarnation, "me")
        self.assertIs(table.own_claim.member.health, HEALTHS[0])
        for each in said:
            if each.member.inner_address == MINE:
                self.assertGreaterEqual(table.own_claim.order, each.order)

    def test_an_accusation_is_not_believed_right_after_an_answer(self):
        """One instance's bad link must not remove a member everywhere.

        This instance has just had an answer of the accused. A minute later
        it has nothing to set against the same accusation.
        """
        for answered, verdict in (
            (True, table_module.Verdict.KNOWN),
            (False, table_module.Verdict.ADOPTED),
        ):
            table = new_table()
            table.apply_claim(claim("10.0.0.1:1", "a", HEALTHS[0], 1))
            if answered:
                table.record_ack("10.0.0.1:1", table.changed_at)
            dead = claim("10.0.0.1:1", "a", HEALTHS[2], 1)
            self.assertIs(table.apply_claim(dead), verdict)

    def test_a_rumour_is_repeated_a_bounded_number_of_times(self):
        queue = rumours.RumourQueue()
        queue.add(claim("10.0.0.1:1", "a", HEALTHS[0], 1))
        sent = [len(queue.pick(420)) for _ in range(100)]
        self.assertEqual(sum(sent), rumours.repeats(420))
        self.assertEqual(len(queue), 0)


class StrangeDatagramTest(unittest.TestCase):
    """Nothing that arrives may harm, with or without the right seal."""

    def test_a_forged_death_is_not_believed(self):
        """Anyone can send a datagram that says an instance is dead.

        Without the credential the seal is wrong and nothing happens; the
        same claim from an instance is believed, and then outbid.
        """

        async def scenario():
            fake = clock.FakeClock()
            fleet = local_fleet.LocalFleet(clock=fake, random=random.Random(1))
            fleet.list_all(2)
            services = [fleet.start(n).service for n in range(2)]
            second = timing.Timing().probe_period
            await fake.advance(30 * second)
            healths = []
            services[0].on_change(lambda member: healths.append(member.health))
            dead = claims.Claim(
                member=msgspec.structs.replace(
                    services[1].myself, health=HEALTHS[2]
                ),
                number=1 << 50,
            )
            state = claims.to_state(dead, with_location=True)
            probe = ttypes.Probe(sender=state, rumours=[state])
            envelope = codec.encode(probe, sequence=1).data
            stranger = fleet.datagrams.attach("10.9.9.9:1")
            for credential in ("of a stranger", "local fleet"):
                self.assertEqual(healths, [])
                seal = datagrams.Seal(credential=credential)
                stranger.send(fleet.address(0), seal.wrap(envelope))
                await fake.advance(20 * second)
            self.assertEqual(healths, [HEALTHS[2], HEALTHS[0]])
            fleet.stop()

        asyncio.run(scenario())

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.binary(max_size=80),
                strategies.builds(
                    lambda *fields: (
                        codec.encode(
                            ttypes.Probe(
                                sender=ttypes.MemberState(*fields),
                                rumours=[ttypes.MemberState(*fields)],
                            ),
                            sequence=1,
                        ).data
                    ),
                    strategies.sampled_from([None, "", "x", MINE, ":1"]),
                    strategies.sampled_from([None, "", "a"]),
                    strategies.integers(-1, 9) | strategies.none(),
                    strategies.integers(-9, 9) | strategies.none(),
                    strategies.none(),
                ),
            ),
            max_size=5,
        ),
        strategies.booleans(),
    )
    def test_bytes_of_a_stranger(self, envelopes, is_sealed):
        credential = "local fleet" if is_sealed else "of a stranger"
        seal = datagrams.Seal(credential=credential)

        async def scenario():
            fake = clock.FakeClock()
            fleet = local_fleet.LocalFleet(clock=fake, random=random.Random(1))
            fleet.list_all(2)
            services = [fleet.start(n).service for n in range(2)]
            second = timing.Timing().probe_period
            await fake.advance(2 * second)
            stranger = fleet.datagrams.attach("10.9.9.9:1")
            for envelope in envelopes:
                stranger.send(fleet.address(0), seal.wrap(envelope))
            await fake.advance(second)
            known = [m.inner_address for m in services[0].members()]
            self.assertIn(fleet.address(1), known)
            if not is_sealed:
                self.assertTrue(fleet.agrees())
            self.assertFalse(fleet.running[fleet.address(0)].task.done())
            fleet.stop()

        asyncio.run(scenario())


if __name__ == "__main__":
    unittest.main()
