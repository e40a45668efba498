"""Puts a router for the users' platform together and runs it."""

import asyncio
import datetime
import random
import signal
import sys

import aiohttp
from aiohttp import web

from nutmeghook.internal.following import follower
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import log_writer
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import attempts
from nutmeghook.internal.relay import listener as listener_module
from nutmeghook.internal.relay import model_choice
from nutmeghook.internal.relay import path as path_module
from nutmeghook.internal.relay import streams
from nutmeghook.internal.relay import whole_answers
from nutmeghook.internal.replicas import choice
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import pool as pool_module
from nutmeghook.internal.upstream import sender as sender_module
from nutmeghook.internal.version_plans import driver
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.internal.version_plans import rollouts as rollouts_module
from nutmeghook.internal.version_plans import schedule as schedule_module
from nutmeghook.platform import headers
from nutmeghook.platform import rollout_rows
from nutmeghook.platform import settings as settings_module
from nutmeghook.platform import store
from nutmeghook.platform import tables

# Part of the fleet's retry ratio that instances use: what they count a little
# differently from the platform must not lead over it.
_RETRY_RATIO_USED = 0.9
_RETRY_BURST = 2
# After SIGTERM callers are still sent here until the balancer has missed two
# answers, which it asks for a second apart.
_BALANCER_LAG = datetime.timedelta(seconds=2.4)
# Kept back from the time until SIGKILL, to close and end by ourselves.
_STOP_RESERVE = datetime.timedelta(milliseconds=700)
_POLL = datetime.timedelta(milliseconds=50)


