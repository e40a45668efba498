"""Builds and runs a router for the users' platform."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import datetime
import random

import aiohttp
from aiohttp import hdrs
from aiohttp import web_request
from aiohttp import web_response

from nutmeghook.internal.assembly import relay_assembly
from nutmeghook.internal.assembly import replica_access
from nutmeghook.internal.assembly import router_gauges
from nutmeghook.internal.assembly import router_peers
from nutmeghook.internal.assembly import send_limits as send_limits_module
from nutmeghook.internal.clients import bounds
from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.clients import port
from nutmeghook.internal.foundation import bounded_http
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import standstill as standstill_module
from nutmeghook.internal.limits import team_shares as team_shares_module
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.observe import start_record
from nutmeghook.internal.observe import unreadable_values
from nutmeghook.internal.relay import held_bytes
from nutmeghook.internal.relay import listener as listener_module
from nutmeghook.internal.relay import planned_stop
from nutmeghook.internal.relay import request_relay
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import speed_registry
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.suspects import rows
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import restored_rows
from nutmeghook.internal.table_replication import shared_table
from nutmeghook.internal.table_replication import table_copy
from nutmeghook.internal.upstream import dialer as dialer_module
from nutmeghook.internal.version_plans import driver
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.internal.version_plans import rollouts as rollouts_module
from nutmeghook.internal.version_plans import schedule as schedule_module
from nutmeghook.platform import configuration as configuration_wire
from nutmeghook.platform import headers
from nutmeghook.platform import rollout_rows
from nutmeghook.platform import settings as settings_module
from nutmeghook.platform import store
from nutmeghook.platform import tables

METRICS_PATH = "/metrics"
# The part of the fleet's retry ratio that instances use. The rest allows for
# small differences between their counts and the platform's.
_RETRY_RATIO_FACTOR = 0.9
_RETRY_BURST = 2
# After SIGTERM the balancer sends callers here until two of its checks, which
# are a second apart, have failed.
_BALANCER_LAG = datetime.timedelta(seconds=2.4)
# Reserved from the time until SIGKILL for closing connections and exiting.
_STOP_RESERVE = datetime.timedelta(milliseconds=700)
# The part of it for the answers to requests that were ended.
_LAST_ANSWERS_TIME = datetime.timedelta(milliseconds=200)
_POLL = datetime.timedelta(milliseconds=50)
# How often tables that were held back after a restore of the store are settled.
_SETTLE_PERIOD = datetime.timedelta(milliseconds=200)
# Within these times after a restore instances write their rows again. The
# operator reads the states of its orders, and all know them.
_PLANS_REWRITE_SPREAD = datetime.timedelta(seconds=1)
# With 420 instances that write two rows each, 84 writes a second.
_REWRITE_SPREAD = datetime.timedelta(seconds=10)

# Of an instance without a configuration, which answers "not run": a refusal for
# its size would be final. The account of held bytes bounds bodies all the same.
_UNKNOWN_LIMITS = model.CallerLimits(
    header_bytes=64 * 1024, body_bytes=64 * 1024 * 1024
)


class Router:
    """One process between callers and replicas.

    Args:
        settings: The settings at the start.
        clock: Measures time.
        loop: The event loop.
        dialer: Opens connections to replicas; None for TCP connections.

    Attributes:
        configuration: The configuration in force.
        directory: The known replicas.
        held: The bytes held for requests.
        leaving: The process was asked to stop.
        metrics_address: Where metrics are served; empty before the start.
    """

    __slots__ = (
        "_access",
        "_clock",
        "_connections",
        "_peers",
        "_pool",
        "_ports",
        "_random",
        "_session",
        "_settings",
        "_stop",
        "_store",
        "_store_monitor",
        "_was_ready",
        "_wire_format",
        "budgets",
        "configuration",
        "directory",
        "held",
        "leaving",
        "listener",
        "metrics",
        "metrics_address",
        "orders",
        "rollouts",
        "send_limits",
        "speeds",
        "standstills",
        "suspects",
        "team_shares",
    )

    def __init__(
        self,
        *,
        settings: settings_module.InstanceSettings,
        clock: clock_module.Clock,
        loop: asyncio.AbstractEventLoop,
        dialer: dialer_module.Dialer | None = None,
    ):
        self._settings = settings
        self._clock = clock
        self._random = random.Random()
        self._session = aiohttp.ClientSession(
            connector=bounded_http.BoundedConnector(limit=0),
            auto_decompress=False,
        )
        self._store = store.StoreClient(
            session=self._session, address=settings.store_address
        )
        self._store_monitor = follower.StoreMonitor(
            clock=clock,
            on_return=self._hold_list_deletions,
            min_outage=(
                follower.INTERVALS_PER_EXPIRY_OUTAGE
                * settings.heartbeat_interval
            ),
        )
        self.configuration = in_force_module.ConfigurationInForce(
            needs_proof=True, change_time=settings.change_time
        )
        self.orders = orders_module.OrderRegistry()
        self.leaving = False
        self._stop = planned_stop.PlannedStop(clock=clock)
        self.metrics = metrics_module.Metrics()
        self._access = replica_access.ReplicaAccess(
            is_replica=lambda address: self.directory.has_address(address),
            is_leaving=lambda: self.leaving,
            data_centre=settings.data_centre,
            region_of=settings.regions.get,
            dialer=dialer,
            metrics=self.metrics,
            clock=clock,
            loop=loop,
        )
        self._pool = self._access.pool
        self.directory = directory_module.ReplicaDirectory(
            clock=clock, on_gone=self._pool.forget
        )
        self.send_limits = send_limits_module.SendLimits(
            settings=lambda: self._settings,
            configuration=self.configuration,
            directory=self.directory,
            clock=clock,
        )
        self.speeds = speed_registry.SpeedRegistry(
            directory=self.directory, clock=clock
        )
        self.rollouts = rollouts_module.RollOuts(
            orders=self.orders,
            directory=self.directory,
            gate=self.send_limits.gate,
            store_monitor=self._store_monitor,
            schedule=_schedule(settings),
            session_time=settings.session_time,
            clock=clock,
            is_asked=lambda service: (
                self.budgets.budget_for(service).requests_per_s() > 0
            ),
        )
        self.budgets = window_budget.WindowRetryBudgets(
            ratio=settings.retries.ratio * _RETRY_RATIO_FACTOR,
            window=settings.retries.window,
            burst=_RETRY_BURST,
            clock=clock,
        )
        self.team_shares = team_shares_module.TeamShares(
            clock=clock, random_source=self._random
        )
        self.suspects = registry_module.SuspectRegistry(
            clock=clock, probe_rank=self._random.random()
        )
        self.standstills = standstill_module.StandstillMonitor(clock=clock)
        self.held = held_bytes.HeldBytes(
            bound_bytes=held_bytes.bound_for(settings.memory_mb),
            metrics=self.metrics,
            clock=clock,
        )
        client_bounds = _client_bounds(settings)
        self._connections = connection_table.ConnectionTable(
            name="callers",
            max_connections=client_bounds.callers,
            bound_bytes=client_bounds.callers_bytes,
            metrics=self.metrics,
            clock=clock,
        )
        self.metrics_address = ""
        self._was_ready = False
        self._wire_format = headers.PlatformHeaders()
        self.listener = listener_module.CallerListener(
            relay=self._build_relay(),
            wire_format=self._wire_format,
            limits=self._caller_limits,
            held=self.held,
            connections=self._connections,
            stop=self._stop,
            metrics=self.metrics,
            clock=clock,
        )
        self._ports: list[port.Port] = []
        # Set by `run`.
        self._peers: router_peers.RouterPeers | None = None

    def _build_relay(self) -> request_relay.RequestRelay:
        return relay_assembly.build(
            relay_assembly.RelayDependencies(
                configuration=self.configuration,
                directory=self.directory,
                gate=self.send_limits.gate,
                signals=self.send_limits.signals,
                speeds=self.speeds,
                versions=self.rollouts,
                budgets=self.budgets,
                team_shares=self.team_shares,
                suspects=self.suspects,
                standstills=self.standstills,
                is_list_stale=lambda: (
                    self._peers is not None
                    and self._peers.is_unconfirmed(tables.REPLICA_TABLE)
                ),
                stop=self._stop,
                pool=self._pool,
                data_centre=self._settings.data_centre,
                region_of=lambda name: self._settings.regions.get(name),
                wire_format=self._wire_format,
                metrics=self.metrics,
                clock=self._clock,
                random_source=self._random,
            )
        )

    def _caller_limits(self) -> model.CallerLimits:
        current = self.configuration.current
        return current.limits if current else _UNKNOWN_LIMITS

    @property
    def is_ready(self) -> bool:
        """Tells whether callers should be sent here.

        Once ready it stays so until it leaves: during a store outage its state
        gets stale, but equally so on all instances.
        """
        self._was_ready = self._was_ready or all(
            is_met() for is_met in self._ready_conditions().values()
        )
        return self._was_ready and not self.leaving

    def _ready_conditions(self) -> dict[str, Callable[[], bool]]:
        """Returns what has to be met before callers should be sent here."""
        return {
            "configuration": lambda: self.configuration.current is not None,
            "configuration_proof": lambda: self.configuration.is_proven,
            "replica_list": lambda: self.directory.known,
            "roll_out_plans": lambda: self.rollouts.is_ready,
        }

    async def start(self) -> None:
        """Opens the listening sockets."""
        host, number = _split(self._settings.caller_address)
        await self.listener.start(host=host, port=number)
        await self._serve_text(
            "ready", self._settings.ready_address, self._ready
        )
        self.metrics_address = await self._serve_text(
            "metrics",
            f"{self._settings.ip}:{self._settings.metrics_port}",
            self._show_metrics,
        )

    def apply(self, settings: settings_module.InstanceSettings) -> None:
        """Applies changed settings, as far as a running process can.

        Others, such as the session time, stay as at the start. The platform
        restarts the process to change listening addresses or the data centre.
        """
        self._settings = settings
        self._store.address = settings.store_address
        self.held.bound_bytes = held_bytes.bound_for(settings.memory_mb)
        client_bounds = _client_bounds(settings)
        self._connections.max_connections = client_bounds.callers
        self._connections.bound_bytes = client_bounds.callers_bytes
        self.rollouts.progress.schedule = _schedule(settings)
        self.budgets.change(
            ratio=settings.retries.ratio * _RETRY_RATIO_FACTOR,
            window=settings.retries.window,
        )

    async def run(self) -> None:
        """Replicates the platform's tables until cancelled."""
        unreadable = unreadable_values.UnreadableValues(
            metrics=self.metrics, clock=self._clock
        )
        operator_rows = tables.OperatorRows(
            configuration=self.configuration,
            orders=self.orders,
            evacuations=self.send_limits.evacuations,
            unreadable=unreadable,
        )
        replica_rows = tables.ReplicaRows(
            directory=self.directory, unreadable=unreadable
        )
        plan_rows = driver.PlanRowReader(
            rollouts=self.rollouts,
            orders=self.orders,
            instance_id=self._settings.instance_id,
        )
        shared = {
            tables.OPERATOR_TABLE: self._shared(
                tables.OPERATOR_TABLE,
                operator_rows,
                # The configuration is only one of the operator's rows, but
                # they were lost together and are written again together.
                is_written_again=lambda: (
                    not self.configuration.is_lost_by_store
                ),
            ),
            tables.REPLICA_TABLE: self._shared(
                tables.REPLICA_TABLE, replica_rows
            ),
            driver.TABLE: self._shared(driver.TABLE, plan_rows),
        }
        peers = router_peers.RouterPeers(
            instance_id=self._settings.instance_id,
            inner_address=self._settings.inner_address,
            client_bounds=_client_bounds(self._settings),
            data_centre=self._settings.data_centre,
            link_mbit_per_s=self._settings.link_mbit_per_s,
            change_time=self._settings.change_time,
            table=store.StoreRows(client=self._store),
            tables=shared,
            configuration=self.configuration,
            decode_configuration=configuration_wire.decode,
            directory=self.directory,
            senders=self.send_limits.senders,
            loans=self.send_limits.loans,
            rollouts=self.rollouts,
            orders=self.orders,
            signals=self.send_limits.signals,
            speeds=self.speeds,
            suspects=self.suspects,
            team_shares=self.team_shares,
            access=self._access,
            clock=self._clock,
            random_source=self._random,
        )
        self._peers = peers
        self.configuration.behind_for = lambda: peers.configuration_behind_for(
            tables.OPERATOR_TABLE
        )
        self.configuration.proof_age_ms = shared[
            tables.OPERATOR_TABLE
        ].confirmed_age_ms
        plans = self._rollout_driver(shared[driver.TABLE], peers)
        quarantines = self._quarantine_rows()
        start = start_record.StartRecord(
            conditions=self._ready_conditions(),
            metrics=self.metrics,
            clock=self._clock,
        )
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(start.run())
            for table in (tables.OPERATOR_TABLE, tables.REPLICA_TABLE):
                tasks.create_task(_follow_forever(table, peers))
            tasks.create_task(self._settle_forever(shared.values()))
            tasks.create_task(self.standstills.run())
            tasks.create_task(peers.run())
            tasks.create_task(self._pool.restore_paths())
            tasks.create_task(plans.run())
            tasks.create_task(quarantines.run())
            tasks.create_task(
                self._restore_watcher(plans, quarantines, peers).run()
            )

    async def leave(self) -> None:
        """Drains requests, as far as the time until SIGKILL allows.

        The balancer sends callers here until two of its checks have failed, so
        new requests are served for that long; each answer closes its
        connection. A request accepted later could be cut off by SIGKILL.
        Whatever its time of arrival, a request is refused as "not run" instead
        of passed on if it may not end in time.
        """
        end = self._clock.monotonic() + self._settings.stop_time - _STOP_RESERVE
        self.leaving = True
        self.listener.begin_stop(ends_at=end)
        logs.note("process:leaving", in_flight=self.listener.in_flight)
        await self._clock.sleep(_BALANCER_LAG)
        self.listener.stop_accepting()
        while (
            self.listener.open_connections or self._access.server.open_count
        ) and self._clock.monotonic() < end:
            await self._clock.sleep(_POLL)
            self.listener.close_idle()
        logs.note("process:closing", in_flight=self.listener.in_flight)
        self.listener.end_requests()
        end += _LAST_ANSWERS_TIME
        while self.listener.open_connections and self._clock.monotonic() < end:
            await self._clock.sleep(_POLL)
        await self.listener.stop()

    async def close(self) -> None:
        """Closes all connections."""
        for one in self._ports:
            await one.stop()
        self._pool.close()
        await self._session.close()

    async def _settle_forever(
        self, shared: Iterable[shared_table.SharedTable]
    ) -> None:
        """Applies what tables held back after a restore of the store."""
        while True:
            await self._clock.sleep(_SETTLE_PERIOD)
            for table in shared:
                table.copy.settle()

    def _rollout_driver(
        self, plans: shared_table.SharedTable, peers: router_peers.RouterPeers
    ) -> driver.RollOutDriver:
        return driver.RollOutDriver(
            table=store.StoreRows(client=self._store),
            plans=plans.follower,
            read_plans=lambda: peers.follow_once(driver.TABLE),
            rollouts=self.rollouts,
            orders=self.orders,
            status=rollout_rows.PlatformStatusRows(),
            fleet_rate_per_s=lambda service: (
                self.budgets.budget_for(service).requests_per_s()
                * peers.fleet_size
            ),
            store_monitor=self._store_monitor,
            clock=self._clock,
            random_source=self._random,
            instance_id=self._settings.instance_id,
        )

    def _restore_watcher(
        self,
        plans: driver.RollOutDriver,
        quarantines: rows.QuarantineRows,
        peers: router_peers.RouterPeers,
    ) -> restored_rows.RestoreWatcher:
        return restored_rows.RestoreWatcher(
            store_monitor=self._store_monitor,
            rows={
                "plans": (plans, _PLANS_REWRITE_SPREAD),
                "quarantines": (quarantines, _REWRITE_SPREAD),
                "registration": (peers.registry, _REWRITE_SPREAD),
            },
            clock=self._clock,
            random_source=self._random,
        )

    def _quarantine_rows(self) -> rows.QuarantineRows:
        return rows.QuarantineRows(
            registry=self.suspects,
            table=store.StoreRows(client=self._store),
            clock=self._clock,
            random_source=self._random,
        )

    def _hold_list_deletions(self) -> None:
        """Holds deletions after a store outage, in which entries expire."""
        self.directory.hold_after_outage(self._store_monitor.outage_ended_at)

    def _shared(
        self,
        table: str,
        listener: follower.TableListener,
        is_written_again: Callable[[], bool] = lambda: True,
    ) -> shared_table.SharedTable:
        copy = table_copy.TableCopy(
            listener=listener,
            ordered_keys=tables.ORDERED_KEYS.get(table, frozenset()),
            is_written_again=is_written_again,
            clock=self._clock,
        )
        return shared_table.SharedTable(
            copy=copy,
            table_follower=follower.TableFollower(
                table=store.PlatformTable(client=self._store, name=table),
                listener=copy,
                store_monitor=self._store_monitor,
                clock=self._clock,
                random_source=self._random,
            ),
            clock=self._clock,
        )

    async def _ready(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        return web_response.Response(status=200 if self.is_ready else 503)

    async def _show_metrics(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        if request.path != METRICS_PATH:
            return web_response.Response(status=404)
        router_gauges.refresh(
            self.metrics,
            configuration=self.configuration,
            suspects=self.suspects,
            send_limits=self.send_limits,
            speeds=self.speeds,
            directory=self.directory,
            access=self._access,
            peers=self._peers,
            held=self.held,
            connections=self._connections,
            store_monitor=self._store_monitor,
            clock=self._clock,
        )
        body, content_headers = self.metrics.render(
            request.headers.getall(hdrs.ACCEPT, [])
        )
        return web_response.Response(body=body, headers=content_headers)

    async def _serve_text(
        self, name: str, address: str, handler: port.Handler
    ) -> str:
        """Serves on an address; returns it with the port in use."""
        one = port.Port(
            name=name, handler=handler, metrics=self.metrics, clock=self._clock
        )
        self._ports.append(one)
        host, number = _split(address)
        return one.start(host=host, port=number)


def _client_bounds(
    settings: settings_module.InstanceSettings,
) -> bounds.ClientBounds:
    return bounds.bounds_for(
        memory_mb=settings.memory_mb,
        max_descriptors=settings.max_descriptors,
    )


def _schedule(
    settings: settings_module.InstanceSettings,
) -> schedule_module.Schedule:
    return schedule_module.Schedule(
        largest_bad_share=settings.largest_bad_share,
        bad_allowance=settings.bad_allowance,
    )


async def _follow_forever(table: str, peers: router_peers.RouterPeers) -> None:
    while True:
        await peers.follow_once(table)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
