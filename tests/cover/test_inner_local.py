"""The in-process network has the faults that other tests rely on."""

import asyncio
import datetime
import unittest

from nutmeghook.internal.foundation import clock
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes

A = "10.0.0.1:7000"
B = "10.0.0.2:7000"
SECOND = datetime.timedelta(seconds=1)


class LocalNetworkTest(unittest.IsolatedAsyncioTestCase):
    """Two instances; B records pulls and answers them with its revision."""

    def setUp(self):
        self.clock = clock.FakeClock()
        self.network = local.LocalNetwork(clock=self.clock)
        self.seen = []
        handlers = peers.PeerHandlers()
        handlers.register(ttypes.ConfigPull, self._answer)
        self.network.attach(B, handlers)
        self.caller = self.network.attach(A, peers.PeerHandlers())

    async def _answer(self, request):
        if request.after_revision < 0:
            raise errors.CodedError(code=codes.Code.BAD_FIELD, detail="minus")
        self.seen.append(request.after_revision)
        return ttypes.ConfigDigest(revision=7, confirmed_age_ms=0)

    def _call(self, revision=1):
        return asyncio.ensure_future(
            self.caller.call(
                B, ttypes.ConfigPull(after_revision=revision), timeout=SECOND
            )
        )

    async def test_reply_and_refusal_reach_the_caller(self):
        call = self._call()
        await self.clock.advance(SECOND / 10)
        self.assertEqual((await call).revision, 7)
        refused = self._call(-1)
        await self.clock.advance(SECOND / 10)
        with self.assertRaises(peers.PeerRefusedError) as caught:
            await refused
        self.assertEqual(
            caught.exception.code_number, codes.Code.BAD_FIELD.number
        )

    async def test_a_lost_reply_leaves_the_effect(self):
        """Only the link from B to A is cut: B handles A's request, and the
        reply is lost. A can't distinguish this from a lost request.
        """
        self.network.cut(B, A)
        call = self._call(3)
        await self.clock.advance(SECOND * 2)
        with self.assertRaises(peers.PeerUnreachableError):
            await call
        self.assertEqual(self.seen, [3])
        self.network.heal(A, B)
        call = self._call(4)
        await self.clock.advance(SECOND / 10)
        await call
        self.network.cut(A, B)
        call = self._call(5)
        await self.clock.advance(SECOND * 2)
        with self.assertRaises(peers.PeerUnreachableError):
            await call
        self.assertEqual(self.seen, [3, 4])

    async def test_a_frozen_instance_handles_requests_late(self):
        """B is frozen when the request arrives, and A times out. B handles the
        request after the thaw, since it is still in its socket.
        """
        self.network.freeze(B)
        call = self._call(3)
        await self.clock.advance(SECOND * 2)
        with self.assertRaises(peers.PeerUnreachableError):
            await call
        self.assertEqual(self.seen, [])
        self.network.thaw(B)
        await self.clock.advance(SECOND)
        self.assertEqual(self.seen, [3])

    async def test_a_sleep_in_a_frozen_process_ends_late(self):
        woke = []

        async def sleeper():
            await self.network.clock_of(B).sleep(SECOND)
            woke.append(self.clock.monotonic())

        task = asyncio.ensure_future(sleeper())
        self.network.freeze(B)
        await self.clock.advance(SECOND * 5)
        self.assertEqual(woke, [])
        self.network.thaw(B)
        await task
        self.assertEqual(woke, [SECOND * 5])

    async def test_delay_and_crash(self):
        self.network.set_delay(A, B, SECOND / 2)
        call = self._call()
        await self.clock.advance(SECOND / 4)
        self.assertEqual(self.seen, [])
        await self.clock.advance(SECOND / 2)
        await call
        self.network.detach(B)
        with self.assertRaises(peers.PeerUnreachableError):
            await self._call()


if __name__ == "__main__":
    unittest.main()
