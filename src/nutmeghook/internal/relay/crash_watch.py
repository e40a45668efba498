"""Whether a replica has ended when a connection to it is lost."""

import asyncio

from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import pool as pool_module


class LostReplicas:
    """Asks a replica once for all requests that it was lost to.

    A lost connection alone says little: a reset on the way, a garbled answer
    and a process that ended look alike. A process that ended also refuses new
    connections, until another start of it listens there seconds later.
    """

    __slots__ = ("_asking", "_metrics", "_pool")

    def __init__(
        self,
        *,
        pool: pool_module.ConnectionPool,
        metrics: metrics_module.Metrics,
    ):
        self._pool = pool
        self._metrics = metrics
        self._asking: dict[str, asyncio.Task[pool_module.Reachability]] = {}

    def note(
        self,
        job: job_module.Job,
        prepared: prepared_module.Prepared,
        error: outcomes.AttemptError,
    ) -> None:
        """Finds out, beside the request's further way, what was lost."""
        if not isinstance(error, outcomes.ConnectionLostError):
            return
        replica = prepared.replica
        attempt = job.tries
        is_answered = job.is_answered

        def conclude(asking: asyncio.Task[pool_module.Reachability]) -> None:
            if asking.cancelled():
                return
            met = asking.result()
            self._metrics.add("connections_lost_total", replica=met.value)
            logs.note(
                "attempt:lost",
                request=job.log_id,
                identity=job.identity.hex(),
                attempt=attempt,
                replica=replica.entry.replica_id,
                answered=is_answered,
                replica_now=met.value,
            )

        self._ask(replica).add_done_callback(conclude)

    def _ask(
        self, replica: replica_module.Replica
    ) -> asyncio.Task[pool_module.Reachability]:
        replica_id = replica.entry.replica_id
        asking = self._asking.get(replica_id)
        if asking is None:
            asking = asyncio.ensure_future(
                self._pool.probe(replica.entry.address)
            )
            self._asking[replica_id] = asking
            asking.add_done_callback(lambda _: self._asking.pop(replica_id))
        return asking
