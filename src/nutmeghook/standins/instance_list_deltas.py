"""Entity tags of instance lists, and the deltas between two lists."""

import dataclasses

import msgspec
import xxhash

from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.standin_http import http_instances

# A client whose list is older than these gets the whole list.
MAX_KEPT_LISTS = 16


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ListAnswer:
    """The response to a read; no body stands for "not modified"."""

    entity_tag: str
    body: http_instances.InstancesAnswer | None


class InstanceListDeltas:
    """Keeps the lists that were sent, by entity tag.

    Tags are hashes of the content, so a list that recurs has its old tag, and
    no other list has it.
    """

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: dict[str, dict[str, instances.ListedInstance]] = {}

    def answer(
        self,
        listed: list[instances.ListedInstance],
        *,
        known_tag: str,
        changes_only: bool,
    ) -> ListAnswer:
        """Returns the answer to one read.

        Args:
            listed: The current list.
            known_tag: Tag of the list that the client has; may be empty.
            changes_only: The client accepts a delta instead of the whole list.
        """
        digest = xxhash.xxh3_64_hexdigest(msgspec.json.encode(listed))
        tag = f'"{digest}"'
        if known_tag == tag:
            return ListAnswer(entity_tag=tag, body=None)
        entries = {entry.address: entry for entry in listed}
        known = self._sent.get(known_tag) if changes_only else None
        self._keep(tag, entries)
        if known is None:
            body = http_instances.InstancesAnswer(instances=listed)
        else:
            body = _delta(known, entries, since=known_tag)
        return ListAnswer(entity_tag=tag, body=body)

    def _keep(
        self, tag: str, entries: dict[str, instances.ListedInstance]
    ) -> None:
        self._sent[tag] = entries
        while len(self._sent) > MAX_KEPT_LISTS:
            del self._sent[next(iter(self._sent))]


def _delta(
    known: dict[str, instances.ListedInstance],
    entries: dict[str, instances.ListedInstance],
    *,
    since: str,
) -> http_instances.InstancesAnswer:
    return http_instances.InstancesAnswer(
        instances=[
            entry
            for address, entry in entries.items()
            if known.get(address) != entry
        ],
        since=since,
        removed=tuple(known.keys() - entries.keys()),
        total=len(entries),
    )
