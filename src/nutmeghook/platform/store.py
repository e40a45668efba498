"""The platform's store: rows, conditional writes and feeds over HTTP."""

import datetime
import urllib.parse

import aiohttp
import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import bounded_http
from nutmeghook.internal.observe import logs
from nutmeghook.internal.table_replication import source
from nutmeghook.platform import store_messages

# The store answers in 4 ms, or in up to about 60 times as long when it is slow.
# A longer call is abandoned, since its answer may be lost, and can be repeated.
CALL_TIMEOUT = datetime.timedelta(milliseconds=1200)
# Added to the time that a feed call is asked to wait.
FEED_TIMEOUT_MARGIN = datetime.timedelta(milliseconds=600)
# A page has 500 rows or 1 MB, and base64 makes that a third more. A feed may
# have several pages' worth of changes.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_ROWS_PER_PAGE = 500
_HISTORY_GONE_STATUS = 410
_CONDITION_FAILED_STATUS = 412
_REFUSING_STATUSES = (429, 503)
# Rises each time the store comes back from an older copy.
_EPOCH = "Store-Era"


class StoreClient:
    """Makes the calls to the store; one client serves the whole process.

    Attributes:
        address: Where the store is, `ip:port`.
        calls: How many calls were made.
        epoch: The latest epoch that an answer stated; 0 before.
    """

    __slots__ = ("_session", "_states_epoch", "address", "calls", "epoch")

    def __init__(self, *, session: aiohttp.ClientSession, address: str):
        self._session = session
        self.address = address
        self.calls = 0
        self.epoch = 0
        self._states_epoch = True

    async def get(
        self, path: str, query: dict[str, str], *, timeout: datetime.timedelta
    ) -> store_messages.Rows:
        """Makes a read-only call."""
        answer = await self._call(
            "GET", f"{path}?{urllib.parse.urlencode(query)}", None, timeout
        )
        if answer.status == _HISTORY_GONE_STATUS:
            raise source.HistoryGoneError
        if answer.status != 200:
            raise failures.NotDoneError(
                f"the store answered {answer.status} to {path}",
                overloaded=answer.status in _REFUSING_STATUSES,
            )
        return store_messages.decode(answer)

    async def post(
        self, path: str, transaction: store_messages.Transaction
    ) -> tuple[bool, store_messages.Rows]:
        """Makes a conditional write; False if a condition did not hold."""
        answer = await self._call(
            "POST", path, msgspec.json.encode(transaction), CALL_TIMEOUT
        )
        if answer.status in _REFUSING_STATUSES:
            raise failures.NotDoneError(
                f"the store answered {answer.status}", overloaded=True
            )
        if answer.status not in (200, _CONDITION_FAILED_STATUS):
            raise failures.OutcomeUnknownError(
                f"the store answered {answer.status}"
            )
        return answer.status == 200, store_messages.decode(answer)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout: datetime.timedelta,
    ) -> store_messages.Answer:
        self.calls += 1
        try:
            async with self._session.request(
                method,
                f"http://{self.address}{path}",
                data=body,
                headers={"Content-Type": "application/json"} if body else {},
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
                allow_redirects=False,
            ) as response:
                epoch = self._note_epoch(response.headers.get(_EPOCH))
                return store_messages.Answer(
                    status=response.status,
                    body=await bounded_http.read_body(
                        response, most_bytes=_MAX_ANSWER_BYTES
                    ),
                    epoch=epoch,
                )
        except aiohttp.ClientConnectorError as error:
            raise failures.NotDoneError(
                f"the store can't be reached: {error!r}"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise failures.OutcomeUnknownError(
                f"no answer of the store: {error!r}"
            ) from error

    def _note_epoch(self, stated: str | None) -> int:
        """Returns the epoch of an answer, which may state it.

        Stores that are never restored from a copy state none. An answer that
        states none, though others did, is taken for one of the known epoch.

        Raises:
            failures.OutcomeUnknownError: The answer is of a former epoch.
        """
        epoch = store_messages.read_epoch(stated)
        is_usable = epoch is not None or (stated is None and not self.epoch)
        if is_usable != self._states_epoch:
            self._states_epoch = is_usable
            if not is_usable:
                logs.note("store:no_epoch", stated=stated, known=self.epoch)
        if epoch is None:
            return self.epoch
        if epoch < self.epoch:
            raise failures.OutcomeUnknownError(
                f"an answer of epoch {epoch}, the store was in {self.epoch}"
            )
        self.epoch = epoch
        return epoch


class StoreRows(table_module.TableService):
    """Rows of all tables, each under the key `TABLE/KEY`.

    Only rows whose part is empty are read and written.
    """

    __slots__ = ("_client",)

    def __init__(self, *, client: StoreClient):
        self._client = client

    async def read(self, key: str) -> table_module.Row | None:
        """Returns the row, or None where there is none."""
        table, row_key = store_messages.split_key(key)
        # The end of a range is exclusive; no key lies between these two.
        rows = await _range(
            self._client, table, first=row_key, end=row_key + "\0", limit=1
        )
        found = [row for row in rows.rows if row.key == row_key]
        return (
            store_messages.table_row(rows, found[0], table) if found else None
        )

    async def scan(
        self, *, prefix: str, after: str = "", limit: int = 1000
    ) -> list[table_module.Row]:
        """Returns rows whose key has the prefix, in order of their keys."""
        table, start = store_messages.split_key(prefix)
        found: list[table_module.Row] = []
        first = (
            max(start, store_messages.split_key(after)[1] + "\0")
            if after
            else start
        )
        while len(found) < limit:
            page = await _range(
                self._client,
                table,
                first=first,
                limit=min(limit - len(found), _ROWS_PER_PAGE),
            )
            matching = [r for r in page.rows if r.key.startswith(start)]
            found.extend(
                store_messages.table_row(page, row, table) for row in matching
            )
            if not page.has_more or len(matching) < len(page.rows):
                break
            first = page.rows[-1].key + "\0"
        return found

    async def commit(
        self, transaction: table_module.Transaction
    ) -> table_module.CommitResult:
        """Applies the transaction if all its conditions hold.

        Raises:
            failures.NotDoneError: Among others, the store was restored since a
                row was read that a condition is about.
        """
        conditioned = store_messages.epoch_of_conditions(transaction)
        if conditioned is not None and conditioned < self._client.epoch:
            raise failures.NotDoneError(
                f"a condition is on a row of epoch {conditioned},"
                f" the store is in {self._client.epoch}"
            )
        committed, rows = await self._client.post(
            "/v1/rows-tx", store_messages.encode(transaction)
        )
        if conditioned not in (None, rows.epoch):
            # The row's version in this epoch was that of other contents.
            raise failures.OutcomeUnknownError(
                f"a condition on a row of epoch {conditioned} was checked in"
                f" {rows.epoch}"
            )
        if committed:
            return table_module.CommitResult(
                committed=True,
                versions=(rows.revision,) * len(transaction.puts),
            )
        return table_module.CommitResult(
            committed=False,
            current=tuple(
                store_messages.table_row(rows, row, row.table)
                for row in rows.rows
                if row.row_version and not row.deleted
            ),
        )


class PlatformTable(source.FollowedTable):
    """One table of the store, for replication; keys lack the table's name."""

    __slots__ = ("_client", "_name")

    def __init__(self, *, client: StoreClient, name: str):
        self._client = client
        self._name = name

    @property
    def name(self) -> str:
        """The table's name."""
        return self._name

    async def read_all(self) -> source.Page:
        """Returns all rows, read page by page.

        Later pages may be newer than the first; the revision returned is the
        first page's, so the feed repeats whatever changed in between.
        """
        page = await _range(self._client, self._name)
        first = page
        rows = store_messages.followed_rows(page)
        while page.has_more and page.rows:
            page = await _range(
                self._client, self._name, first=page.rows[-1].key + "\0"
            )
            if page.epoch != first.epoch:
                raise failures.NotDoneError("the store was restored meanwhile")
            rows += store_messages.followed_rows(page)
        return store_messages.page(first, rows, first.revision)

    async def changes(
        self, since: int, wait: datetime.timedelta
    ) -> source.Page:
        """Returns the changes after a revision as soon as there is one.

        The store's versions say nothing of an earlier epoch: it may have given
        out again all those that it has lost.
        """
        epoch = revisions.epoch_of(since)
        if epoch < self._client.epoch:
            raise source.HistoryGoneError
        wait_ms = int(wait / datetime.timedelta(milliseconds=1))
        answer = await self._client.get(
            "/v1/rows-feed",
            {
                "table": self._name,
                "sinceRev": str(revisions.version_of(since)),
                "waitMs": str(wait_ms),
            },
            timeout=wait + FEED_TIMEOUT_MARGIN,
        )
        if answer.epoch > epoch:
            raise source.HistoryGoneError
        if answer.epoch < epoch:
            raise failures.NotDoneError(
                f"the store is in epoch {answer.epoch}, peers in {epoch}"
            )
        return store_messages.page(
            answer,
            store_messages.followed_rows(answer),
            max(since, answer.revision),
        )


async def _range(
    client: StoreClient,
    table: str,
    *,
    first: str = "",
    end: str = "",
    limit: int = _ROWS_PER_PAGE,
) -> store_messages.Rows:
    query = {"table": table, "part": "", "limit": str(limit)}
    if first:
        query["source"] = first
    if end:
        query["to"] = end
    return await client.get("/v1/rows-get", query, timeout=CALL_TIMEOUT)
