"""The weight store over HTTP; docs/STANDIN_INTERFACES.md has the contract."""

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import weights
from nutmeghook.internal.standin_http import http_exchange

INFO_PATH = "/v1/weights"
GRANT_PATH = "/v1/weights/grants"


class InfoAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A version's weights; null for an unknown version."""

    info: weights.WeightInfo | None


class GrantBody(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a download ticket for one engine and one version."""

    model_version: engine.ModelVersion
    address: str


class GrantAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The ticket to send to the engine."""

    ticket: str


_info_decoder = msgspec.json.Decoder(InfoAnswer)
_grant_decoder = msgspec.json.Decoder(GrantAnswer)
_encoder = msgspec.json.Encoder()


class HttpWeights(weights.WeightStore):
    """Calls a weight store at one address."""

    __slots__ = ("_exchange",)

    def __init__(self, *, exchange: http_exchange.HttpExchange):
        self._exchange = exchange

    async def describe(
        self, model_version: engine.ModelVersion
    ) -> weights.WeightInfo | None:
        """Returns a version's weights, or None for an unknown version."""
        answer = await self._exchange.read(
            INFO_PATH, _info_decoder, model_version=str(model_version)
        )
        return answer.info

    async def grant_download(
        self, model_version: engine.ModelVersion, address: str
    ) -> str:
        """Returns a ticket that lets the engine at `address` download."""
        body = GrantBody(model_version=model_version, address=address)
        answer = await self._exchange.write(
            GRANT_PATH, _encoder.encode(body), _grant_decoder
        )
        return answer.ticket
