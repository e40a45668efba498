"""A platform trial with loopback proxies before the store and replicas."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
import random

from nutmeghook.experiment import loopback_proxy
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import soak_checks
from nutmeghook.standins import users_replica

REPLICAS = 4
BAD_VERSION = "v2"
_ChangeReply = Callable[
    [users_replica.ReceivedRequest, users_replica.Reply], users_replica.Reply
]


class SoakTrial(platform_trial.PlatformTrial):
    """A platform trial with a proxy on each link and a record of faults."""

    def __init__(self, *, folder: pathlib.Path, seed: int, routers: int):
        super().__init__(folder=folder, seed=seed, routers=routers)
        self.draw = random.Random(seed)
        self.store_proxies: dict[str, loopback_proxy.LoopbackProxy] = {}
        self.replica_proxies: dict[str, loopback_proxy.LoopbackProxy] = {}
        self.broken: set[str] = set()
        self.leaving_since_s: dict[str, float] = {}
        self.injected_faults: list[soak_checks.InjectedFault] = []
        self.removals: list[soak_checks.KeyRemoval] = []
        self.evacuations: list[soak_checks.Evacuation] = []
        self.cold: list[soak_checks.ColdTime] = []
        self.data_centres: dict[str, str] = {}
        self.stated_limits: list[soak_checks.StatedLimit] = []
        self.refusals: list[soak_checks.RestingRefusal] = []
        self.said_leaving_since_s: dict[str, float] = {}
        self.ordered_at_s: float | None = None
        self.cuts: list[soak_checks.PathsCut] = []
        self.brittle: list[soak_checks.BrittleTime] = []
        # How long streams take; None for as long as usual.
        self.stream_s: float | None = None
        # Changes replies; None leaves them as they are.
        self.change_reply: _ChangeReply | None = None
        self.busy: set[str] = set()
        self.not_serving: list[str] = []

    async def add_replica(
        self,
        replica_id: str,
        version: str,
        *,
        data_centre: str = "hall",
        cold_left_s: float = 0.0,
    ) -> None:
        """Starts a replica; records its data centre and when it is cold."""
        self.data_centres[replica_id] = data_centre
        if cold_left_s:
            listed_s = asyncio.get_running_loop().time()
            self.cold.append(
                soak_checks.ColdTime(
                    replica_id=replica_id,
                    from_s=listed_s,
                    to_s=listed_s + cold_left_s,
                )
            )
        await super().add_replica(
            replica_id,
            version,
            data_centre=data_centre,
            cold_left_s=cold_left_s,
        )

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
        self, request: users_replica.ReceivedRequest, version: str
    ) -> users_replica.Reply:
        """Records which answers the replica itself breaks off."""
        reply = super().reply(request, version)
        if self.change_reply is not None:
            reply = self.change_reply(request, reply)
        if reply.send_bytes is not None or reply.status >= 500:
            self.broken.add(request.request_id)
        if self.stream_s is not None and reply.events:
            pause_s = max(reply.pause_s, self.stream_s / len(reply.events))
            return dataclasses.replace(reply, pause_s=pause_s)
        return reply

    async def end(self) -> None:
        """Resumes paused routers, then ends all parts and the proxies."""
        for router in self.routers:
            if router.process and router.process.returncode is None:
                router.resume()
        await super().end()
        for proxy in (
            *self.store_proxies.values(),
            *self.replica_proxies.values(),
        ):
            await proxy.stop()

    @contextlib.contextmanager
    def recorded_fault(
        self,
        kind: str,
        router: str = soak_checks.ALL_ROUTERS,
        *,
        is_stop: bool = False,
    ):
        """Records a fault that lasts as long as the context."""
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        # Recorded as endless at first: the checks may run before it ends.
        position = len(self.injected_faults)
        fault = soak_checks.InjectedFault(
            kind=kind,
            router=router,
            from_s=from_s,
            to_s=float("inf"),
            is_stop=is_stop,
        )
        self.injected_faults.append(fault)
        try:
            yield
        finally:
            self.injected_faults[position] = dataclasses.replace(
                fault, to_s=loop.time()
            )

    def close_replica_address(self, replica_id: str) -> None:
        """Has the proxy of a crashed replica refuse connections."""
        self.replica_proxies[replica_id].close()

    def unexpected_exits(self) -> list[str]:
        """Returns the routers that exited unexpectedly."""
        return [
            f"{router.name} exited unexpectedly with status {status}"
            for router in self.routers
            for status in router.unexpected_exits
        ]

    def history(self) -> soak_checks.History:
        """Returns the soak's history."""
        replicas = self.all_replicas()
        return soak_checks.History(
            calls=self.calls,
            injected_faults=self.injected_faults,
            removals=self.removals,
            received={i: replica.received for i, replica in replicas.items()},
            runs=self.runs(),
            broken=self.broken,
            abandoned=self.abandoned,
            leaving_since_s=self.leaving_since_s,
            stop_statuses=self.stop_statuses,
            crashes=self.crashes,
            bad_runs=sum(
                len(replica.ran)
                for replica_id, replica in replicas.items()
                if replica_id.startswith(BAD_VERSION)
            ),
            ordered_at_s=self.ordered_at_s,
            evacuations=self.evacuations,
            cold=self.cold,
            data_centres=self.data_centres,
            stated_limits=self.stated_limits,
            refusals=self.refusals,
            said_leaving_since_s=self.said_leaving_since_s,
            cuts=self.cuts,
            brittle=self.brittle,
            final_state=self.operator.roll_out_state(),
        )
