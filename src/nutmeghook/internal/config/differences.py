"""Lists the fields in which two revisions of a document differ."""

from collections.abc import Iterator
from typing import Any

import msgspec

from nutmeghook.internal.config import faults

_NOTHING = "(none)"


def between(before: Any, after: Any) -> tuple[faults.Difference, ...]:
    """Returns the differences of two documents; None stands for no document.

    Paths are those of the JSON form that operators write.
    """
    plain_before = _plain(before)
    plain_after = _plain(after)
    return tuple(_walk("", plain_before, plain_after))


def _plain(document: Any) -> Any:
    return {} if document is None else msgspec.to_builtins(document)


def _walk(path: str, before: Any, after: Any) -> Iterator[faults.Difference]:
    if before == after:
        return
    before_parts = _parts(before)
    after_parts = _parts(after)
    if before_parts is None or after_parts is None:
        yield faults.Difference(
            path=path, before=_text(before), after=_text(after)
        )
        return
    for name in dict.fromkeys([*before_parts, *after_parts]):
        yield from _walk(
            f"{path}{name}" if name[0] == "[" or not path else f"{path}.{name}",
            before_parts.get(name),
            after_parts.get(name),
        )


def _parts(value: Any) -> dict[str, Any] | None:
    """Returns a value's parts by name; None for a leaf."""
    if isinstance(value, dict):
        return value
    if isinstance(value, list | tuple):
        return {_item_name(i, item): item for i, item in enumerate(value)}
    return None


def _item_name(index: int, item: Any) -> str:
    """Names an item by its identifying fields, so that a moved one matches."""
    if isinstance(item, dict):
        if "model" in item and "version" in item:
            return f"[{item['model']}@{item['version']}]"
        for field in ("version", "name", "model"):
            if field in item:
                return f"[{item[field]}]"
    return f"[{index}]"


def _text(value: Any) -> str:
    return _NOTHING if value is None else msgspec.json.encode(value).decode()
