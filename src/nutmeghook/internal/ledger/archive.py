"""Archive of bills older than the log's window, in the object store.

An object's key names the first and the last batch that it was made from.
Batches are immutable, so two holders that archive the same rows write the same
object.
"""

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import objects as objects_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.ledger import log as log_module
from nutmeghook.internal.ledger import records

KEY_PREFIX = "bills/"


class BillArchive:
    """Copies bills from a partition's oldest rows into an object.

    Args:
        batch_records: Bills after which an object takes no further row.
    """

    __slots__ = ("_batch_records", "_objects", "_table")

    def __init__(
        self,
        *,
        table: table_module.TableService,
        objects: objects_module.ObjectStore,
        batch_records: int,
    ):
        self._table = table
        self._objects = objects
        self._batch_records = batch_records

    async def archive(
        self, partition: int, rows: list[log_module.LogRow]
    ) -> int:
        """Makes the bills of the first rows durable in the object store.

        Returns:
            How many of the rows may be overwritten; 0 if a store failed or a
            row was overwritten by a later holder.
        """
        try:
            archived, bills = await self._read_bills(rows)
            if bills:
                content = records.encoder.encode(
                    records.BillBatch(partition=partition, records=bills)
                )
                key = _object_key(partition, archived)
                # False means that an earlier put, whose reply was lost, or an
                # earlier holder has stored the same object.
                await self._objects.put_if_absent(key, content)
        except failures.PlatformError:
            return 0
        return len(archived)

    async def _read_bills(
        self, rows: list[log_module.LogRow]
    ) -> tuple[list[log_module.LogRow], tuple[records.FinishRecord, ...]]:
        archived: list[log_module.LogRow] = []
        bills: list[records.FinishRecord] = []
        for row in rows:
            found = await self._table.read(row.key)
            if found is None or found.version != row.version:
                # A later holder has overwritten the row.
                return [], ()
            bills.extend(
                record
                for record in records.decode_batch(found.value).records
                if isinstance(record, records.FinishRecord)
            )
            archived.append(row)
            if len(bills) >= self._batch_records:
                break
        return archived, tuple(_without_answer(bill) for bill in bills)


def _without_answer(record: records.FinishRecord) -> records.FinishRecord:
    return msgspec.structs.replace(record, answer=None)


def _object_key(partition: int, rows: list[log_module.LogRow]) -> str:
    first = "{:08d}-{:08d}".format(*rows[0].position)
    last = "{:08d}-{:08d}".format(*rows[-1].position)
    return f"{KEY_PREFIX}{partition:03d}/{first}..{last}"
