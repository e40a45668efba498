"""A replica that answers with given bytes, beside sound ones further away."""

from nutmeghook.internal.routes import model
from tests import raw_server
from tests import tunnel_fixture


class RawReplicaCase:
    """To be mixed into a case with a relay.

    Attributes:
        server: The replica's process.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = raw_server.RawServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self._asked = 0

    def list_replicas(self, *, with_sound: bool) -> None:
        """Lists the replica, anew, with the sound ones or without them."""
        self.directory.replace([])
        raw = self.entry(
            self.replicas[0],
            replica_id=f"raw-{self._asked}",
            address=self.server.address,
        )
        sound = [
            self.entry(replica, data_centre="far") for replica in self.replicas
        ]
        self.directory.replace([raw, *(sound if with_sound else [])])

    async def ask_once_more(
        self, kind: model.RouteKind, *, with_sound: bool, size_bytes: int = 0
    ) -> bytes:
        """Returns the answer to a request that the replica gets first.

        It is like no request before, so that it does not count as a repeat.
        """
        self._asked += 1
        self.list_replicas(with_sound=with_sound)
        received = self.server.requests
        body = b"%d" % self._asked + bytes(size_bytes)
        given = await self.ask(kind, method="POST", body=body)
        self.assertGreater(self.server.requests, received)
        return given


class TunnelledRawReplicaCase(RawReplicaCase, tunnel_fixture.TunnelCase):
    """The relay reaches replicas through its peers only."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.dialer.refuses = True
        for helper in self.helpers:
            helper.listed.add(self.server.address)
