"""Membership among real processes over UDP and TCP, with signals."""

import asyncio
import json
import pathlib
import signal
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Far above what any wait takes on a busy machine; no assertion depends on it.
LIMIT_S = 120


class Process:
    """One member's process and the state it last printed for each address."""

    def __init__(self, process):
        self.process = process
        self.address = ""
        self.incarnation = ""
        self.seen = {}
        self.ended = False
        self.changed = asyncio.Condition()

    async def read(self):
        while line := await self.process.stdout.readline():
            facts = json.loads(line)
            async with self.changed:
                if facts["kind"] == "ready":
                    self.address = facts["address"]
                    self.incarnation = facts["incarnation"]
                else:
                    self.seen[facts["address"]] = (
                        facts["health"],
                        facts["incarnation"],
                    )
                self.changed.notify_all()
        async with self.changed:
            self.ended = True
            self.changed.notify_all()

    async def until(self, condition):
        async with asyncio.timeout(LIMIT_S), self.changed:
            await self.changed.wait_for(lambda: condition() or self.ended)
        if not condition():
            raise AssertionError(f"the process at {self.address!r} ended")

    async def until_sees(self, other, health):
        await self.until(
            lambda: self.seen.get(other.address) == (health, other.incarnation)
        )


class MembershipProcessTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, port, *seed_addresses):
        process = Process(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tests.whole.member_process",
                str(port),
                *seed_addresses,
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
        )
        reading = asyncio.create_task(process.read())

        async def end():
            if process.process.returncode is None:
                process.process.kill()
            await process.process.wait()
            await reading

        self.addAsyncCleanup(end)
        await process.until(lambda: process.address)
        return process

    async def test_kill_restart_stop_and_continue(self):
        """Four processes, of which one is killed and one stopped.

        The third is killed and restarted at its address, and must become a new
        member. The fourth is stopped until all others declare it dead; after it
        continues it must return as the same incarnation, and know all others
        as alive.
        """
        first = await self.start(0)
        second = await self.start(0, first.address)
        third = await self.start(0, first.address)
        fourth = await self.start(0, first.address)
        everyone = [first, second, third, fourth]
        for one in everyone:
            for other in everyone:
                if one is not other:
                    await one.until_sees(other, "ALIVE")

        third.process.send_signal(signal.SIGKILL)
        for one in (first, second, fourth):
            await one.until_sees(third, "DEAD")
        port = int(third.address.rpartition(":")[2])
        third = await self.start(port, first.address)
        for one in (first, second, fourth):
            await one.until_sees(third, "ALIVE")

        fourth.process.send_signal(signal.SIGSTOP)
        for one in (first, second, third):
            await one.until_sees(fourth, "DEAD")
        fourth.process.send_signal(signal.SIGCONT)
        for one in (first, second, third):
            await one.until_sees(fourth, "ALIVE")
            await fourth.until_sees(one, "ALIVE")


if __name__ == "__main__":
    unittest.main()
