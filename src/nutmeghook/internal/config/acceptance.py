"""Accepts changes; each operation id gets exactly one, final outcome.

A change is one transaction of the table service. Its conditions are that the
head row is unchanged since the change was prepared, and that the operation's
row does not exist. Every outcome (accepted, refused, abandoned) writes that
row, so the first write succeeds and all later ones fail.
"""

import asyncio
import datetime
import random as random_module

import msgspec

from nutmeghook.internal.config import attempts
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import operations
from nutmeghook.internal.config import planning
from nutmeghook.internal.config import replica as replica_module
from nutmeghook.internal.config import rows
from nutmeghook.internal.config import state as state_module
from nutmeghook.internal.config import store as store_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.observe import events as events_module

_MIN_BACK_OFF = datetime.timedelta(milliseconds=50)
_MAX_BACK_OFF = datetime.timedelta(milliseconds=800)
# The whole fleet makes 3,700 changes a day. More than this many waiting on one
# instance means that a client misbehaves.
_MAX_WAITING = 32


class Accepter:
    """Decides operations; any number of instances may do so concurrently."""

    __slots__ = (
        "_clock",
        "_events",
        "_lock",
        "_random",
        "_replica",
        "_store",
        "_waiting",
    )

    def __init__(
        self,
        *,
        store: store_module.ConfigStore,
        replica: replica_module.ConfigReplica,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        random: random_module.Random,
    ):
        self._store = store
        self._replica = replica
        self._clock = clock
        self._events = events
        self._random = random
        self._lock = asyncio.Lock()
        self._waiting = 0

    async def accept(
        self, operation: operations.Operation, *, timeout: datetime.timedelta
    ) -> rows.OperationRecord:
        """Accepts a change, or returns the recorded outcome of its id.

        Returns:
            The final outcome; `operations.error_of` converts a refusal to an
            error.

        Raises:
            errors.CodedError: `STORE_OUT` or `OVERLOADED` (nothing was
                written and nothing will be), `OUTCOME_UNKNOWN` (query it by
                id), or `OPERATION_REUSED`.
        """
        if self._waiting >= _MAX_WAITING:
            raise _overloaded(
                f"{self._waiting} changes are waiting on this instance"
            )
        end = self._clock.monotonic() + timeout
        self._waiting += 1
        try:
            # One at a time: concurrent changes of one instance would only
            # fail each other's condition on the head row.
            async with self._lock:
                return await self._accept(operation, end)
        finally:
            self._waiting -= 1

    async def draft(self, edit: edits.Edit) -> operations.Draft:
        """Dry run: applies a change to the newest state and writes nothing.

        Raises:
            errors.CodedError: The edit can't be applied, or `STORE_OUT`.
        """
        try:
            _, state = await self._read_newest()
            replacement = planning.plan(edit, state)
        except failures.PlatformError as error:
            raise _store_unavailable(error) from error
        except planning.StaleRevisionError as error:
            raise errors.CodedError(
                code=codes.Code.CONFLICT, detail=str(error)
            ) from error
        after = state.with_replacement(replacement, revision=state.revision)
        return operations.Draft(
            revision=state.revision,
            faults=tuple(attempts.find_faults(edit, state, after)),
            differences=attempts.find_differences(state, after, replacement),
        )

    async def outcome(
        self, team: str, operation_id: str
    ) -> rows.OperationRecord | None:
        """Reads an operation's outcome; None if it has none yet.

        Raises:
            errors.CodedError: `STORE_OUT`.
        """
        try:
            return await self._store.operation(team, operation_id)
        except failures.PlatformError as error:
            raise _store_unavailable(error) from error

    async def settle(
        self,
        author: rows.Author,
        operation_id: str,
        *,
        grace: datetime.timedelta,
    ) -> rows.OperationRecord:
        """Makes an operation's outcome final, on any instance.

        A missing row does not prove that the operation failed: its write may
        still be in flight. So after the grace period "abandoned" is written on
        condition that there is no row. Either it comes first and a late write
        fails, or it fails and the recorded outcome is read.

        Args:
            author: The requester; recorded if the operation ends abandoned.
            operation_id: An id of the author's team.
            grace: How long to wait for an instance that is still accepting
                the operation.

        Raises:
            errors.CodedError: `OUTCOME_UNKNOWN` while the store is
                unavailable.
        """
        end = self._clock.monotonic() + grace
        try:
            while True:
                record = await self._store.operation(author.team, operation_id)
                if record is not None:
                    return record
                remaining = end - self._clock.monotonic()
                if remaining <= datetime.timedelta():
                    return await self._abandon(author, operation_id, "")
                await self._clock.sleep(min(remaining, _MAX_BACK_OFF))
        except failures.PlatformError as error:
            raise _outcome_unknown(operation_id) from error

    async def _accept(
        self, operation: operations.Operation, end: datetime.timedelta
    ) -> rows.OperationRecord:
        back_off = _MIN_BACK_OFF
        in_doubt = False
        last_error: failures.PlatformError | None = None
        while self._clock.monotonic() < end:
            try:
                record = await self._try_once(operation)
                if record is not None:
                    return record
            except attempts.LeaseLapsedError:
                return await self._give_up(operation)
            except failures.OutcomeUnknownError as error:
                # A retry is safe and resolves the doubt: both writes require
                # the operation's row to be absent, so at most one succeeds.
                in_doubt = True
                last_error = error
            except failures.PlatformError as error:
                last_error = error
            await self._clock.sleep(back_off * self._random.uniform(0.5, 1.5))
            back_off = min(back_off * 2, _MAX_BACK_OFF)
        if in_doubt:
            return await self._give_up(operation)
        if last_error is None:
            raise _overloaded(
                "concurrent changes kept this one from committing"
            )
        raise _store_unavailable(last_error) from last_error

    async def _give_up(
        self, operation: operations.Operation
    ) -> rows.OperationRecord:
        digest = rows.edit_digest(operation.edit)
        try:
            record = await self._abandon(
                operation.author, operation.operation_id, digest
            )
        except failures.PlatformError as error:
            raise _outcome_unknown(operation.operation_id) from error
        return operations.recorded_outcome(record, operation)

    async def _try_once(
        self, operation: operations.Operation
    ) -> rows.OperationRecord | None:
        """Returns the final outcome, or None if another change came first."""
        record = await self._store.operation(
            operation.author.team, operation.operation_id
        )
        if record is not None:
            return operations.recorded_outcome(record, operation)
        head, state = await self._read_newest()
        if state.revision != head.revision:
            return None
        attempt = await attempts.prepare(
            operation,
            head=head,
            state=state,
            store=self._store,
            now=self._clock.now(),
        )
        result = await self._store.commit(attempt.transaction)
        if not result.committed:
            attempts.check_fence(operation, result)
            return None
        if attempt.change is not None:
            self._replica.apply_changes([attempt.change])
            self._events.record(
                events_module.EventKind.CONFIG_ACCEPTED,
                operation.operation_id,
                revision=str(attempt.change.revision),
            )
        return attempt.record

    async def _read_newest(
        self,
    ) -> tuple[store_module.HeadReading, state_module.ConfigState]:
        head = await self._store.head()
        catch_up = await self._store.catch_up(
            self._replica.state, head.revision
        )
        self._replica.apply_catch_up(catch_up)
        self._replica.confirm(head.revision, head.read_at)
        return head, catch_up.state

    async def _abandon(
        self, author: rows.Author, operation_id: str, digest: str
    ) -> rows.OperationRecord:
        """Writes "abandoned" unless there is an outcome; returns what holds."""
        record = rows.OperationRecord(
            operation_id=operation_id,
            outcome=rows.Outcome.ABANDONED,
            author=author,
            settled_at=self._clock.now(),
            edit_digest=digest,
            code_number=codes.Code.ABANDONED.number,
            detail=codes.Code.ABANDONED.meaning,
        )
        result = await self._store.commit(
            table.Transaction(
                conditions=(
                    attempts.absent_operation(author.team, operation_id),
                ),
                puts=(attempts.put_record(record),),
            )
        )
        if result.committed:
            return record
        return msgspec.json.decode(
            result.current[0].value, type=rows.OperationRecord
        )


def _store_unavailable(error: failures.PlatformError) -> errors.CodedError:
    retry_after = None
    if isinstance(error, failures.NotDoneError):
        retry_after = error.retry_after
    return errors.CodedError(
        code=codes.Code.STORE_OUT,
        detail=f"the table service call failed: {error}",
        retry_after=retry_after or datetime.timedelta(seconds=2),
    )


def _outcome_unknown(operation_id: str) -> errors.CodedError:
    return errors.CodedError(
        code=codes.Code.OUTCOME_UNKNOWN,
        detail=f"the outcome of operation {operation_id!r} is unknown: the "
        f"table service is unavailable; query it by id later, on any instance",
        retry_after=datetime.timedelta(seconds=5),
    )


def _overloaded(detail: str) -> errors.CodedError:
    return errors.CodedError(
        code=codes.Code.OVERLOADED,
        detail=detail,
        retry_after=datetime.timedelta(seconds=1),
    )
