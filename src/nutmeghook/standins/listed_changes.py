"""Entity tags of instance lists, and the changes between two of them."""

import dataclasses

import msgspec
import xxhash

from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.standin_http import http_instances

# A reader that is further behind gets the whole list.
LISTS_KEPT = 16


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ListAnswer:
    """What to answer; no body stands for "not modified"."""

    entity_tag: str
    body: http_instances.InstancesAnswer | None


class ListedChanges:
    """Remembers the lists that were given out, under their tags.

    Tags are made of the content, so a list that comes back has its old tag,
    and no other list ever has it.
    """

    __slots__ = ("_given",)

    def __init__(self) -> None:
        self._given: dict[str, dict[str, instances.ListedInstance]] = {}

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
        lines = {line.address: line for line in listed}
        known = self._given.get(known_tag) if changes_only else None
        self._keep(tag, lines)
        if known is None:
            body = http_instances.InstancesAnswer(instances=listed)
        else:
            body = _difference(known, lines, since=known_tag)
        return ListAnswer(entity_tag=tag, body=body)

    def _keep(
        self, tag: str, lines: dict[str, instances.ListedInstance]
    ) -> None:
        self._given[tag] = lines
        while len(self._given) > LISTS_KEPT:
            del self._given[next(iter(self._given))]


def _difference(
    known: dict[str, instances.ListedInstance],
    lines: dict[str, instances.ListedInstance],
    *,
    since: str,
) -> http_instances.InstancesAnswer:
    return http_instances.InstancesAnswer(
        instances=[
            line
            for address, line in lines.items()
            if known.get(address) != line
        ],
        since=since,
        removed=tuple(known.keys() - lines.keys()),
        total=len(lines),
    )
