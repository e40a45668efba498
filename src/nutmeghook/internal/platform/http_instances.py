"""The instance list over HTTP; docs/PLATFORM.md has the contract."""

import msgspec

from nutmeghook.internal.platform import http_exchange
from nutmeghook.internal.platform import instances

LIST_PATH = "/v1/instances"


class InstancesAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The whole list."""

    instances: list[instances.ListedInstance]


_decoder = msgspec.json.Decoder(InstancesAnswer)


class HttpInstances(instances.InstanceList):
    """Asks for the list at one address."""

    __slots__ = ("_exchange",)

    def __init__(self, *, exchange: http_exchange.HttpExchange):
        self._exchange = exchange

    async def list_instances(self) -> list[instances.ListedInstance]:
        """Returns all instances; may raise `failures.NotDoneError`."""
        answer = await self._exchange.read(LIST_PATH, _decoder)
        return answer.instances
