"""Tells whether the process of a replica still runs.

When a process is killed, the system closes its connections one after the other,
and goes on accepting new ones in its name until its listening socket has been
closed, too. So an accepted connection is no sign of life; only an answer to a
request that was sent later is one.
"""

import asyncio
import datetime

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import pool as pool_module
from nutmeghook.internal.upstream import reachability as reachability_module

_Reachability = reachability_module.Reachability

# A live replica answers within a few milliseconds, or rejects the request after
# the time that it states, if it has no slot free.
_TIME_LIMIT = datetime.timedelta(milliseconds=350)
_STATED_TIME = datetime.timedelta(milliseconds=250)
# A process that ends usually closes its listening socket within milliseconds.
# Each further pause is twice as long, so that a faulty replica gets few probes.
_FIRST_PAUSE = datetime.timedelta(milliseconds=10)
_DEFAULT_PATH = "/health"
# Two statements of one start may differ a little. A replica takes longer than
# this to start again.
_SAME_START_MS = 500
_WRONG_REPLICA_STATUS = 421


class Liveness(msgspec.Struct, frozen=True, kw_only=True):
    """How a replica responded to a probe.

    Attributes:
        reachability: How it responded to the last connection.
        has_answered: It has answered a request, so its process was running when
            the probe was sent.
        started_ms: Unix time of the start of the process that answered; 0 if it
            is not known.
    """

    reachability: _Reachability
    has_answered: bool
    started_ms: int = 0

    def has_restarted(self, replica: replica_module.Replica) -> bool:
        """Tells whether a later start of the replica has answered."""
        return (
            self.started_ms > replica.entry.started_ms + _SAME_START_MS
            and replica.entry.started_ms > 0
        )

    def is_same_start(self, replica: replica_module.Replica) -> bool:
        """Tells whether the start that is listed has answered."""
        distance_ms = abs(self.started_ms - replica.entry.started_ms)
        return self.started_ms > 0 and distance_ms <= _SAME_START_MS


class LivenessProbes:
    """Sends replicas requests that they answer while their process runs.

    A replica has one probe at a time, and one that waits for it.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_metrics",
        "_pool",
        "_running",
        "_unsent",
        "_wire_format",
    )

    def __init__(
        self,
        *,
        pool: pool_module.ConnectionPool,
        configuration: in_force_module.ConfigurationInForce,
        wire_format: wire.WireFormat,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._pool = pool
        self._configuration = configuration
        self._wire_format = wire_format
        self._metrics = metrics
        self._clock = clock
        # By replica id. The answer to a probe that was sent before shows
        # nothing, so only one that is yet to be sent is shared.
        self._unsent: dict[str, asyncio.Task[Liveness]] = {}
        self._running: dict[str, asyncio.Task[Liveness]] = {}

    def start(self, replica: replica_module.Replica) -> asyncio.Task[Liveness]:
        """Returns a probe that is sent after this call; shield it."""
        replica_id = replica.entry.replica_id
        probing = self._unsent.get(replica_id)
        if probing is None:
            probing = asyncio.ensure_future(self._run(replica))
            self._unsent[replica_id] = probing
            probing.add_done_callback(
                lambda done: self._discard(replica_id, done)
            )
        return probing

    def _discard(self, replica_id: str, done: asyncio.Task[Liveness]) -> None:
        for probes in (self._unsent, self._running):
            if probes.get(replica_id) is done:
                del probes[replica_id]

    async def _run(self, replica: replica_module.Replica) -> Liveness:
        replica_id = replica.entry.replica_id
        before = self._running.get(replica_id)
        if before is not None:
            await asyncio.wait({before})
        self._running[replica_id] = asyncio.current_task()
        liveness = await self._probe(replica)
        self._metrics.add(
            "liveness_probes_total",
            replica=liveness.reachability.value,
            answered=str(liveness.has_answered).lower(),
        )
        return liveness

    async def _probe(self, replica: replica_module.Replica) -> Liveness:
        """Probes until the replica answers or refuses, or the time is up."""
        end = self._clock.monotonic() + _TIME_LIMIT
        reachability = _Reachability.DARK
        pause = _FIRST_PAUSE
        while (left := end - self._clock.monotonic()) > datetime.timedelta():
            try:
                connection = await self._pool.open_for_probe(
                    replica.entry.address
                )
            except outcomes.NotSentError as error:
                return Liveness(
                    reachability=error.reachability or _Reachability.NOT_ASKED,
                    has_answered=False,
                )
            reachability = _Reachability.ACCEPTS
            if connection.helper is not None:
                reachability = _Reachability.BYPASSED
            self._note_sent(replica.entry.replica_id)
            try:
                head, body = await self._clock.wait_for(
                    self._pool.exchange_probe(
                        replica.entry.address,
                        connection,
                        self._message(replica),
                    ),
                    left,
                )
            except TimeoutError:
                break
            except outcomes.AttemptError:
                await self._clock.sleep(pause)
                pause *= 2
                continue
            return Liveness(
                reachability=reachability,
                has_answered=head.status != _WRONG_REPLICA_STATUS,
                started_ms=self._wire_format.read_start_ms(body),
            )
        return Liveness(reachability=reachability, has_answered=False)

    def _note_sent(self, replica_id: str) -> None:
        """Lets later callers have a probe of their own."""
        if self._unsent.get(replica_id) is asyncio.current_task():
            del self._unsent[replica_id]

    def _message(self, replica: replica_module.Replica) -> bytes:
        entry = replica.entry
        configuration = self._configuration.current
        service = configuration and configuration.services.get(entry.service)
        path = service.liveness_path if service else _DEFAULT_PATH
        return wire.encode_probe(
            self._wire_format, path, entry, time_left=_STATED_TIME
        )
