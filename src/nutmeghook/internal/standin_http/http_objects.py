"""The object store over HTTP; docs/STANDIN_INTERFACES.md has the contract."""

import msgspec

from nutmeghook.internal.dependencies import objects
from nutmeghook.internal.standin_http import http_exchange

BLOB_PATH = "/v1/objects/blob"
DELETE_PATH = "/v1/objects/delete"
LIST_PATH = "/v1/objects/keys"


class PutAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a put: whether the blob was stored."""

    stored: bool


class KeysAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a listing."""

    keys: list[str]


class DeleteAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a delete; empty."""


_put_decoder = msgspec.json.Decoder(PutAnswer)
_keys_decoder = msgspec.json.Decoder(KeysAnswer)
_delete_decoder = msgspec.json.Decoder(DeleteAnswer)


class HttpObjects(objects.ObjectStore):
    """Calls an object store at one address."""

    __slots__ = ("_exchange",)

    def __init__(self, *, exchange: http_exchange.HttpExchange):
        self._exchange = exchange

    async def put_if_absent(self, key: str, content: bytes) -> bool:
        """Stores the blob; returns False if the key exists already."""
        answer = await self._exchange.write(
            BLOB_PATH, content, _put_decoder, key=key
        )
        return answer.stored

    async def get(self, key: str) -> bytes | None:
        """Returns the blob, or None if there is none."""
        return await self._exchange.read_bytes(BLOB_PATH, key=key)

    async def list_keys(
        self, *, prefix: str, after: str = "", limit: int = 1000
    ) -> list[str]:
        """Returns the keys with the prefix greater than `after`, in order."""
        answer = await self._exchange.read(
            LIST_PATH,
            _keys_decoder,
            prefix=prefix,
            after=after,
            limit=str(limit),
        )
        return answer.keys

    async def delete(self, key: str) -> None:
        """Removes the blob, if it is there."""
        await self._exchange.write(DELETE_PATH, b"", _delete_decoder, key=key)
