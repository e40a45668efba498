"""A relay before replicas that crash and are started again."""

from collections.abc import Callable

from nutmeghook.standins import users_replica
from tests import relay_fixture


class CrashingReplicasCase(relay_fixture.RelayCase):
    """Gives each test six replicas that answer by a function."""

    replica_count = 6

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.starts = 0

    def decide_by(
        self,
        decide: Callable[[users_replica.ReceivedRequest], users_replica.Reply],
    ) -> None:
        """Makes all replicas answer by a function of the request."""
        for replica in self.replicas:
            replica.decide_by(decide)

    async def restart_crashed(self) -> None:
        """Restarts each crashed replica under a new id."""
        for replica in self.replicas:
            if not replica.crashed.is_set():
                continue
            self.directory.remove(replica.replica_id)
            self.starts += 1
            await replica.restart(replica_id=f"start-{self.starts}")
            self.directory.put(self.entry(replica))
