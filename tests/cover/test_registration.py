"""Registration of instances in the store."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

import aiohttp

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.table_replication import registration
from nutmeghook.platform import store
from nutmeghook.standins import users_store


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = users_store.StandInStore()
        await self.store.start()
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.store.stop()

    def registry(self, name: str) -> registration.InstanceRegistry:
        """Returns the registry of an instance."""
        return registration.InstanceRegistry(
            table=store.StoreRows(
                client=store.StoreClient(
                    session=self.session, address=self.store.address
                )
            ),
            instance_id=name,
            inner_address=f"127.0.0.{ord(name)}:1",
            data_centre="here",
        )

    async def test_instances_that_start_together_share_one_credential(self):
        """Seven instances start at the same moment on an empty store. All try
        to write the credential; one succeeds, and all use that one.
        """
        found = await asyncio.gather(
            *(self.registry(name).register() for name in "abcdefg")
        )
        self.assertEqual(len({f.credential for f in found}), 1)
        later = await self.registry("h").register()
        self.assertEqual(sorted(later.peers), list("abcdefg"))
        self.assertEqual(
            {p.data_centre for p in later.peers.values()}, {"here"}
        )

    async def test_an_instance_registers_soon_after_an_outage(self):
        """After a restore of the store, instances that had started in its
        outage knew no peer that could prove the configuration, and admitted
        nobody, for 1.3 s and more after it was back.
        """
        clock = clock_module.FakeClock()
        back_at = clock.monotonic() + datetime.timedelta(seconds=10)
        known = await self.registry("a").register()

        async def register():
            if clock.monotonic() < back_at:
                raise failures.NotDoneError("away")
            return known

        registry = mock.create_autospec(
            registration.InstanceRegistry, instance=True
        )
        registry.register.side_effect = register
        registering = asyncio.create_task(
            registration.register_eventually(
                registry, clock=clock, random_source=random.Random(1)
            )
        )
        await clock.advance(datetime.timedelta(seconds=10.63))
        self.assertTrue(registering.done())

    async def test_a_lost_registration_is_written_again(self):
        """Instances that started after a restore made up another credential
        and did not know those that ran.
        """
        copy = self.store.copy()
        running = self.registry("a")
        known = await running.register()
        self.store.restore(copy)
        await running.write_again()
        later = await self.registry("b").register()
        self.assertEqual(later.credential, known.credential)
        self.assertEqual(sorted(later.peers), ["a"])


if __name__ == "__main__":
    unittest.main()
