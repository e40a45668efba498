"""A randomized soak: routers as processes, harmed from outside, judged.

Troubles come in series and overlap. They are drawn from the seed, so that a
seed plays the same troubles again; when exactly each request meets them is
the machine's affair.
"""

import asyncio
from collections.abc import Coroutine
import contextlib
import dataclasses
import pathlib
import random
import signal
import tempfile
from typing import Any

import msgspec

from nutmeghook.experiment import loopback_proxy
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import soak_checks
from nutmeghook.standins import users_replica
from nutmeghook.standins import users_store

REPLICAS = 4
# For how long troubles begin.
SECONDS = 12.0
BAD_VERSION = "v2"
ORDER_WITHIN_S = 12.0
# After the last trouble, before every router is asked to serve.
SETTLE_S = 4.0
RECOVERY_S = 6.0
# On a machine that may be busy: only a router that never serves is found.
_PATIENT_RECOVERY_S = 60.0
PROBES = 5
_LONGEST_TROUBLE_S = 3.0
_LinkFault = loopback_proxy.LinkFault
_STORE_FAULTS = (
    users_store.StoreFault.REFUSING,
    users_store.StoreFault.BUSY,
    users_store.StoreFault.SILENT,
    users_store.StoreFault.LOSING_ANSWERS,
    users_store.StoreFault.LATE_WRITES,
)
_LINK_FAULTS = (
    _LinkFault.DELAYED,
    _LinkFault.SILENT,
    _LinkFault.SILENT_TO_TARGET,
    _LinkFault.SILENT_FROM_TARGET,
    _LinkFault.REFUSING,
)


class SoakTrial(platform_trial.PlatformTrial):
    """A platform behind proxies, with routers that come and go."""

    def __init__(self, *, folder: pathlib.Path, seed: int, routers: int):
        super().__init__(folder=folder, seed=seed, routers=routers)
        self.draw = random.Random(seed)
        self.store_proxies: dict[str, loopback_proxy.LoopbackProxy] = {}
        self.replica_proxies: dict[str, loopback_proxy.LoopbackProxy] = {}
        self.broken: set[str] = set()
        self.left_at_s: dict[str, float] = {}
        self.troubles: list[soak_checks.Trouble] = []
        self.removals: list[soak_checks.KeyRemoval] = []
        self.order_s: float | None = None
        self.busy: set[str] = set()
        self.unserved: list[str] = []
        self.ended_replicas: dict[str, users_replica.StandInReplica] = {}

    async def store_address(self, router_name: str) -> str:
        """Puts a proxy between a router and the store."""
        proxy = loopback_proxy.LoopbackProxy(target=self.store.address)
        await proxy.start()
        self.store_proxies[router_name] = proxy
        return proxy.address

    async def replica_address(
        self, replica: users_replica.StandInReplica
    ) -> str:
        """Puts a proxy before a replica."""
        proxy = loopback_proxy.LoopbackProxy(target=replica.address)
        await proxy.start()
        self.replica_proxies[replica.replica_id] = proxy
        return proxy.address

    def reply(
        self, request: users_replica.SeenRequest, version: str
    ) -> users_replica.Reply:
        """Notes which answers the replica itself breaks off."""
        reply = super().reply(request, version)
        if reply.send_bytes is not None or reply.status >= 500:
            self.broken.add(request.request_id)
        return reply

    async def end(self) -> None:
        """Ends everything that was started here."""
        for router in self.routers:
            if router.process and router.process.returncode is None:
                router.resume()
        await super().end()
        for replica in self.ended_replicas.values():
            await replica.stop()
        for proxy in (
            *self.store_proxies.values(),
            *self.replica_proxies.values(),
        ):
            await proxy.stop()

    def history(self) -> soak_checks.History:
        """Returns all that was seen."""
        replicas = self.replicas | self.ended_replicas
        runs: dict[str, int] = {}
        for replica in replicas.values():
            for request_id in replica.ran:
                runs[request_id] = runs.get(request_id, 0) + 1
        return soak_checks.History(
            calls=self.calls,
            troubles=self.troubles,
            removals=self.removals,
            seen={i: replica.seen for i, replica in replicas.items()},
            runs=runs,
            broken=self.broken,
            given_up=self.given_up,
            left_at_s=self.left_at_s,
            stop_statuses=self.stop_statuses,
            bad_runs=sum(
                len(replica.ran)
                for replica_id, replica in replicas.items()
                if replica_id.startswith(BAD_VERSION)
            ),
            order_s=self.order_s,
            final_state=self.operator.roll_out_state(),
        )