class Router:
    """One process between callers and replicas."""

    def __init__(
        self,
        *,
        settings: settings_module.InstanceSettings,
        clock: clock_module.Clock,
        loop: asyncio.AbstractEventLoop,
    ):
        self._settings = settings
        self._clock = clock
        self._random = random.Random()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        self._store = store.StoreClient(
            session=self._session, address=settings.store_address
        )
        self._watch = follower.StoreWatch(
            clock=clock, on_return=self._distrust_list
        )
        self.configuration = in_force_module.ConfigurationInForce()
        self.orders = orders_module.OrderBook()
        self._pool = pool_module.ConnectionPool(loop=loop)
        self.directory = directory_module.ReplicaDirectory(
            clock=clock, on_gone=self._pool.forget
        )
        self.rollouts = rollouts_module.RollOuts(
            orders=self.orders,
            directory=self.directory,
            watch=self._watch,
            schedule=schedule_module.Schedule(
                largest_bad_share=settings.roll_outs.largest_share
            ),
            session_time=settings.session_time,
            clock=clock,
        )
        self.metrics = metrics_module.Metrics()
        self.leaving = False
        self._was_ready = False
        self._wire_format = headers.PlatformHeaders()
        self.listener = listener_module.CallerListener(
            path=self._build_path(),
            wire_format=self._wire_format,
            limits=self._caller_limits,
            clock=clock,
        )
        self._runners: list[web.ServerRunner] = []

    def _build_path(self) -> path_module.RequestPath:
        settings = self._settings
        planner = attempts.AttemptPlanner(
            configuration=self.configuration,
            chooser=choice.ReplicaChooser(
                directory=self.directory,
                data_centre=settings.data_centre,
                clock=self._clock,
            ),
            versions=self.rollouts,
            budgets=window_budget.WindowRetryBudgets(
                ratio=settings.retries.ratio * _RETRY_RATIO_USED,
                window=settings.retries.window,
                burst=_RETRY_BURST,
                clock=self._clock,
            ),
            wire_format=self._wire_format,
            clock=self._clock,
            random_source=self._random,
        )
        sender = sender_module.Sender(
            pool=self._pool, wire_format=self._wire_format, clock=self._clock
        )
        return path_module.RequestPath(
            configuration=self.configuration,
            stream_path=streams.StreamPath(
                planner=planner,
                sender=sender,
                models=model_choice.FixedThreshold(),
                wire_format=self._wire_format,
                clock=self._clock,
            ),
            whole_path=whole_answers.WholeAnswerPath(
                planner=planner,
                sender=sender,
                wire_format=self._wire_format,
                clock=self._clock,
            ),
            metrics=self.metrics,
            clock=self._clock,
        )

    def _caller_limits(self) -> model.CallerLimits:
        current = self.configuration.current
        return current.limits if current else model.CallerLimits()

    @property
    def is_ready(self) -> bool:
        """Tells whether callers should be sent here.

        Once ready it stays so until it leaves: what it knows only gets older
        while the store is out, and all instances grow old alike.
        """
        self._was_ready = self._was_ready or (
            self.configuration.current is not None
            and self.directory.known
            and self.rollouts.is_ready
        )
        return self._was_ready and not self.leaving

    async def start(self) -> None:
        """Opens the listening sockets."""
        host, _, port = self._settings.caller_address.rpartition(":")
        await self.listener.start(host=host, port=int(port))
        await self._serve_text(self._settings.ready_address, self._ready)

    async def run(self) -> None:
        """Follows the platform's tables until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(
                self._follower(
                    tables.OPERATOR_TABLE,
                    tables.OperatorRows(
                        configuration=self.configuration, orders=self.orders
                    ),
                ).run()
            )
            tasks.create_task(
                self._follower(
                    tables.REPLICA_TABLE,
                    tables.ReplicaRows(directory=self.directory),
                ).run()
            )
            tasks.create_task(self._rollout_driver().run())

    async def leave(self) -> None:
        """Finishes what is under way, as far as the time until SIGKILL lasts.

        The balancer sends callers here until it has missed two answers, so
        the door stays open for that long and everything is served; each
        answer closes its connection. A request taken any later could run
        into SIGKILL.
        """
        end = self._clock.monotonic() + self._settings.stop_time - _STOP_RESERVE
        self.leaving = True
        self.listener.closing = True
        logs.note("process:leaving", in_flight=self.listener.in_flight)
        await self._clock.sleep(_BALANCER_LAG)
        self.listener.close_door()
        while self.listener.in_flight and self._clock.monotonic() < end:
            await self._clock.sleep(_POLL)
        logs.note("process:closing", in_flight=self.listener.in_flight)
        await self.listener.stop()

    async def close(self) -> None:
        """Closes all connections."""
        for runner in self._runners:
            await runner.cleanup()
        self._pool.close()
        await self._session.close()

    def _rollout_driver(self) -> driver.RollOutDriver:
        rows = driver.PlanRows(
            rollouts=self.rollouts,
            orders=self.orders,
            instance_id=self._settings.instance_id,
        )
        return driver.RollOutDriver(
            table=store.StoreRows(client=self._store),
            plans=self._follower(driver.TABLE, rows),
            rollouts=self.rollouts,
            orders=self.orders,
            status=rollout_rows.PlatformStatusRows(),
            watch=self._watch,
            clock=self._clock,
            random_source=self._random,
            instance_id=self._settings.instance_id,
        )

    def _distrust_list(self) -> None:
        """Holds deletions back after a store outage; entries lapse in it."""
        self.directory.distrust_deletions(
            self._clock.monotonic() + directory_module.LAPSE_GRACE
        )

    def _follower(
        self, table: str, reader: follower.TableReader
    ) -> follower.TableFollower:
        return follower.TableFollower(
            table=store.PlatformTable(client=self._store, name=table),
            reader=reader,
            watch=self._watch,
            clock=self._clock,
            random_source=self._random,
        )

    async def _ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    async def _serve_text(self, address: str, handler) -> None:
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)


async def serve(settings: settings_module.InstanceSettings) -> int:
    """Serves until SIGTERM; returns the process's exit status."""
    loop = asyncio.get_running_loop()
    writer = log_writer.BoundedLogWriter(
        descriptor=sys.stdout.fileno(), loop=loop
    )
    logs.start_with(writer)
    router = Router(
        settings=settings, clock=clock_module.SystemClock(), loop=loop
    )
    told = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, told.set)
    loop.add_signal_handler(signal.SIGINT, told.set)
    await router.start()
    logs.note(
        "process:started",
        instance=settings.instance_id,
        data_centre=settings.data_centre,
        address=router.listener.address,
    )
    running = asyncio.create_task(router.run())
    waiting = asyncio.create_task(told.wait())
    await asyncio.wait({running, waiting}, return_when=asyncio.FIRST_COMPLETED)
    failure = running.exception() if running.done() else None
    if failure is not None:
        logs.note("process:part_failed", failure=repr(failure))
    await router.leave()
    running.cancel()
    await asyncio.wait({running})
    await router.close()
    logs.note("process:ended", failed=failure is not None)
    writer.flush()
    return 1 if failure is not None else 0
