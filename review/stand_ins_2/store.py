"""A stand-in of the platform's store: rows, conditional writes and a feed."""

import asyncio
import base64
import json
import time
import urllib.parse

import http_messages


class Store:
    """Rows by table, part and key, kept in memory.

    Attributes:
        address: The `ip:port` listened on; empty before the start.
    """

    def __init__(self):
        self.address = ""
        self._answering = asyncio.Event()
        self._answering.set()
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._history: list[dict] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._stopped = False

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def fall_silent(self) -> None:
        """Answers no call from now on."""
        self._answering.clear()

    def answer_again(self) -> None:
        """Answers all calls, also those that wait."""
        self._answering.set()

    async def stop(self) -> None:
        """Ends all waiting calls."""
        self._stopped = True
        self._answering.set()
        if self._server is not None:
            self._server.close()
        self._wake()
        await asyncio.sleep(0.1)

    def put(self, table: str, key: str, value: object) -> int:
        """Writes a row as the operator or a replica does."""
        encoded = json.dumps(value).encode()
        self._version += 1
        self._set(table, "", key, base64.b64encode(encoded).decode())
        self._wake()
        return self._version

    def delete(self, table: str, key: str) -> None:
        """Removes a row."""
        self._version += 1
        self._drop(table, "", key)
        self._wake()

    def value(self, table: str, key: str) -> object | None:
        """Returns a row's decoded value; None where there is no row."""
        row = self._rows.get((table, "", key))
        return row and json.loads(base64.b64decode(row["value"]))

    def _set(self, table: str, part: str, key: str, value: str) -> None:
        row = {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "rowVersion": self._version,
        }
        self._rows[(table, part, key)] = row
        self._history.append(row)

    def _drop(self, table: str, part: str, key: str) -> None:
        if self._rows.pop((table, part, key), None) is None:
            return
        self._history.append(
            {
                "table": table,
                "part": part,
                "key": key,
                "rowVersion": self._version,
                "deleted": True,
            }
        )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _body(self, **fields: object) -> dict:
        now_ms = time.monotonic() * 1000
        return {"rowVersion": self._version, "nowMs": now_ms, **fields}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while not self._stopped:
                request = await http_messages.read_request(reader)
                if request is None:
                    break
                status, body = await self._answer(request)
                await self._answering.wait()
                writer.write(
                    http_messages.encode_answer(
                        status, json.dumps(body).encode()
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: http_messages.Request) -> tuple[int, dict]:
        path, _, query = request.target.partition("?")
        given = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/rows-get":
            return 200, self._get(given)
        if path == "/v1/rows-feed":
            return 200, await self._feed(given)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}

    def _get(self, given: dict[str, str]) -> dict:
        first, end = given.get("source", ""), given.get("to", "")
        found = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == given["table"]
            and part == given.get("part", "")
            and key >= first
            and (not end or key < end)
        ]
        limit = int(given.get("limit", "500"))
        return self._body(rows=found[:limit], hasMore=len(found) > limit)

    async def _feed(self, given: dict[str, str]) -> dict:
        since = int(given["sinceRev"])
        end = time.monotonic() + int(given.get("waitMs", "0")) / 1000
        while True:
            changed = self._changed
            found = [
                row
                for row in self._history
                if row["table"] == given["table"] and row["rowVersion"] > since
            ]
            left = end - time.monotonic()
            if found or left <= 0 or self._stopped:
                return self._body(rows=found)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, transaction: dict) -> tuple[int, dict]:
        for expected in transaction.get("expectedRev", []):
            place = _place(expected)
            known = self._rows.get(place, {"rowVersion": 0})
            if known["rowVersion"] != expected["rowVersion"]:
                rows = [known] if place in self._rows else []
                return 412, self._body(rows=rows)
        self._version += 1
        for write in transaction.get("write", []):
            self._set(*_place(write), write["value"])
        for removed in transaction.get("remove", []):
            self._drop(*_place(removed))
        self._wake()
        return 200, self._body()


def _place(entry: dict) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]
