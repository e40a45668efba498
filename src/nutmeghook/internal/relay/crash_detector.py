"""Detects crashes of replicas, and reports the requests that they had."""

import asyncio
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import standstill as standstill_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import liveness as liveness_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import reachability as reachability_module

_REFUSES = reachability_module.Reachability.REFUSES


class CrashDetector:
    """Counts a replica's crash against the requests that it had.

    A lost connection alone is no evidence: a reset on the way, a garbled answer
    and a crash look alike. A crashed process also refuses new connections,
    until it has restarted seconds later. So the replica is probed, once for all
    requests that lost theirs.
    """

    __slots__ = (
        "_clock",
        "_metrics",
        "_probes",
        "_registry",
        "_standstills",
    )

    def __init__(
        self,
        *,
        registry: registry_module.SuspectRegistry,
        probes: liveness_module.LivenessProbes,
        standstills: standstill_module.StandstillMonitor,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._standstills = standstills
        self._registry = registry
        self._probes = probes
        self._metrics = metrics
        self._clock = clock

    def is_quarantined(self, job: job_module.Job) -> bool:
        """Tells whether a request or a part of its prompt is quarantined."""
        return self._registry.is_quarantined(job.identity, job.part_identities)

    def is_probe_due(self, job: job_module.Job) -> bool:
        """Tells whether a quarantined request may be sent once, as a probe."""
        return not job.tries and self._registry.is_probe_due(
            job.identity, job.part_identities
        )

    def note_sent(self, job: job_module.Job) -> None:
        """Records that a request is sent: as a probe, if it is quarantined."""
        if self.is_quarantined(job):
            self._registry.try_probe(job.identity, job.part_identities)

    def refused_for(self, job: job_module.Job) -> datetime.timedelta:
        """Returns for how long a quarantined request is sent to no replica."""
        return self._registry.refused_for(job.identity, job.part_identities)

    def note_stream_ended(self, job: job_module.Job) -> None:
        """Records that a replica has run a stream to its end."""
        self._registry.note_answered(job.identity, job.part_identities)

    def note_answer(
        self, job: job_module.Job, answer: job_module.WholeAnswer
    ) -> None:
        """Records a replica's whole answer.

        Only a success shows that the replica survived the request: it may fail
        a request before running it.
        """
        if answer.succeeded:
            self._registry.note_answered(job.identity, job.part_identities)

    async def confirm_end(
        self,
        prepared: prepared_module.PreparedAttempt,
        head: connection_module.AnswerHead,
    ) -> None:
        """Checks that an answer that was received is complete.

        If the connection's end is the answer's, the end of the replica's
        process looks like it, so the replica is probed. Its next start may
        answer under the same id, after a standstill of this process too.

        Raises:
            outcomes.ConnectionLostError: The process has ended, or may have.
        """
        if not head.ends_with_connection:
            return
        replica = prepared.replica
        liveness = await asyncio.shield(self._probes.start(replica))
        if self._is_alive(prepared, liveness):
            return
        logs.note(
            "answer:end_unconfirmed",
            request=prepared.outgoing.request_id,
            replica=replica.entry.replica_id,
            replica_now=liveness.reachability.value,
            restarted=liveness.has_restarted(replica) or None,
            leaving=replica.is_leaving,
        )
        raise outcomes.ConnectionLostError("the replica may have ended")

    def _is_alive(
        self,
        prepared: prepared_module.PreparedAttempt,
        liveness: liveness_module.Liveness,
    ) -> bool:
        """Tells whether a probe shows that an attempt's process still runs."""
        replica = prepared.replica
        if not liveness.has_answered or liveness.has_restarted(replica):
            return False
        if liveness.is_same_start(replica):
            return True
        # The replica may have ended and started again unnoticed meanwhile.
        return not self._standstills.has_ended_since(prepared.sent_at)

    async def note_lost(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        error: outcomes.AttemptError,
    ) -> None:
        """Records an attempt that gave no answer.

        Returns at once for a request that has crashed no replica yet. For a
        suspect one, waits until it is known whether this replica crashed too.
        """
        if not isinstance(error, outcomes.ConnectionLostError):
            return
        probing = self._probes.start(prepared.replica)
        begun = _had_begun(job) or prepared.begins_at_once
        attempt = job.tries
        begun_for = datetime.timedelta()
        if job.is_answered:
            begun_for = self._clock.monotonic() - job.answered_at

        def conclude(_: asyncio.Task[liveness_module.Liveness]) -> None:
            if not probing.cancelled():
                self._conclude(
                    job,
                    attempt,
                    prepared,
                    probing.result(),
                    begun=begun,
                    begun_for=begun_for,
                )

        probing.add_done_callback(conclude)
        if self._registry.is_suspect(job.identity, job.part_identities):
            await asyncio.wait({probing})

    def _conclude(
        self,
        job: job_module.Job,
        attempt: int,
        prepared: prepared_module.PreparedAttempt,
        liveness: liveness_module.Liveness,
        *,
        begun: bool,
        begun_for: datetime.timedelta,
    ) -> None:
        """Records how a replica responded to the probe after a lost connection.

        A leaving replica that refuses connections has not crashed.
        """
        replica = prepared.replica
        reachability = liveness.reachability
        self._metrics.add("connections_lost_total", replica=reachability.value)
        logs.note(
            "attempt:lost",
            request=job.log_id,
            identity=job.identity.hex(),
            prompt_parts={
                part_id: part.hex()
                for part_id, part in zip(
                    job.shared_part_ids, job.part_identities, strict=True
                )
            },
            attempt=attempt,
            replica=replica.entry.replica_id,
            begun=begun,
            replica_now=reachability.value,
            restarted=liveness.has_restarted(replica) or None,
        )
        has_ended = reachability is _REFUSES or liveness.has_restarted(replica)
        if has_ended and not replica.is_leaving:
            self._registry.note_crash(
                job.identity,
                replica_hash=replica.short_id,
                begun=begun,
                begun_for=begun_for,
                sent_at=prepared.sent_at,
                parts=job.part_identities,
            )


def _had_begun(job: job_module.Job) -> bool:
    """Tells whether a replica is known to have begun to run a request.

    An engine sends an answer's head with its first event, so a request that
    still waits in its queue has none. A plain service sends its whole answer at
    the end, so its requests always count as begun.
    """
    return job.route.kind is not model.RouteKind.STREAM or job.is_answered