class Troubles:
    """Draws troubles and plays them, one over the other."""

    def __init__(self, *, trial: SoakTrial, draw: random.Random):
        self._trial = trial
        self._draw = draw
        self._replicas = REPLICAS
        self._kinds = (
            self._kill_router,
            self._stop_router,
            self._freeze_router,
            self._harm_store,
            self._forget_history,
            self._harm_way_to_store,
            self._reset_way_to_store,
            self._harm_way_to_replica,
            self._crash_replica,
            self._empty_replica,
            self._remove_key,
            self._order_bad_version,
        )

    async def run(self, *, seconds: float) -> None:
        """Plays troubles for a while, and waits for the last to end."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < end_s:
                await asyncio.sleep(self._draw.uniform(0.2, 1.2))
                kind = self._draw.choice(self._kinds)
                # Each draws from a source of its own: what one draws does not
                # depend on when the others come to it.
                own_draw = random.Random(self._draw.getrandbits(64))
                tasks.create_task(kind(own_draw))

    @contextlib.contextmanager
    def _noted(
        self,
        kind: str,
        router: str = soak_checks.ALL_ROUTERS,
        *,
        is_stop: bool = False,
    ):
        """Notes a trouble once it has ended."""
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        # Noted as lasting for ever until it ends: a check may come first.
        position = len(self._trial.troubles)
        trouble = soak_checks.Trouble(
            kind=kind,
            router=router,
            from_s=from_s,
            to_s=float("inf"),
            is_stop=is_stop,
        )
        self._trial.troubles.append(trouble)
        try:
            yield
        finally:
            self._trial.troubles[position] = dataclasses.replace(
                trouble, to_s=loop.time()
            )

    @contextlib.contextmanager
    def _one_router(self, draw: random.Random):
        """Takes a router that no other trouble has; None if all are taken."""
        free = [
            router
            for router in self._trial.routers
            if router.name not in self._trial.busy
        ]
        # One router at least is left alone, as callers retry elsewhere.
        if len(free) < 2:
            yield None
            return
        chosen = draw.choice(free)
        self._trial.busy.add(chosen.name)
        try:
            yield chosen
        finally:
            self._trial.busy.discard(chosen.name)

    async def _kill_router(self, draw: random.Random) -> None:
        pause_s = _while_s(draw)
        with self._one_router(draw) as router:
            if router is None:
                return
            with self._noted("kill", router.name):
                await router.kill()
                await asyncio.sleep(pause_s)
                await self._start_again(router)

    async def _start_again(self, router: platform_trial.RouterProcess) -> None:
        """Starts a router; notes it if it does not come to serve."""
        await router.start()
        try:
            await self._trial.until_served(router)
        except TimeoutError:
            self._trial.unserved.append(
                f"{router.name} does not serve after its start"
            )

    async def _stop_router(self, draw: random.Random) -> None:
        with self._one_router(draw) as router:
            if router is None:
                return
            with self._noted("stop", router.name, is_stop=True):
                self._trial.stop_statuses.append(await router.stop())
            with self._noted("start", router.name):
                await self._start_again(router)

    async def _freeze_router(self, draw: random.Random) -> None:
        pause_s = _while_s(draw)
        with self._one_router(draw) as router:
            if router is None:
                return
            with self._noted("freeze", router.name):
                router.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(pause_s)
                router.resume()

    async def _harm_store(self, draw: random.Random) -> None:
        fault, pause_s = draw.choice(_STORE_FAULTS), _while_s(draw)
        store = self._trial.store
        if store.fault is not users_store.StoreFault.NONE:
            return
        with self._noted(f"store {fault.value}"):
            store.fault = fault
            await asyncio.sleep(pause_s)
            store.fault = users_store.StoreFault.NONE
            store.do_late_writes()

    async def _forget_history(self, draw: random.Random) -> None:
        with self._noted("store forgets its history"):
            self._trial.store.forget_history()

    async def _harm_way_to_store(self, draw: random.Random) -> None:
        fault, pause_s = draw.choice(_LINK_FAULTS), _while_s(draw)
        name = draw.choice(sorted(self._trial.store_proxies))
        proxy = self._trial.store_proxies[name]
        with self._noted(f"way to store {fault.value}", name):
            proxy.set_fault(fault, delay_s=draw.uniform(0.05, 0.4))
            await asyncio.sleep(pause_s)
            proxy.set_fault(_LinkFault.NONE)

    async def _reset_way_to_store(self, draw: random.Random) -> None:
        name = draw.choice(sorted(self._trial.store_proxies))
        with self._noted("way to store reset", name):
            self._trial.store_proxies[name].reset_all()

    async def _harm_way_to_replica(self, draw: random.Random) -> None:
        fault, pause_s = draw.choice(_LINK_FAULTS), _while_s(draw)
        proxy = self._trial.replica_proxies[self._some_replica(draw)]
        with self._noted(f"way to replica {fault.value}"):
            proxy.set_fault(fault, delay_s=draw.uniform(0.02, 0.2))
            await asyncio.sleep(pause_s)
            proxy.set_fault(_LinkFault.NONE)

    async def _crash_replica(self, draw: random.Random) -> None:
        replica_id = self._some_replica(draw)
        with self._noted("replica crashes"):
            await self._trial.replicas[replica_id].stop()
            self._trial.replica_proxies[replica_id].reset_all()
            await asyncio.sleep(_while_s(draw))
            self._trial.operator.strike_replica(replica_id)
            self._forget(replica_id)
            await self._replace_replica()

    async def _empty_replica(self, draw: random.Random) -> None:
        """Has a replica leave; its successor comes first."""
        replica_id = self._some_replica(draw)
        await self._replace_replica()
        replica = self._trial.replicas[replica_id]
        self._forget(replica_id)
        self._trial.operator.list_replica(
            replica_id,
            address=self._trial.replica_proxies[replica_id].address,
            version="v1",
            leaving=True,
        )
        self._trial.left_at_s[replica.replica_id] = (
            asyncio.get_running_loop().time()
        )
        await asyncio.sleep(2 * soak_checks.DRAINED_S)
        self._trial.operator.strike_replica(replica_id)

    def _some_replica(self, draw: random.Random) -> str:
        return draw.choice(
            sorted(i for i in self._trial.replicas if i.startswith("v1"))
        )

    def _forget(self, replica_id: str) -> None:
        replica = self._trial.replicas.pop(replica_id, None)
        if replica is not None:
            self._trial.ended_replicas[replica_id] = replica

    async def _replace_replica(self) -> None:
        self._replicas += 1
        await self._trial.add_replica(f"v1-{self._replicas}", "v1")

    async def _remove_key(self, draw: random.Random) -> None:
        key = platform_trial.KEYS[1]
        trial = self._trial
        if key in trial.busy:
            return
        trial.busy.add(key)
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        trial.operator.write_configuration(platform_trial.KEYS[:1])
        await asyncio.sleep(2 * soak_checks.IN_FORCE_S)
        trial.removals.append(
            soak_checks.KeyRemoval(key=key, from_s=from_s, to_s=loop.time())
        )
        trial.operator.write_configuration(platform_trial.KEYS)
        trial.busy.discard(key)

    async def _order_bad_version(self, draw: random.Random) -> None:
        trial = self._trial
        if trial.order_s is not None:
            return
        trial.order_s = asyncio.get_running_loop().time()
        trial.operator.order_roll_out(BAD_VERSION, within_s=ORDER_WITHIN_S)
        for number in range(REPLICAS):
            await trial.add_replica(f"{BAD_VERSION}-{number}", BAD_VERSION)


def _while_s(draw: random.Random) -> float:
    return draw.uniform(0.3, _LONGEST_TROUBLE_S)


class SoakReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a soak came to."""

    seed: int
    routers: int
    troubles: int
    calls: int
    answered: int
    violations: list[str]


