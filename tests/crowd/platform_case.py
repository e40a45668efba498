"""A router on the users' platform, on a small machine."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile

import msgspec

from nutmeghook.experiment import trial_routers
from nutmeghook.platform import headers
from nutmeghook.platform import settings
from nutmeghook.standins import loopback_host
from nutmeghook.standins import users_replica
from nutmeghook.standins import users_store
from tests import platform_rows
from tests.crowd import crowd_case

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
MEMORY_MB = 160
DESCRIPTORS = 300
HEAD_BYTES = 8 * 1024
BODY_BYTES = 1024 * 1024
HOST = "h.example"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "call",
            "host": HOST,
            "prefix": "/c/",
            "routeKind": "idempotent",
            "timeoutMs": 60_000,
            "sloMs": 2000,
            "service": "pool",
            "attempts": 2,
        }
    ],
    "services": [{"name": "pool"}],
    "tenants": [{"name": "team", "apiKeys": ["key"]}],
    "limits": {
        "maxHeaderBytes": HEAD_BYTES,
        "maxBodyBytes": BODY_BYTES,
        "headerTimeoutMs": 60_000,
        "idleTimeoutMs": 60_000,
    },
}
_LIMITS = f"""
[limits]
memoryMb = {MEMORY_MB}
maxFds = {DESCRIPTORS}
[platform]
"""
# A member's request waits at the replica for as long as the member stays.
HELD_PATH = "/c/held"


class RouterCase(crowd_case.CrowdCase):
    """A router with one replica.

    Attributes:
        front: Where callers connect.
        ready: Where the balancer asks.
        metrics: Where metrics are shown.
        inner: Where peers connect.
    """

    most_bytes = MEMORY_MB * 1_000_000
    most_descriptors = DESCRIPTORS

    async def asyncSetUp(self):
        self.store = users_store.StandInStore()
        await self.store.start()
        self.replica = users_replica.StandInReplica(
            replica_id="id-1", decide=_decide
        )
        await self.replica.start()
        self.store.put("op", "config", msgspec.json.encode(CONFIGURATION))
        row = platform_rows.replica_row(
            service="pool", address=self.replica.address, slots=64, zone="hall"
        )
        self.store.put("servers", "id-1", row)
        self.folder = tempfile.TemporaryDirectory()
        self._start_files()
        environment = os.environ | {
            settings.FILE_VARIABLE: str(self.file),
            settings.METRICS_PORT_VARIABLE: "0",
        }
        with self.log.open("wb") as log, self.errors.open("wb") as errors:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "serve.py"),
                env=environment,
                stdout=log,
                stderr=errors,
            )
        self.pid = self.process.pid
        self.metrics = (await self._logged("process:started"))[
            "metrics_address"
        ]
        await self._logged("replica:listed")

    def _start_files(self):
        host = loopback_host.own_host()
        port = trial_routers.free_port()
        self.front = f"{host}:{port}"
        self.ready = f"{host}:{trial_routers.free_port()}"
        text = trial_routers.settings_text(
            name="edge-1", front_port=port, store=self.store.address
        )
        text = text.replace(f'"{host}:0"', f'"{self.ready}"')
        text = text.replace("\n[platform]\n", _LIMITS)
        ports = json.loads(
            next(
                line.partition("=")[2]
                for line in text.splitlines()
                if line.startswith("internalPorts")
            )
        )
        self.inner = f"{host}:{ports[0]}"
        self.file = pathlib.Path(self.folder.name) / "local.toml"
        self.file.write_text(text)
        self.log = pathlib.Path(self.folder.name) / "log"
        self.errors = pathlib.Path(self.folder.name) / "errors"

    async def asyncTearDown(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.replica.stop()
        await self.store.stop()
        self.folder.cleanup()

    async def _logged(self, kind: str) -> dict:
        """Waits for a line of the log."""
        async with asyncio.timeout(30):
            while True:
                for raw in self.log.read_bytes().splitlines():
                    line = json.loads(raw)
                    if line["message_type"] == kind:
                        return line
                await asyncio.sleep(0.05)

    def is_running(self) -> bool:
        return self.process.returncode is None

    def call(self, request_id: str, body: bytes) -> crowd_case.Call:
        return crowd_case.Call(
            method="POST",
            url=f"http://{self.front}/c/x",
            headers={
                "Host": HOST,
                "Authorization": "Token key",
                headers.REQUEST_ID: request_id,
            },
            body=body,
        )

    def ordinary(self):
        return [
            self.call("ordinary", b"prompt"),
            crowd_case.Call(
                method="GET",
                url=f"http://{self.ready}/v1/readiness",
                headers={},
            ),
            crowd_case.Call(
                method="GET", url=f"http://{self.metrics}/metrics", headers={}
            ),
        ]

    def largest(self):
        return self.call("largest", b"b" * BODY_BYTES)

    def caller_head(self, number: int, target: str = "/c/x") -> bytes:
        """Returns the head of a request at the callers' listener."""
        return (
            f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Authorization: Token key\r\n"
            f"{headers.REQUEST_ID}: member-{number}\r\n"
        ).encode()


def _decide(request: users_replica.ReceivedRequest) -> users_replica.Reply:
    return users_replica.Reply(silent=request.target == HELD_PATH)
