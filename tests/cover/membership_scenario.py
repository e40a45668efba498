"""A fleet on a fake clock, and the changes reported to its instances."""

import asyncio
import datetime
import functools
import random

from nutmeghook.internal.foundation import clock
from nutmeghook.internal.membership import local_fleet
from nutmeghook.internal.membership import members as members_module

SECOND = datetime.timedelta(seconds=1)
DETECTION_BOUND = 15 * SECOND
DEAD = members_module.MemberHealth.DEAD


class MembershipScenario:
    """A fleet, its clock, and every change reported to any instance."""

    def __init__(self, count):
        self.count = count
        self.clock = clock.FakeClock()
        self.fleet = local_fleet.LocalFleet(
            clock=self.clock, random=random.Random(7), delay=SECOND / 100
        )
        self.fleet.list_all(count)
        self.changes = []

    def start(self, number, **options):
        member = self.fleet.start(number, **options)
        member.service.on_change(
            lambda change: self.changes.append((number, change))
        )
        return member

    def service(self, number):
        return self.fleet.running[self.fleet.address(number)].service

    def seen(self, observer, number):
        """Returns one instance's record of another; None if there is none."""
        address = self.fleet.address(number)
        for member in self.service(observer).members():
            if member.inner_address == address:
                return member
        return None

    def deaths(self):
        return {
            change.inner_address
            for _, change in self.changes
            if change.health is DEAD
        }

    async def until(self, condition, *, at_most=DETECTION_BOUND):
        """Advances until a condition holds; returns how long it took."""
        start = self.clock.monotonic()
        while not condition():
            if self.clock.monotonic() - start >= at_most:
                raise AssertionError(
                    f"the condition did not hold within {at_most}"
                )
            await self.clock.advance(SECOND / 4)
        return self.clock.monotonic() - start

    async def until_agreed(self, *, at_most=DETECTION_BOUND):
        return await self.until(self.fleet.agrees, at_most=at_most)


def fleet_of(count, *, joined=True):
    """Runs a test with a fleet; if `joined`, all instances know each other."""

    def decorate(test):
        @functools.wraps(test)
        def run(self):
            async def scenario():
                this = MembershipScenario(count)
                if joined:
                    for number in range(count):
                        this.start(number)
                    await this.until_agreed()
                    await this.clock.advance(5 * SECOND)
                    this.changes.clear()
                try:
                    await test(self, this)
                finally:
                    this.fleet.stop()

            asyncio.run(scenario())

        return run

    return decorate
