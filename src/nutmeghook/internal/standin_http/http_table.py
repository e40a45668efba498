"""The table service over HTTP; docs/STANDIN_INTERFACES.md has the contract."""

import msgspec

from nutmeghook.internal.dependencies import table
from nutmeghook.internal.standin_http import http_exchange

READ_PATH = "/v1/table/row"
SCAN_PATH = "/v1/table/scan"
COMMIT_PATH = "/v1/table/commit"


class ReadAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a read; values are base64-encoded."""

    row: table.Row | None


class ScanAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a scan."""

    rows: list[table.Row]


_read_decoder = msgspec.json.Decoder(ReadAnswer)
_scan_decoder = msgspec.json.Decoder(ScanAnswer)
_commit_decoder = msgspec.json.Decoder(table.CommitResult)
_encoder = msgspec.json.Encoder()


class HttpTable(table.TableService):
    """Calls a table service at one address."""

    __slots__ = ("_exchange",)

    def __init__(self, *, exchange: http_exchange.HttpExchange):
        self._exchange = exchange

    async def read(self, key: str) -> table.Row | None:
        """Returns the row, or None if there is none."""
        answer = await self._exchange.read(READ_PATH, _read_decoder, key=key)
        return answer.row

    async def scan(
        self, *, prefix: str, after: str = "", limit: int = 1000
    ) -> list[table.Row]:
        """Returns rows whose key has the prefix, in key order."""
        answer = await self._exchange.read(
            SCAN_PATH,
            _scan_decoder,
            prefix=prefix,
            after=after,
            limit=str(limit),
        )
        return answer.rows

    async def commit(
        self, transaction: table.Transaction
    ) -> table.CommitResult:
        """Applies the transaction if all its conditions hold."""
        return await self._exchange.write(
            COMMIT_PATH, _encoder.encode(transaction), _commit_decoder
        )
