"""A whole relay on loopback: callers, the relay, stand-in replicas."""

import asyncio
import datetime
import random
import unittest

import aiohttp

from nutmeghook.internal.assembly import relay_assembly
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import standstill
from nutmeghook.internal.limits import team_shares
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import held_bytes
from nutmeghook.internal.relay import listener as listener_module
from nutmeghook.internal.relay import planned_stop
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.replicas import signal_registry
from nutmeghook.internal.replicas import speed_registry
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.upstream import pool as pool_module
from nutmeghook.internal.version_plans import view
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import entry_fixture

HOST = "callers.example"
KEY = "a-key"
TEAM = "a-team"
AUTHORIZATION = ("Authorization", f"Token {KEY}")
SECOND = datetime.timedelta(seconds=1)
# Within it a change of the configuration has to be in force.
CHANGE_TIME = 2 * SECOND


def route(kind: model.RouteKind, **changes) -> model.Route:
    """Returns a route of a kind, named and prefixed after it."""
    fields = {
        "name": kind.value,
        "host": HOST,
        "prefix": f"/{kind.value}/",
        "kind": kind,
        "shares": (model.ServiceShare(service="service", weight=1.0),),
        "time_limit": 5 * SECOND,
        "target": 1 * SECOND,
        "attempts": 3,
        "priority": 1,
        "resumable": kind is model.RouteKind.STREAM,
    }
    return model.Route(**(fields | changes))


