"""In-memory store of the users' platform over HTTP, with fault injection."""

import asyncio
import base64
import dataclasses
import enum

from aiohttp import web
import msgspec

from nutmeghook.standins import loopback_host

# Waiting feeds are closed when the stand-in stops.
_CLOSE_TIMEOUT_S = 0.05
_EPOCH = "Store-Era"
# Written by the operator and by replicas.
_OUTSIDE_TABLES = ("op", "servers")


class StoreFault(enum.Enum):
    """A fault of the store.

    `LOSING_ANSWERS` commits a write and closes the connection; `LATE_WRITES`
    closes it and commits the write when the test says so.
    """

    NONE = "none"
    REFUSING = "refusing"
    BUSY = "busy"
    SILENT = "silent"
    LOSING_ANSWERS = "losing answers"
    LATE_WRITES = "late writes"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Change:
    version: int
    table: str
    key: str
    value: bytes
    deleted: bool


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class StoreCopy:
    """The state of a store at some moment."""

    rows: dict[tuple[str, str], _Change]
    history: tuple[_Change, ...]
    version: int


class StandInStore:
    """Rows by table and key, with their history.

    Attributes:
        epoch: Stated in all answers, and raised by each restore; None for a
            store that states none. A text can't be read as one.
        fault: The fault of all calls from now on.
        calls: The path of every call, oldest first.
        late_writes: Transactions that wait for `apply_late_writes`.
    """

    def __init__(self):
        self._rows: dict[tuple[str, str], _Change] = {}
        self._history: list[_Change] = []
        self._dropped_up_to = 0
        self._version = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.epoch: int | str | None = 0
        # Rows as the last restore left them.
        self._restored: dict[tuple[str, str], _Change | None] = {}
        self.fault = StoreFault.NONE
        self.calls: list[str] = []
        self.late_writes: list[dict] = []
        self.address = ""

    async def start(self) -> None:
        """Listens on a port that the system chooses."""
        application = web.Application()
        application.router.add_get("/v1/rows-get", self._get)
        application.router.add_get("/v1/rows-feed", self._feed)
        application.router.add_post("/v1/rows-tx", self._transact)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=_CLOSE_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, loopback_host.own_host(), 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Closes all connections."""
        await self._runner.cleanup()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Writes a row as the operator or a replica does."""
        return self._apply([(table, key, value)], [])

    def delete(self, table: str, key: str) -> int:
        """Deletes a row."""
        return self._apply([], [(table, key)])

    def value(self, table: str, key: str) -> bytes | None:
        """Returns a row's value."""
        row = self._rows.get((table, key))
        return row.value if row else None

    def copy(self) -> StoreCopy:
        """Returns a copy that the store may be restored from."""
        return StoreCopy(
            rows=dict(self._rows),
            history=tuple(self._history),
            version=self._version,
        )

    def restore(self, copy: StoreCopy) -> dict[tuple[str, str], bytes | None]:
        """Loses everything since a copy; waiting feeds are cut.

        Returns:
            What the operator and the replicas had written since, by table and
            key; None for a deleted row.
        """
        lost = {
            place: row.value if (row := self._rows.get(place)) else None
            for place in self._rows.keys() | copy.rows.keys()
            if place[0] in _OUTSIDE_TABLES
            and self._rows.get(place) != copy.rows.get(place)
        }
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        self._version = copy.version
        if self.epoch is not None:
            self.epoch += 1
        self._restored = {place: copy.rows.get(place) for place in lost}
        self._wake_feeds()
        return lost

    def write_again(self, lost: dict[tuple[str, str], bytes | None]) -> None:
        """Writes lost rows, but for those that were written since."""
        for place, value in lost.items():
            if self._rows.get(place) != self._restored.get(place):
                continue
            if value is None:
                self.delete(*place)
            else:
                self.put(*place, value)

    def forget_history(self) -> None:
        """Drops all history; feeds from an older revision get 410."""
        self._dropped_up_to = self._version
        self._history.clear()

    def apply_late_writes(self) -> None:
        """Commits the late writes whose conditions still hold."""
        for transaction in self.late_writes:
            self._commit(transaction)
        self.late_writes.clear()

    def _apply(
        self,
        puts: list[tuple[str, str, bytes]],
        deletes: list[tuple[str, str]],
    ) -> int:
        self._version += 1
        for table, key, value in puts:
            change = _Change(
                version=self._version,
                table=table,
                key=key,
                value=value,
                deleted=False,
            )
            self._rows[(table, key)] = change
            self._history.append(change)
        for table, key in deletes:
            if self._rows.pop((table, key), None) is None:
                continue
            self._history.append(
                _Change(
                    version=self._version,
                    table=table,
                    key=key,
                    value=b"",
                    deleted=True,
                )
            )
        self._wake_feeds()
        return self._version

    def _wake_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _commit(self, transaction: dict) -> bool:
        for wanted in transaction["expectedRev"]:
            row = self._rows.get((wanted["table"], wanted["key"]))
            if (row.version if row else 0) != wanted["rowVersion"]:
                return False
        self._apply(
            [
                (put["table"], put["key"], base64.b64decode(put["value"]))
                for put in transaction["write"]
            ],
            [(row["table"], row["key"]) for row in transaction["remove"]],
        )
        return True

    async def _apply_fault(self, request: web.Request) -> web.Response | None:
        self.calls.append(request.path)
        if self.fault is StoreFault.REFUSING:
            return web.Response(status=503)
        if self.fault is StoreFault.BUSY:
            return web.Response(status=429)
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(3600)
        return None

    async def _get(self, request: web.Request) -> web.Response:
        if refusal := await self._apply_fault(request):
            return refusal
        query = request.query
        first, end = query.get("source", ""), query.get("to")
        limit = int(query.get("limit", "500"))
        found = sorted(
            (row for row in self._rows.values() if row.table == query["table"]),
            key=lambda row: row.key,
        )
        found = [
            row
            for row in found
            if row.key >= first and (end is None or row.key < end)
        ]
        return self._answer(found[:limit], more=len(found) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        if refusal := await self._apply_fault(request):
            return refusal
        since = int(request.query["sinceRev"])
        table = request.query["table"]
        if not self._dropped_up_to <= since <= self._version:
            return web.Response(status=410, headers=self._epoch_header())
        epoch = self.epoch
        deadline = int(request.query.get("waitMs", "0")) / 1000
        try:
            async with asyncio.timeout(deadline):
                while not (found := self._changes(table, since)):
                    await self._changed.wait()
                    if self.epoch != epoch:
                        return _cut(request)
        except TimeoutError:
            found = []
        return self._answer(found, more=False)

    def _changes(self, table: str, since: int) -> list[_Change]:
        return [
            change
            for change in self._history
            if change.table == table and change.version > since
        ]

    async def _transact(self, request: web.Request) -> web.Response:
        if refusal := await self._apply_fault(request):
            return refusal
        transaction = msgspec.json.decode(await request.read())
        if self.fault is StoreFault.LATE_WRITES:
            self.late_writes.append(transaction)
            return _cut(request)
        done = self._commit(transaction)
        if self.fault is StoreFault.LOSING_ANSWERS:
            request.transport.abort()
        if done:
            return self._answer([], more=False)
        wanted = [
            self._rows[(row["table"], row["key"])]
            for row in transaction["expectedRev"]
            if (row["table"], row["key"]) in self._rows
        ]
        return self._answer(wanted, more=False, status=412)

    def _answer(
        self, rows: list[_Change], *, more: bool, status: int = 200
    ) -> web.Response:
        body = {
            "rows": [
                {
                    "table": row.table,
                    "part": "",
                    "key": row.key,
                    "value": base64.b64encode(row.value).decode(),
                    "rowVersion": row.version,
                    "deleted": row.deleted,
                }
                for row in rows
            ],
            "hasMore": more,
            "rowVersion": self._version,
            "nowMs": asyncio.get_running_loop().time() * 1000,
        }
        return web.Response(
            status=status,
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers=self._epoch_header(),
        )

    def _epoch_header(self) -> dict[str, str]:
        return {} if self.epoch is None else {_EPOCH: str(self.epoch)}


def _cut(request: web.Request) -> web.Response:
    """Closes a connection without an answer, unless the caller has."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
