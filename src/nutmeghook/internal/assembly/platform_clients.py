"""The platform adapters of one instance, built from its settings."""

import dataclasses
import urllib.parse

import aiohttp

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.dependencies import objects
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.dependencies import weights
from nutmeghook.internal.settings import loading
from nutmeghook.internal.standin_http import http_engine
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_instances
from nutmeghook.internal.standin_http import http_objects
from nutmeghook.internal.standin_http import http_plain
from nutmeghook.internal.standin_http import http_ratings
from nutmeghook.internal.standin_http import http_table
from nutmeghook.internal.standin_http import http_weights


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PlatformClients:
    """All adapters; to be closed when the instance ends."""

    table: table.TableService
    objects: objects.ObjectStore
    instance_list: instances.InstanceList
    ratings: ratings.RatingService
    weights: weights.WeightStore
    engines: engine.EngineConnector
    services: plain.PlainServiceConnector
    sessions: tuple[aiohttp.ClientSession, ...]

    async def close(self) -> None:
        """Closes all connections."""
        for session in self.sessions:
            await session.close()


def open_clients(settings: loading.Settings) -> PlatformClients:
    """Builds the adapters, which connect on first use."""
    shared = http_exchange.open_session()
    single_use = http_exchange.open_session(reuse_connections=False)

    def exchange(name: str) -> http_exchange.HttpExchange:
        url = urllib.parse.urlsplit(settings.text(name))
        return http_exchange.HttpExchange(session=shared, address=url.netloc)

    return PlatformClients(
        table=http_table.HttpTable(exchange=exchange("table_url")),
        objects=http_objects.HttpObjects(exchange=exchange("objects_url")),
        instance_list=http_instances.HttpInstances(
            exchange=exchange("instances_url")
        ),
        ratings=http_ratings.HttpRatings(exchange=exchange("ratings_url")),
        weights=http_weights.HttpWeights(exchange=exchange("weights_url")),
        engines=http_engine.HttpEngineConnector(session=shared),
        services=http_plain.HttpPlainServices(session=single_use),
        sessions=(shared, single_use),
    )
