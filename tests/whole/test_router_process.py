"""The router as a process, with stand-ins of the users' platform."""

import asyncio
import json
import os
import pathlib
import re
import signal
import sys
import tempfile
import unittest

import aiohttp
import msgspec

from nutmeghook.experiment import trial_routers
from nutmeghook.platform import headers
from nutmeghook.platform import settings
from nutmeghook.standins import loopback_host
from nutmeghook.standins import users_replica
from nutmeghook.standins import users_store
from tests import platform_rows

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "stream",
            "host": "h.example",
            "prefix": "/s/",
            "routeKind": "streaming",
            "timeoutMs": 9000,
            "sloMs": 2000,
            "service": "pool",
            "attempts": 2,
            "resumable": True,
        },
        {
            "name": "once",
            "host": "h.example",
            "prefix": "/o/",
            "routeKind": "non_idempotent",
            "timeoutMs": 60000,
            "sloMs": 1000,
            "service": "pool",
            "attempts": 1,
        },
    ],
    "services": [{"name": "pool"}],
    "tenants": [{"name": "team", "apiKeys": ["key"]}],
}


class RouterProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = users_store.StandInStore()
        await self.store.start()
        self.replica = users_replica.StandInReplica(replica_id="id-1")
        await self.replica.start()
        self.store.put("op", "config", msgspec.json.encode(CONFIGURATION))
        self.store.put(
            "servers",
            "id-1",
            platform_rows.replica_row(
                service="pool",
                address=self.replica.address,
                slots=4,
                zone="hall",
            ),
        )
        self.folder = tempfile.TemporaryDirectory()
        self.file = pathlib.Path(self.folder.name) / "local.toml"
        self.file.write_text(
            trial_routers.settings_text(
                name="edge-1", front_port=0, store=self.store.address
            )
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "serve.py"),
            env=self.environment(),
            stdout=asyncio.subprocess.PIPE,
        )

    def environment(self) -> dict[str, str]:
        """Returns the process's environment; the system chooses its ports."""
        return os.environ | {
            settings.FILE_VARIABLE: str(self.file),
            settings.METRICS_PORT_VARIABLE: "0",
        }

    async def asyncTearDown(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.replica.stop()
        await self.store.stop()
        self.folder.cleanup()

    async def line(self, kind: str) -> dict:
        """Reads the log up to the next line of a kind."""
        async for raw in self.process.stdout:
            line = json.loads(raw)
            if line["message_type"] == kind:
                return line
        raise AssertionError(f"the process ended before {kind}")

    async def served(self) -> str:
        """Waits until the process can serve; returns its address."""
        self.started = await self.line("process:started")
        await self.line("replica:listed")
        return self.started["address"]

    def stream_request(self, address: str):
        """Returns a request for a stream, to be read as it arrives."""
        return aiohttp.request(
            "POST",
            f"http://{address}/s/x",
            data=b"prompt",
            headers={
                "Host": "h.example",
                "Authorization": "Token key",
                headers.REQUEST_ID: "request-1",
            },
        )

    async def test_a_stop_cuts_no_stream(self):
        """SIGTERM arrives during a stream. The stream must be complete, then
        the process exits with status 0.
        """
        self.replica.reply_from(
            [users_replica.Reply(events=tuple(range(20)), pause_s=0.05)]
        )
        address = await self.served()
        async with self.stream_request(address) as answer:
            first = await answer.content.readany()
            self.process.send_signal(signal.SIGTERM)
            body = first + await answer.read()
        whole = b"".join(users_replica.event(n) for n in range(20))
        self.assertEqual(body, whole)
        await self.line("process:ended")
        self.assertEqual(await self.process.wait(), 0)

    async def open_request(self, address: str, body: bytes):
        """Sends a request that may run once, with this part of 8 bytes."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            b"POST /o/x HTTP/1.1\r\nHost: h.example\r\n"
            b"Authorization: Token key\r\nContent-Length: 8\r\n"
            + f"{headers.REQUEST_ID}: {body.decode()}\r\n\r\n".encode()
            + body
        )
        return reader, writer

    async def test_a_stop_closes_no_request_without_an_answer(self):
        """SIGTERM finds a request with half of its body, and one that a silent
        replica works on. The first is refused as not run while its caller can
        still go elsewhere, and the second gets a final status: it was passed
        on at the end of the grace, and both were closed with no answer.
        """
        self.replica.reply_from([users_replica.Reply(silent=True)])
        address = await self.served()
        begun, _ = await self.open_request(address, b"complete")
        await self.line("attempt:sent")
        arriving, writer = await self.open_request(address, b"half")
        # Connections are accepted in order, so this one's answer shows that the
        # others were read.
        async with aiohttp.request("GET", f"http://{address}/") as answer:
            await answer.read()
        self.process.send_signal(signal.SIGTERM)
        await self.line("process:leaving")
        with self.assertRaises(ConnectionError):
            while True:
                _, probe = await asyncio.open_connection(
                    *address.rsplit(":", 1)
                )
                probe.close()
                await asyncio.sleep(0.05)
        writer.write(b"rest")
        refused = (await arriving.read()).lower()
        ended = (await begun.read()).lower()
        self.assertEqual(await self.process.wait(), 0)
        self.assertTrue(refused.startswith(b"http/1.1 503 "), refused)
        self.assertIn(b"\r\nretry-after: ", refused)
        self.assertIn(b"\r\nconnection: close\r\n", refused)
        self.assertTrue(ended.startswith(b"http/1.1 502 "), ended)
        self.assertEqual(self.replica.ran, ["complete"])

    async def test_the_log_of_a_request_gives_the_cause_of_its_failure(self):
        """A replica refuses, and an engineer has only the request's id. The
        log must give the replica, version and configuration, the response and
        the request's outcome.
        """
        self.replica.reply_from([users_replica.Reply(status=503, not_run=True)])
        address = await self.served()
        async with self.stream_request(address) as answer:
            self.assertEqual(answer.status, 503)
        sent = await self.line("attempt:sent")
        failed = await self.line("attempt:failed")
        ended = await self.line("request:ended")
        for line in (sent, failed, ended):
            self.assertEqual(line["request"], "request-1")
        self.assertEqual(sent["replica"], "id-1")
        self.assertEqual(sent["configuration"], 3)
        self.assertEqual(failed["outcome"], "RefusedError")
        self.assertIn("no replica", ended["outcome"])

    async def test_changed_settings_are_applied_and_wrong_ones_reported(self):
        """The settings file changes and the process gets SIGHUP. Wrong
        settings are reported, and the process keeps those in force.
        """
        await self.served()
        good = self.file.read_text()
        self.file.write_text(
            good.replace(f'ip = "{loopback_host.own_host()}"', "ip = 1")
        )
        self.process.send_signal(signal.SIGHUP)
        wrong = await self.line("settings:wrong")
        self.assertIn("ip is 1", " ".join(wrong["faults"]))
        self.file.write_text(good.replace("graceS = 8", "graceS = 6"))
        self.process.send_signal(signal.SIGHUP)
        await self.line("settings:applied")
        self.assertIsNone(self.process.returncode)

    async def test_odd_rows_end_no_start(self):
        """Rows of another writer ended all instances, again at each start."""
        deep = b"[" * 200_000
        self.store.put("op", "rollout/pool", b'{"service":' + deep)
        self.store.put("op", "rollout/other", b'{"service":"o","to":"v",')
        self.store.put("servers", "odd", b'{"service":' + deep)
        self.store.put("rollouts", "plan/pool", b'{"order_id":' + deep)
        self.store.put("quarantine", "ab" * 16, b'{"ended_ms":' + deep)
        self.store.put("instances", "at/odd", b'{"inner_address":"x:99999"}')
        self.store.put("instances", "credential", b"\xff")
        self.process.kill()
        await self.process.wait()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "serve.py"),
            env=self.environment(),
            stdout=asyncio.subprocess.PIPE,
        )
        address = await self.served()
        await self.line("peer:registered")
        self.store.put("op", "config", b'{"version":9,"routes":' + deep)
        await self.line("operator:bad_row")
        self.replica.reply_from([users_replica.Reply(events=(0,))])
        async with self.stream_request(address) as answer:
            self.assertEqual(answer.status, 200)
        self.assertIsNone(self.process.returncode)

    async def test_wrong_settings_end_the_start(self):
        self.process.kill()
        await self.process.wait()
        self.file.write_text("nodeName = 1")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "serve.py"),
            env=self.environment(),
            stderr=asyncio.subprocess.PIPE,
        )
        _, text = await process.communicate()
        self.assertEqual(process.returncode, 2)
        self.assertIn("wrong setting: nodeName is 1", text.decode())

    async def test_metrics_count_what_was_relayed(self):
        address = await self.served()
        async with self.stream_request(address) as answer:
            await answer.read()
        await self.line("request:ended")
        url = f"http://{self.started['metrics_address']}/metrics"
        async with aiohttp.request(
            "GET", url, headers={"Accept": "text/plain"}
        ) as page:
            text = await page.text()
        self.assertTrue(
            re.search(r"nutmeghook_relayed_total{[^}]*} 1", text), text
        )


if __name__ == "__main__":
    unittest.main()
