"""Runs a whole system: stand-ins and entry instances as processes."""

import asyncio
import collections.abc
import dataclasses
import os
import pathlib
import secrets

import aiohttp
import msgspec

from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import processes
from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import client as client_module
from nutmeghook.internal.assembly import serving
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import tokens as tokens_module
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import control as control_module
from nutmeghook.standins import fleet as fleet_module

INSTANCE_PROGRAM = (*processes.INTERPRETER, "nutmeghook")
ENGINE_ROLE = "engine"
PLAIN_ROLE = "plain_service"
READY_PATH = "/readyz"
READY_TIMEOUT_S = 30.0
CONFIG_WAIT_MS = 8_000
_POLL_PERIOD_S = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class RunningInstance:
    """One entry instance's process and addresses."""

    name: str
    process: processes.ManagedProcess
    listen_address: str
    inner_address: str
    region: str
    data_centre: str


class System:
    """Starts and ends all processes and calls the stand-ins.

    Attributes:
        addresses: Of the stand-ins.
        instances: The entry instances that were started, ended ones too.
        administrator_token: A token with all permissions.
    """

    __slots__ = (
        "_clock",
        "_credential",
        "_drain_lag_ms",
        "_folder",
        "_http",
        "_operations",
        "_program",
        "_stand_in_process",
        "addresses",
        "administrator_token",
        "instances",
    )

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        clock: clock_module.Clock,
        drain_lag_ms: int = 1_500,
        program: collections.abc.Sequence[str] = INSTANCE_PROGRAM,
    ):
        self._folder = folder
        self._clock = clock
        self._drain_lag_ms = drain_lag_ms
        self._credential = secrets.token_urlsafe(24)
        self._operations = 0
        self._program = program
        self.administrator_token = secrets.token_urlsafe(24)
        self.instances: list[RunningInstance] = []
        self._http: aiohttp.ClientSession | None = None
        self._stand_in_process: processes.ManagedProcess | None = None

    async def start_stand_ins(self, spec: fleet_module.FleetSpec) -> None:
        """Starts one process with all stand-ins of a spec."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._http = aiohttp.ClientSession()
        self._stand_in_process, self.addresses = await processes.start(
            name="stand-ins",
            arguments=["nutmeghook.standins", "--spec=-"],
            folder=self._folder,
            ready_type=fleet_module.FleetAddresses,
            standard_input=msgspec.json.encode(spec),
        )

    async def start_instance(
        self, *, name: str, region: str, data_centre: str
    ) -> RunningInstance:
        """Starts an entry instance and adds it to the platform's list."""
        process, ready = await processes.start(
            name=name,
            program=self._program,
            arguments=["serve"],
            folder=self._folder,
            ready_type=serving.ReadyLine,
            environment=self._environment(region, data_centre),
        )
        instance = RunningInstance(
            name=name,
            process=process,
            listen_address=ready.listen_address,
            inner_address=ready.inner_address,
            region=region,
            data_centre=data_centre,
        )
        self.instances.append(instance)
        await self.list_instance(instance)
        return instance

    def _environment(self, region: str, data_centre: str) -> dict[str, str]:
        values = {
            "listen_address": "127.0.0.1:0",
            "inner_address": "127.0.0.1:0",
            "region": region,
            "data_centre": data_centre,
            "inner_credential": self._credential,
            "administrator_token_sha256": tokens_module.digest(
                self.administrator_token
            ),
            "drain_lag_ms": str(self._drain_lag_ms),
        }
        for name in ("table", "objects", "instances", "ratings", "weights"):
            address = self.addresses.named(name).address
            values[f"{name}_url"] = f"http://{address}"
        settings = {
            f"NUTMEGHOOK_{name.upper()}": value
            for name, value in values.items()
        }
        return os.environ | settings

    async def list_instance(
        self,
        instance: RunningInstance,
        state: instances.InstanceState = instances.InstanceState.LIVE,
    ) -> None:
        """Puts an entry instance on the platform's list."""
        listed = instances.ListedInstance(
            address=instance.listen_address,
            inner_address=instance.inner_address,
            role=instances.InstanceRole.ENTRY,
            state=state,
            region=instance.region,
            data_centre=instance.data_centre,
        )
        await self.control("instances", "put", msgspec.json.encode(listed))

    async def unlist_instance(self, instance: RunningInstance) -> None:
        """Removes an entry instance from the platform's list."""
        body = msgspec.json.encode({"address": instance.listen_address})
        await self.control("instances", "remove", body)

    async def control(self, name: str, verb: str, body: bytes) -> None:
        """Posts to a stand-in's control path."""
        url = f"{self.addresses.named(name).control}/{verb}"
        async with self._http.post(url, data=body) as response:
            response.raise_for_status()

    async def set_faults(
        self, name: str, faults: control_module.FaultSettings
    ) -> None:
        """Replaces a stand-in's faults."""
        await self.control(name, "faults", msgspec.json.encode(faults))

    async def read_control(self, name: str, what: str) -> bytes:
        """Reads a stand-in's log or settings."""
        url = f"{self.addresses.named(name).control}/{what}"
        async with self._http.get(url) as response:
            response.raise_for_status()
            return await response.read()

    async def accept(
        self, edit: edits.Edit, *, reason: str, through: RunningInstance
    ) -> bodies.OperationAnswer:
        """Submits a change through an instance."""
        self._operations += 1
        async with self.administration(through) as client:
            return await client.submit(
                f"experiment-{self._credential[:6]}-{self._operations:04d}",
                bodies.SubmitBody(
                    edit=edit, reason=reason, wait_ms=CONFIG_WAIT_MS
                ),
            )

    async def import_example(
        self, tokens: dict[str, str]
    ) -> bodies.OperationAnswer:
        """Imports the example's configuration and waits until it is used."""
        answer = await self.accept(
            edits.ImportDocuments(
                expected_revision=0,
                fleet=example_fleet.fleet_document(),
                teams=example_fleet.team_documents(tokens),
                templates=example_fleet.template_documents(),
            ),
            reason="first import",
            through=self.instances[0],
        )
        for instance in self.instances:
            await self.wait_until_ready(instance)
        return answer

    async def start_agency_instance(self) -> RunningInstance:
        """Starts an instance in the next data centre of the Agency."""
        number = len(self.instances)
        region = example_fleet.AGENCY_REGION
        return await self.start_instance(
            name=f"entry-{number}",
            region=region,
            data_centre=example_fleet.data_centre(region, number),
        )

    def administration(
        self, through: RunningInstance
    ) -> client_module.AdministrationClient:
        """Returns a client of an instance's administration API."""
        return client_module.AdministrationClient(
            base_url=f"http://{through.listen_address}",
            token=self.administrator_token,
            clock=self._clock,
        )

    async def wait_until_ready(self, instance: RunningInstance) -> None:
        """Waits until an instance reports that it is ready."""
        url = f"http://{instance.listen_address}{READY_PATH}"
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                async with self._http.get(url) as response:
                    if response.status == 200:
                        return
                await asyncio.sleep(_POLL_PERIOD_S)

    async def end(self) -> None:
        """Ends all processes, the instances first."""
        await asyncio.gather(
            *(instance.process.end() for instance in self.instances)
        )
        if self._stand_in_process is not None:
            await self._stand_in_process.end()
        if self._http is not None:
            await self._http.close()
