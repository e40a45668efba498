"""Entity tags of instance lists, and the changes between two of them."""

import dataclasses

import msgspec
import xxhash

from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.standin_http import http_instances

# A reader that is further behind gets the whole list.
MAX_KEPT_LISTS = 16


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ListAnswer:
    """What to answer; no body stands for "not modified"."""

    entity_tag: str
    body: http_instances.InstancesAnswer | None


class InstanceListDeltas:
    """Remembers the lists that were given out, under their tags.

    Tags are made of the content, so a list that comes back has its old tag,
    and no other list ever has it.
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
            listed: The list as it is now.
            known_tag: Of the list that the reader has; may be empty.
            changes_only: The reader is content with the changes.
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