def configuration(
    *routes: model.Route, version: int = 1, **changes
) -> model.Configuration:
    """Returns a configuration with one team and its key."""
    fields = {
        "version": version,
        "routes": routes or tuple(route(kind) for kind in model.RouteKind),
        "services": {},
        "requires_keys": True,
        "teams_by_key": {KEY: model.Team(name=TEAM)},
        "limits": model.CallerLimits(),
    }
    return model.Configuration(**(fields | changes))


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """Gives each test a relay and two replicas of one service."""

    replica_count = 2
    memory_mb = 160.0
    is_list_stale = False
    # By data centre.
    regions = {"here": "region", "far": "other-region"}

    def build_clock(self) -> clock_module.Clock:
        """Returns the relay's clock."""
        return clock_module.SystemClock()

    def build_pool(self) -> pool_module.ConnectionPool:
        """Returns the relay's connections to replicas."""
        return pool_module.ConnectionPool(
            loop=asyncio.get_running_loop(), clock=self.clock
        )

    def build_replica(self, replica_id: str) -> users_replica.StandInReplica:
        """Returns a stand-in that has not started."""
        return users_replica.StandInReplica(replica_id=replica_id)

    async def asyncSetUp(self):
        self.clock = self.build_clock()
        self.metrics = metrics_module.Metrics()
        self.configuration = in_force_module.ConfigurationInForce(
            change_time=CHANGE_TIME
        )
        self.configuration.offer(configuration(), source="test")
        self.pool = self.build_pool()
        self.directory = directory_module.ReplicaDirectory(
            clock=self.clock, on_gone=self.pool.forget
        )
        self.replicas = [
            self.build_replica(f"replica-{number}")
            for number in range(self.replica_count)
        ]
        for replica in self.replicas:
            await replica.start()
            self.directory.put(self.entry(replica))
        self.listener = self.build_listener()
        await self.listener.start(host="127.0.0.1", port=0)
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.listener.stop()
        self.pool.close()
        for replica in self.replicas:
            await replica.stop()

    def entry(self, replica, **changes) -> entries.ReplicaEntry:
        """Returns a stand-in's entry in the list of replicas."""
        fields = {
            "replica_id": replica.replica_id,
            "service": "service",
            "address": replica.address,
            "data_centre": "here",
            "version": "v1",
            "slots": 8,
            "leaving": False,
        }
        return entries.ReplicaEntry(**(fields | changes))

    def build_listener(self) -> listener_module.CallerListener:
        """Returns the relay."""
        wire_format = headers.PlatformHeaders()
        self.held = held_bytes.HeldBytes(
            bound_bytes=held_bytes.bound_for(self.memory_mb),
            metrics=self.metrics,
            clock=self.clock,
        )
        self.stop = planned_stop.PlannedStop(clock=self.clock)
        self.standstills = standstill.StandstillMonitor(clock=self.clock)
        self.suspects = registry_module.SuspectRegistry(clock=self.clock)
        self.budgets = window_budget.WindowRetryBudgets(
            ratio=0.9,
            window=10 * SECOND,
            burst=10,
            clock=self.clock,
        )
        self.team_shares = team_shares.TeamShares(
            clock=self.clock, random_source=random.Random(1)
        )
        return listener_module.CallerListener(
            relay=relay_assembly.build(
                relay_assembly.RelayDependencies(
                    gate=self.build_gate(),
                    signals=self.build_signals(),
                    speeds=speed_registry.SpeedRegistry(
                        directory=self.directory, clock=self.clock
                    ),
                    configuration=self.configuration,
                    directory=self.directory,
                    versions=view.AnyVersion(),
                    budgets=self.budgets,
                    team_shares=self.team_shares,
                    suspects=self.suspects,
                    standstills=self.standstills,
                    stop=self.stop,
                    pool=self.pool,
                    data_centre="here",
                    region_of=self.regions.get,
                    wire_format=wire_format,
                    metrics=self.metrics,
                    clock=self.clock,
                    random_source=random.Random(1),
                    is_list_stale=lambda: self.is_list_stale,
                )
            ),
            wire_format=wire_format,
            connections=entry_fixture.connections(self.clock),
            limits=lambda: self.configuration.current.limits,
            held=self.held,
            stop=self.stop,
            metrics=self.metrics,
            clock=self.clock,
        )

    def build_gate(self) -> send_gate.SendGate:
        """Returns the gate that decides which replicas may be sent to."""
        return send_gate.OpenGate()

    def build_signals(self) -> signal_registry.SignalRegistry:
        """Returns the registry of what replicas ask; after `build_gate`."""
        return signal_registry.SignalRegistry(
            directory=self.directory, clock=self.clock
        )

    def reply_with(self, *replies: users_replica.Reply) -> None:
        """Lets all replicas together give these replies, one after another.

        The last is repeated. The relay decides which replica is chosen first,
        so the order must not depend on it.
        """
        shared = list(replies)
        for replica in self.replicas:
            replica.reply_from(shared)

    def received_requests(self) -> list[users_replica.ReceivedRequest]:
        """Returns all requests that reached a replica."""
        return [seen for replica in self.replicas for seen in replica.received]

    async def arrival(self) -> None:
        """Waits until a request has reached any replica."""
        waits = [
            asyncio.create_task(replica.request_received.wait())
            for replica in self.replicas
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)

    async def raw(self, message: bytes) -> bytes:
        """Sends bytes on a new connection and returns the answer.

        Reads until the relay closes, so give `Connection: close` or a request
        after which the relay closes.
        """
        host, _, port = self.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(message)
        answer = await reader.read()
        writer.close()
        return answer

    async def ask(
        self,
        kind: model.RouteKind,
        *,
        request_id: str = "request-1",
        extra: tuple[tuple[str, str], ...] = (AUTHORIZATION,),
        body: bytes = b"",
        method: str | None = None,
        target: str | None = None,
    ) -> bytes:
        """Sends one request of a kind and returns the whole response."""
        method = method or (
            "GET" if kind is model.RouteKind.IDEMPOTENT else "POST"
        )
        lines = [f"{method} {target or f'/{kind.value}/x'} HTTP/1.1"]
        lines.append(f"Host: {HOST}")
        lines.append(f"{headers.REQUEST_ID}: {request_id}")
        lines.append("Connection: close")
        lines.extend(f"{name}: {value}" for name, value in extra)
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return await self.raw(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def status_of(answer: bytes) -> int:
    """Returns the status of an answer; 0 if there is none."""
    return int(answer.split(b" ", 2)[1]) if answer else 0


def body_of(answer: bytes) -> bytes:
    """Returns the body of an answer with a length."""
    return answer.partition(b"\r\n\r\n")[2]


def events_of(answer: bytes) -> list[bytes]:
    """Returns the whole events in an answer in chunks."""
    rest = body_of(answer)
    data = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        data += rest[:length]
        rest = rest[length + 2 :]
        if not length:
            break
    return [piece + b"\n\n" for piece in data.split(b"\n\n") if piece]


def is_complete(answer: bytes) -> bool:
    """Tells whether an answer in chunks was ended."""
    return answer.endswith(b"0\r\n\r\n")
