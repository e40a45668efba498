"""Claims merge to the same result in any order; bad datagrams are harmless."""

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
        self, received, rng
    ):
        one, other = new_table(), new_table()
        for each in received:
            one.apply_claim(each)
        again = received + received[: len(received) // 2]
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
    def test_false_claims_about_this_instance_are_refuted(self, received):
        table = new_table()
        number = table.own_claim.number
        for each in received:
            table.apply_claim(each)
            self.assertGreaterEqual(table.own_claim.number, number)
            number = table.own_claim.number
        self.assertEqual(table.own_claim.member.incarnation, "me")
        self.assertIs(table.own_claim.member.health, HEALTHS[0])
        for each in received:
            if each.member.inner_address == MINE:
                self.assertGreaterEqual(table.own_claim.order, each.order)

    def test_a_death_is_ignored_right_after_an_ack(self):
        """One instance's bad link must not remove a member everywhere.

        A claim of death is ignored right after the member answered this
        instance, and applied if it did not answer.
        """
        for answered, verdict in (
            (True, table_module.Verdict.KNOWN),
            (False, table_module.Verdict.ADOPTED),
        ):
            table = new_table()
            table.apply_claim(claim("10.0.0.1:1", "a", HEALTHS[0], 1))
            if answered:
                table.note_ack("10.0.0.1:1", table.changed_at)
            dead = claim("10.0.0.1:1", "a", HEALTHS[2], 1)
            self.assertIs(table.apply_claim(dead), verdict)

    def test_a_rumour_is_repeated_a_bounded_number_of_times(self):
        queue = rumours.RumourQueue()
        queue.add(claim("10.0.0.1:1", "a", HEALTHS[0], 1))
        sent = [len(queue.pick(420)) for _ in range(100)]
        self.assertEqual(sum(sent), rumours.repeats(420))
        self.assertEqual(len(queue), 0)


class UntrustedDatagramTest(unittest.TestCase):
    """No received datagram may do harm, with or without a valid seal."""

    def test_a_forged_death_is_ignored(self):
        """A stranger sends a datagram that declares an instance dead.

        Without the credential its seal is invalid and nothing may happen; with
        it the claim is applied, and then refuted.
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
    def test_arbitrary_datagrams_do_no_harm(self, envelopes, is_sealed):
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