async def run(
    *,
    folder: pathlib.Path,
    seed: int,
    seconds: float = SECONDS,
    routers: int = 4,
    rate_per_s: float = 40.0,
    with_bounds: bool = True,
) -> SoakReport:
    """Plays one seed and judges what was seen."""
    trial = SoakTrial(folder=folder, seed=seed, routers=routers)
    try:
        await trial.start()
        for number in range(3, REPLICAS):
            await trial.add_replica(f"v1-{number}", "v1")
        stop_load = asyncio.Event()
        load = asyncio.create_task(_load(trial, rate_per_s, stop_load))
        await Troubles(trial=trial, draw=random.Random(seed)).run(
            seconds=seconds
        )
        await asyncio.sleep(SETTLE_S)
        unserved = await _not_recovered(
            trial, RECOVERY_S if with_bounds else _PATIENT_RECOVERY_S
        )
        stop_load.set()
        await load
        history = trial.history()
        return SoakReport(
            seed=seed,
            routers=routers,
            troubles=len(trial.troubles),
            calls=len(trial.calls),
            answered=sum(c.status == 200 and c.complete for c in trial.calls),
            violations=soak_checks.violations(history, with_bounds=with_bounds)
            + (trial.unserved if with_bounds else [])
            + unserved,
        )
    finally:
        await trial.end()


async def _load(
    trial: SoakTrial, rate_per_s: float, stop: asyncio.Event
) -> None:
    """Sends steady load of all kinds to all routers until told to stop."""
    async with asyncio.TaskGroup() as tasks:
        while not stop.is_set():
            kind = trial.draw.choice(("stream", "stream", "once"))
            key = trial.draw.choice(platform_trial.KEYS)
            tasks.create_task(trial.call(kind, key=key))
            await asyncio.sleep(1 / rate_per_s)


async def _not_recovered(trial: SoakTrial, within_s: float) -> list[str]:
    """Asks every router, and says which do not serve."""
    found = []
    for router in trial.routers:
        try:
            async with asyncio.timeout(within_s):
                for _ in range(PROBES):
                    await trial.until_served(router)
        except TimeoutError:
            found.append(f"{router.name} does not serve after all troubles")
    return found


async def _run_until_told_to_stop(
    work: Coroutine[Any, Any, SoakReport],
) -> SoakReport:
    """Ends the routers too when this process is told to stop."""
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(*, seed: int, seconds: float, routers: int, keep: str) -> int:
    """Prints a soak's report as JSON; 1 if something did not hold."""
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(keep) if keep else pathlib.Path(folder)
        place.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            _run_until_told_to_stop(
                run(folder=place, seed=seed, seconds=seconds, routers=routers)
            )
        )
    print(msgspec.json.encode(report).decode())
    return 1 if report.violations else 0
