"""Asks replicas whether they are cold while the list can't tell.

A replica may turn cold at any moment. Its entry says so, and its answers to
health checks. Entries don't change while the store is away, and callers'
requests are answered without a word of it, so replicas that get requests are
asked then.
"""

import asyncio
from collections.abc import Callable
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import pool as pool_module

# A replica bears too many requests for a second or two after it turned cold.
ASK_PERIOD = datetime.timedelta(milliseconds=500)
# A health check waits for a slot, or is rejected after the time that it states.
_STATED_TIME = datetime.timedelta(milliseconds=250)
_TIME_LIMIT = datetime.timedelta(milliseconds=350)


class ColdWatch:
    """Sends health checks to replicas whose entries may be out of date.

    Args:
        is_list_stale: Tells whether nothing proves that the list is the newest.
        configuration: Knows which services limit the load of cold replicas.
        directory: Gets what replicas say.
        pool: Opens connections.
        wire_format: Encodes checks and reads their answers.
        clock: Measures time.
    """

    __slots__ = (
        "_asked_at",
        "_checks",
        "_clock",
        "_configuration",
        "_directory",
        "_is_list_stale",
        "_pool",
        "_wire_format",
    )

    def __init__(
        self,
        *,
        is_list_stale: Callable[[], bool],
        configuration: in_force_module.ConfigurationInForce,
        directory: directory_module.ReplicaDirectory,
        pool: pool_module.ConnectionPool,
        wire_format: wire.WireFormat,
        clock: clock_module.Clock,
    ):
        self._is_list_stale = is_list_stale
        self._configuration = configuration
        self._directory = directory
        self._pool = pool
        self._wire_format = wire_format
        self._clock = clock
        # By replica id, while the list is out of date.
        self._asked_at: dict[str, datetime.timedelta] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def note_send(self, replica: replica_module.Replica) -> None:
        """Has a replica asked, if that is due, as it gets a request."""
        service = self._service_of(replica)
        if service is None or not service.cold_per_s:
            return
        if not self._is_list_stale():
            self._asked_at.clear()
            return
        now = self._clock.monotonic()
        asked_at = self._asked_at.get(replica.entry.replica_id)
        if replica.is_cold(now) or (
            asked_at is not None and now - asked_at < ASK_PERIOD
        ):
            return
        self._asked_at[replica.entry.replica_id] = now
        check = asyncio.ensure_future(self._check(replica, service))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def _service_of(
        self, replica: replica_module.Replica
    ) -> model.Service | None:
        current = self._configuration.current
        return current and current.services.get(replica.entry.service)

    async def _check(
        self, replica: replica_module.Replica, service: model.Service
    ) -> None:
        try:
            facts = await self._clock.wait_for(
                self._ask(replica, service), _TIME_LIMIT
            )
        except (TimeoutError, outcomes.AttemptError):
            # Requests show what is wrong with it.
            return
        if facts.cold_left:
            self._directory.note_cold(replica, facts.cold_left)

    async def _ask(
        self, replica: replica_module.Replica, service: model.Service
    ) -> wire.AnswerFacts:
        """Returns what the answer to one health check says."""
        address = replica.entry.address
        message = wire.encode_probe(
            self._wire_format,
            service.health_path or service.liveness_path,
            replica.entry,
            time_left=_STATED_TIME,
        )
        connection = await self._pool.open_for_probe(address)
        head, _ = await self._pool.exchange_probe(address, connection, message)
        return self._wire_format.read_answer(head.status, head.headers)
