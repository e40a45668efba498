"""An instance with the OpenAI-compatible entry, on a small machine."""

import pathlib
import tempfile
from unittest import mock

import msgspec

from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import system as system_module
from nutmeghook.internal.entry import bodies
from nutmeghook.internal.foundation import clock as clock_module
from tests.crowd import crowd_case

MEMORY_MB = 256
DESCRIPTORS = 300
TEAM = example_fleet.AGENCY_TEAMS[0]
TEMPLATE = "certificate-lookup"
FINDINGS_PATH = "/services/registry/findings"
_ENVIRONMENT = {
    "NUTMEGHOOK_MEMORY_MB": str(MEMORY_MB),
    "NUTMEGHOOK_MAX_DESCRIPTORS": str(DESCRIPTORS),
}


class InstanceCase(crowd_case.CrowdCase):
    """One instance with the stand-ins of its platform.

    Attributes:
        instance: The instance under test.
        inner: Where other instances connect.
        token: A caller's.
    """

    most_bytes = MEMORY_MB * 1_000_000
    most_descriptors = DESCRIPTORS

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.system = system_module.System(
            folder=pathlib.Path(self.folder.name),
            clock=clock_module.SystemClock(),
            drain_lag_ms=100,
        )
        tokens = example_fleet.new_tokens()
        self.token = tokens[TEAM]
        await self.system.start_stand_ins(example_fleet.stand_ins())
        with mock.patch.dict("os.environ", _ENVIRONMENT):
            self.instance = await self.system.start_agency_instance()
        await self.system.import_example(tokens)
        self.pid = self.instance.process.pid
        self.front = self.instance.listen_address
        self.inner = self.instance.inner_address

    async def asyncTearDown(self):
        await self.system.end()
        self.folder.cleanup()

    def is_running(self) -> bool:
        return self.instance.process.exit_status is None

    def ordinary(self):
        question = {"role": "user", "content": "marker=w1 Is boiler 7 safe?"}
        chat = {"model": TEMPLATE, "messages": [question]}
        return [
            crowd_case.Call(
                method="POST",
                url=f"http://{self.front}/v1/chat/completions",
                headers={"Authorization": f"Bearer {self.token}"},
                body=msgspec.json.encode(chat),
            ),
            crowd_case.Call(
                method="GET", url=f"http://{self.front}/readyz", headers={}
            ),
        ]

    def largest(self):
        return crowd_case.Call(
            method="POST",
            url=f"http://{self.front}{FINDINGS_PATH}",
            headers={"Authorization": f"Bearer {self.token}"},
            body=b"b" * bodies.MAX_BODY_BYTES,
        )

    def caller_head(self, target: str) -> bytes:
        """Returns the head of a caller's request."""
        return (
            f"POST {target} HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer {self.token}\r\n"
        ).encode()
