"""The instance list over HTTP; docs/STANDIN_INTERFACES.md has the contract.

Every instance reads the list each second, and at the planned size it has
720 KB. So a read sends the last list's entity tag, and the answer is "not
modified" or the changed entries; docs/design/instance-list.md has the figures.
A service that supports neither always answers with the whole list.
"""

import dataclasses

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.standin_http import http_exchange

LIST_PATH = "/v1/instances"
# Query parameter: the client accepts the changed entries only.
CHANGES_ONLY = "changes"


class InstancesAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The whole list, or the changes since an earlier one.

    Attributes:
        instances: All entries; with `since`, the new and changed ones.
        since: The entity tag of the list to which the changes apply.
        removed: With `since`, the addresses that were removed.
        total: With `since`, the number of entries after the changes.
    """

    instances: list[instances.ListedInstance]
    since: str | None = None
    removed: tuple[str, ...] = ()
    total: int | None = None


_Entries = dict[str, instances.ListedInstance]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _KnownList:
    """A list as it was read; immutable, so that reads may overlap."""

    entity_tag: str
    entries: _Entries


_NOTHING_KNOWN = _KnownList(entity_tag="", entries={})
_decoder = msgspec.json.Decoder(InstancesAnswer)


class HttpInstances(instances.InstanceList):
    """Reads the list from one address and keeps the last one."""

    __slots__ = ("_exchange", "_known")

    def __init__(self, *, exchange: http_exchange.HttpExchange):
        self._exchange = exchange
        self._known = _NOTHING_KNOWN

    async def list_instances(self) -> list[instances.ListedInstance]:
        """Returns all instances; may raise `failures.NotDoneError`."""
        read = await self._read(self._known)
        if read is None:
            # The changes do not apply to the known list. The result could lack
            # an entry for as long as the tag matches, so the whole list is
            # read again.
            read = await self._read(_NOTHING_KNOWN)
        if read is None:
            self._known = _NOTHING_KNOWN
            raise failures.NotDoneError(
                f"{LIST_PATH}: changes came where the whole list was asked for"
            )
        self._known = read
        return list(read.entries.values())

    async def _read(self, known: _KnownList) -> _KnownList | None:
        """Returns the list after `known`; None if changes don't apply."""
        params = {CHANGES_ONLY: "1"} if known.entity_tag else {}
        tagged = await self._exchange.read_if_changed(
            LIST_PATH, entity_tag=known.entity_tag, **params
        )
        if tagged is None:
            return known
        try:
            answer = _decoder.decode(tagged.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise failures.NotDoneError(f"{LIST_PATH}: {error}") from error
        entries = _entries_after(known, answer)
        if entries is None:
            return None
        return _KnownList(entity_tag=tagged.entity_tag, entries=entries)


def _entries_after(
    known: _KnownList, answer: InstancesAnswer
) -> _Entries | None:
    """Returns the entries after an answer; None if it does not apply."""
    changed = {entry.address: entry for entry in answer.instances}
    if answer.since is None:
        return changed
    if not known.entity_tag or answer.since != known.entity_tag:
        return None
    entries = known.entries | changed
    for address in answer.removed:
        entries.pop(address, None)
    return entries if len(entries) == answer.total else None
