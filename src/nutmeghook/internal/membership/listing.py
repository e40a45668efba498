"""The platform's instance list, as a source of addresses to probe.

The list only hints at where instances may be; an instance is a member if it
answers. So a list that is late, unavailable, empty or wrong removes no member
and needs no safeguard here: members that died while it was faulty are probed at
their remembered addresses.
"""

import eliot

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.inner import addresses


class InstanceHints:
    """The addresses of the last list, and the configured seeds."""

    __slots__ = (
        "_instance_list",
        "_listed",
        "_seed_addresses",
        "was_read",
    )

    def __init__(
        self,
        *,
        instance_list: instances.InstanceList,
        seed_addresses: tuple[str, ...] = (),
    ):
        self._instance_list = instance_list
        for address in seed_addresses:
            addresses.split(address)
        self._seed_addresses = frozenset(seed_addresses)
        self._listed: frozenset[str] = frozenset()
        self.was_read = False

    def addresses(self) -> frozenset[str]:
        """Returns the inner addresses to probe."""
        return self._listed | self._seed_addresses

    def lists(self, inner_address: str) -> bool:
        """Tells whether the last list contains an instance."""
        return inner_address in self._listed

    async def read(self) -> bool:
        """Reads the list; returns whether it succeeded."""
        try:
            rows = await self._instance_list.list_instances()
        except failures.PlatformError as error:
            eliot.log_message("membership:list_out", reason=str(error))
            return False
        self._listed = frozenset(
            row.inner_address
            for row in rows
            if row.role is instances.InstanceRole.ENTRY
            and addresses.is_valid(row.inner_address)
        )
        self.was_read = True
        return True
