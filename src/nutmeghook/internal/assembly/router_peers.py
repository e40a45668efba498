"""A router's side towards its peers: introduction, sockets, news."""

import asyncio
import datetime
import random

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.following import introductions
from nutmeghook.internal.following import news as news_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import tcp_client
from nutmeghook.internal.inner import tcp_server
from nutmeghook.internal.inner import traffic
from nutmeghook.internal.observe import logs

_RETRY = datetime.timedelta(seconds=1)
_CLOSE_GRACE = datetime.timedelta(milliseconds=200)


class RouterPeers:
    """Exchanges news with the peers, once it has been introduced.

    Without peers an instance is alone with the store, as it is until the
    store has answered it once: everything works, at more calls.
    """

    __slots__ = (
        "_clock",
        "_inner_address",
        "_instance_id",
        "_news",
        "_random",
        "_settling",
        "_table",
        "_tables",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        inner_address: str,
        table: table_module.TableService,
        tables: dict[str, news_module.SharedTable],
        settling: news_module.Settling,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._instance_id = instance_id
        self._inner_address = inner_address
        self._table = table
        self._tables = tables
        self._settling = settling
        self._clock = clock
        self._random = random_source
        self._news: news_module.TableNews | None = None

    async def follow(self, name: str) -> None:
        """Reads a table once, or waits a little if peers read it."""
        await news_module.follow(self._tables[name], self._news, self._clock)

    async def run(self) -> None:
        """Introduces this instance and exchanges news until cancelled."""
        introduction = await self._introduced()
        udp = datagrams.UdpDatagrams()
        handlers = peers.PeerHandlers()
        counts = traffic.Traffic()
        caller = tcp_client.TcpPeerCaller(
            clock=self._clock,
            credential=introduction.credential,
            traffic=counts,
            random=self._random,
        )
        server = tcp_server.TcpServer(
            clock=self._clock,
            handlers=handlers,
            credential=introduction.credential,
            traffic=counts,
        )
        host, _, port = self._inner_address.rpartition(":")
        await server.start(host=host, port=int(port))
        await udp.start(host=host, port=int(port))
        self._news = news_module.TableNews(
            instance_id=self._instance_id,
            inner_address=self._inner_address,
            tables=self._tables,
            datagrams=udp,
            seal=datagrams.Seal(credential=introduction.credential),
            caller=caller,
            handlers=handlers,
            settling=self._settling,
            clock=self._clock,
            random_source=self._random,
        )
        self._news.peers.update(introduction.peers)
        logs.note("peer:introduced", peers=sorted(introduction.peers))
        try:
            await self._news.run()
        finally:
            udp.close()
            await asyncio.gather(
                caller.close(grace=_CLOSE_GRACE),
                server.close(grace=_CLOSE_GRACE),
            )

    async def _introduced(self) -> introductions.Introduction:
        introducer = introductions.Introducer(
            table=self._table,
            instance_id=self._instance_id,
            inner_address=self._inner_address,
        )
        while True:
            try:
                return await introducer.introduce()
            except failures.PlatformError as error:
                logs.note("peer:not_introduced", error=str(error))
                await self._clock.sleep(
                    _RETRY * self._random.uniform(0.75, 1.25)
                )
