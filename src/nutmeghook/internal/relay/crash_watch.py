"""Under which requests replicas end, and which of them to stop."""

import asyncio
import datetime

from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import pool as pool_module


class CrashWatch:
    """Holds the end of a replica against the requests that it had.

    A lost connection alone says little: a reset on the way, a garbled answer
    and a process that ended look alike. A process that ended also refuses new
    connections, until another start of it listens there seconds later. So the
    replica is asked, once for all requests that lost it.
    """

    __slots__ = ("_asking", "_metrics", "_pool", "_registry")

    def __init__(
        self,
        *,
        registry: registry_module.SuspectRegistry,
        pool: pool_module.ConnectionPool,
        metrics: metrics_module.Metrics,
    ):
        self._registry = registry
        self._pool = pool
        self._metrics = metrics
        self._asking: dict[str, asyncio.Task[pool_module.Reachability]] = {}

    def is_quarantined(self, job: job_module.Job) -> bool:
        """Tells whether a request is to be sent to no replica."""
        return self._registry.is_quarantined(job.identity)

    def is_probe_due(self, job: job_module.Job) -> bool:
        """Tells whether a quarantined request may be sent to one replica."""
        return not job.tries and self._registry.is_probe_due(job.identity)

    def note_sent(self, job: job_module.Job) -> None:
        """Takes in that a request is sent: on trial, if it is quarantined."""
        if self.is_quarantined(job):
            self._registry.try_probe(job.identity)

    def refused_for(self, job: job_module.Job) -> datetime.timedelta:
        """Returns for how long a quarantined request is sent to no replica."""
        return self._registry.refused_for(job.identity)

    def note_stream_ended(self, job: job_module.Job) -> None:
        """Takes in that a replica has run a stream to its end."""
        self._registry.note_answered(job.identity)

    def note_answer(
        self, job: job_module.Job, answer: job_module.WholeAnswer
    ) -> None:
        """Takes in a replica's whole answer.

        Only a success shows that it survived the request: it may fail one
        before it runs it.
        """
        if answer.succeeded:
            self._registry.note_answered(job.identity)

    async def note_lost(
        self,
        job: job_module.Job,
        prepared: prepared_module.Prepared,
        error: outcomes.AttemptError,
    ) -> None:
        """Takes in how an attempt ended that gave no answer.

        A request under which no replica has ended goes on at once; for
        another one it is found out first whether this was the next.
        """
        if not isinstance(error, outcomes.ConnectionLostError):
            return
        asking = self._ask(prepared.replica)
        begun = _had_begun(job)
        attempt = job.tries

        def conclude(_: asyncio.Task[pool_module.Reachability]) -> None:
            if not asking.cancelled():
                met = asking.result()
                self._conclude(job, attempt, prepared.replica, met, begun=begun)

        asking.add_done_callback(conclude)
        if self._registry.is_suspect(job.identity):
            await asyncio.wait({asking})

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

    def _conclude(
        self,
        job: job_module.Job,
        attempt: int,
        replica: replica_module.Replica,
        met: pool_module.Reachability,
        *,
        begun: bool,
    ) -> None:
        """Takes in how a lost replica meets a new connection.

        One that was to leave has ended as it was told to.
        """
        self._metrics.add("connections_lost_total", replica=met.value)
        logs.note(
            "attempt:lost",
            request=job.log_id,
            identity=job.identity.hex(),
            attempt=attempt,
            replica=replica.entry.replica_id,
            begun=begun,
            replica_now=met.value,
        )
        has_ended = met is pool_module.Reachability.REFUSES
        if has_ended and not replica.entry.leaving:
            self._registry.note_crash(
                job.identity, replica_hash=replica.short_id, begun=begun
            )


def _had_begun(job: job_module.Job) -> bool:
    """Tells whether a replica was certainly at work on a request.

    An engine sends an answer's head with its first event, and what waits in
    its queue has none. A plain service sends its whole answer at its end, so
    there the head tells nothing.
    """
    return job.route.kind is not model.RouteKind.STREAM or job.is_answered
