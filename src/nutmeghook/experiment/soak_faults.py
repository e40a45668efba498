"""Injects the faults of a soak: drawn from a seed, overlapping."""

import asyncio
import contextlib
import random

from nutmeghook.experiment import loopback_proxy
from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_trial
from nutmeghook.experiment import trial_routers
from nutmeghook.standins import users_store

ORDER_WITHIN_S = 12.0
_MAX_FAULT_S = 3.0
_FINAL_COPIES = 2
_LISTED_WITHIN_S = 0.3
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


class FaultInjector:
    """Draws faults at random and injects them, overlapping."""

    def __init__(self, *, trial: soak_trial.SoakTrial, draw: random.Random):
        self._trial = trial
        self._draw = draw
        self._replicas = soak_trial.REPLICAS
        self._kinds = (
            self._kill_router,
            self._stop_router,
            self._freeze_router,
            self._fail_store,
            self._forget_history,
            self._fail_store_link,
            self._reset_store_link,
            self._fail_replica_link,
            self._crash_replica,
            self._drain_replica,
            self._remove_key,
            self._order_bad_version,
        )

    async def run(self, *, seconds: float) -> None:
        """Injects faults for a time and waits until the last has ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < end_s:
                await asyncio.sleep(self._draw.uniform(0.2, 1.2))
                kind = self._draw.choice(self._kinds)
                # A separate random source for each fault makes its draws
                # independent of the timing of the others.
                fault_draw = random.Random(self._draw.getrandbits(64))
                tasks.create_task(kind(fault_draw))

    async def send_final_copies(self) -> None:
        """Sends copies of the crashing request to each router.

        All other faults have ended, so the bound applies to every router.
        Between two copies a crashed replica has time to be replaced.
        """
        for router in self._trial.routers * _FINAL_COPIES:
            await self._send_crashing_request(router)
            await asyncio.sleep(platform_trial.RESTART_S + _LISTED_WITHIN_S)

    async def send_crashing_requests(
        self, draw: random.Random, *, seconds: float
    ) -> None:
        """Sends copies of a crashing request to random routers."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            await asyncio.sleep(draw.uniform(0.2, 1.5))
            await self._send_crashing_request(draw.choice(self._trial.routers))

    async def _send_crashing_request(
        self, router: trial_routers.RouterProcess
    ) -> None:
        with self._trial.recorded_fault(soak_checks.CRASHING_REQUEST):
            await self._trial.call(
                "stream", router=router, body=platform_checks.CRASHING_BODY
            )

    @contextlib.contextmanager
    def _one_router(self, draw: random.Random):
        """Reserves a router without another fault; None if there is none."""
        free = [
            router
            for router in self._trial.routers
            if router.name not in self._trial.busy
        ]
        # At least one router stays without a fault, for callers to use.
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
        pause_s = _random_pause_s(draw)
        with self._one_router(draw) as router:
            if router is None:
                return
            with self._trial.recorded_fault("kill", router.name):
                await router.kill()
                await asyncio.sleep(pause_s)
                await self._restart(router)

    async def _restart(self, router: trial_routers.RouterProcess) -> None:
        """Starts a router; records it if it does not begin to serve."""
        await router.start()
        try:
            await self._trial.wait_until_serving(router)
        except TimeoutError:
            self._trial.not_serving.append(
                f"{router.name} does not serve after its start"
            )

    async def _stop_router(self, draw: random.Random) -> None:
        with self._one_router(draw) as router:
            if router is None:
                return
            with self._trial.recorded_fault("stop", router.name, is_stop=True):
                self._trial.stop_statuses.append(await router.stop())
            with self._trial.recorded_fault("start", router.name):
                await self._restart(router)

    async def _freeze_router(self, draw: random.Random) -> None:
        pause_s = _random_pause_s(draw)
        with self._one_router(draw) as router:
            if router is None:
                return
            with self._trial.recorded_fault("freeze", router.name):
                router.pause()
                await asyncio.sleep(pause_s)
                router.resume()

    async def _fail_store(self, draw: random.Random) -> None:
        fault, pause_s = draw.choice(_STORE_FAULTS), _random_pause_s(draw)
        store = self._trial.store
        if store.fault is not users_store.StoreFault.NONE:
            return
        with self._trial.recorded_fault(f"store {fault.value}"):
            store.fault = fault
            await asyncio.sleep(pause_s)
            store.fault = users_store.StoreFault.NONE
            store.apply_late_writes()

    async def _forget_history(self, draw: random.Random) -> None:
        with self._trial.recorded_fault("store forgets its history"):
            self._trial.store.forget_history()

    async def _fail_store_link(self, draw: random.Random) -> None:
        fault, pause_s = draw.choice(_LINK_FAULTS), _random_pause_s(draw)
        name = draw.choice(sorted(self._trial.store_proxies))
        proxy = self._trial.store_proxies[name]
        with self._trial.recorded_fault(f"link to store {fault.value}", name):
            proxy.set_fault(fault, delay_s=draw.uniform(0.05, 0.4))
            await asyncio.sleep(pause_s)
            proxy.set_fault(_LinkFault.NONE)

    async def _reset_store_link(self, draw: random.Random) -> None:
        name = draw.choice(sorted(self._trial.store_proxies))
        with self._trial.recorded_fault("link to store reset", name):
            self._trial.store_proxies[name].reset_all()

    async def _fail_replica_link(self, draw: random.Random) -> None:
        fault, pause_s = draw.choice(_LINK_FAULTS), _random_pause_s(draw)
        proxy = self._trial.replica_proxies[self._random_replica(draw)]
        with self._trial.recorded_fault(f"link to replica {fault.value}"):
            proxy.set_fault(fault, delay_s=draw.uniform(0.02, 0.2))
            await asyncio.sleep(pause_s)
            proxy.set_fault(_LinkFault.NONE)

    async def _crash_replica(self, draw: random.Random) -> None:
        replica_id = self._random_replica(draw)
        with self._trial.recorded_fault("replica crashes"):
            await self._trial.replicas[replica_id].stop()
            self._trial.replica_proxies[replica_id].reset_all()
            await asyncio.sleep(_random_pause_s(draw))
            self._trial.operator.delist_replica(replica_id)
            self._trial.mark_ended(replica_id)
            await self._replace_replica()

    async def _drain_replica(self, draw: random.Random) -> None:
        """Starts a replica's successor, then has the replica leave."""
        replica_id = self._random_replica(draw)
        await self._replace_replica()
        replica = self._trial.replicas[replica_id]
        self._trial.mark_ended(replica_id)
        self._trial.operator.list_replica(
            replica_id,
            address=self._trial.replica_proxies[replica_id].address,
            version="v1",
            leaving=True,
        )
        self._trial.leaving_since_s[replica.replica_id] = (
            asyncio.get_running_loop().time()
        )
        await asyncio.sleep(2 * soak_checks.DRAIN_BOUND_S)
        self._trial.operator.delist_replica(replica_id)

    def _random_replica(self, draw: random.Random) -> str:
        return draw.choice(
            sorted(i for i in self._trial.replicas if i.startswith("v1"))
        )

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
        await asyncio.sleep(2 * soak_checks.CONFIGURATION_BOUND_S)
        trial.removals.append(
            soak_checks.KeyRemoval(key=key, from_s=from_s, to_s=loop.time())
        )
        trial.operator.write_configuration(platform_trial.KEYS)
        trial.busy.discard(key)

    async def _order_bad_version(self, draw: random.Random) -> None:
        trial = self._trial
        if trial.ordered_at_s is not None:
            return
        trial.ordered_at_s = asyncio.get_running_loop().time()
        trial.operator.order_roll_out(
            soak_trial.BAD_VERSION, within_s=ORDER_WITHIN_S
        )
        for number in range(soak_trial.REPLICAS):
            await trial.add_replica(
                f"{soak_trial.BAD_VERSION}-{number}", soak_trial.BAD_VERSION
            )


def _random_pause_s(draw: random.Random) -> float:
    return draw.uniform(0.3, _MAX_FAULT_S)
