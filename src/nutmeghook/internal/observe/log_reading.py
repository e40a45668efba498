"""Reads the log files of many instances, line by line."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
import re

from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import state_records

# Collectors put a time and the instance's name before the object, often with
# punctuation: `26.39 edge-1 {`, `router-1 | {`, `[pod/router-1] {`.
_PREFIX_PUNCTUATION = "[]|: \t"
_INSTANCE_NAME = re.compile(r"[A-Za-z][\w./-]*")


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, order=True)
class Source:
    """An instance's log.

    A file holds one instance's lines, or those of several if a collector put
    the instance's name before each line.

    Attributes:
        path: The file.
        name: The instance's name before the line; empty if there is none.
    """

    path: str
    name: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Line:
    """One readable line.

    Attributes:
        number: Its line number in the file.
        at_s: The instance's wall clock; for a line without a time, the time of
            the source's previous line.
    """

    source: Source
    number: int
    at_s: float
    record: log_records.Record


@dataclasses.dataclass(slots=True, kw_only=True)
class Summary:
    """What is known about a source as a whole.

    Attributes:
        first_s: The time of its first line.
        last_s: The time of its last line.
        dropped_lines: Lines that the instance reports to have dropped.
    """

    first_s: float
    last_s: float
    dropped_lines: int = 0


class LogFiles:
    """Files of log lines; they may be read more than once.

    Attributes:
        unreadable_lines: Their count by file, as of its last reading.
        read_errors: Why a file or folder could not be read, by its path.
        summaries: The sources read so far.
    """

    __slots__ = ("_paths", "read_errors", "summaries", "unreadable_lines")

    def __init__(self, *, paths: Iterable[str]):
        self.unreadable_lines: dict[str, int] = {}
        self.read_errors: dict[str, str] = {}
        self.summaries: dict[Source, Summary] = {}
        self._paths = self._find_files(paths)

    def _find_files(self, paths: Iterable[str]) -> list[pathlib.Path]:
        """Returns all files, each once, sorted by path."""
        found: dict[pathlib.Path, pathlib.Path] = {}
        for path in sorted({pathlib.Path(path) for path in paths}):
            files = [path]
            if path.is_dir():
                files = [file for file in path.rglob("*") if file.is_file()]
            for file in sorted(files):
                found.setdefault(file.resolve(), file)
        return sorted(found.values())

    def lines(self, paths: Iterable[str] | None = None) -> Iterator[Line]:
        """Reads the files one after another.

        Args:
            paths: The files to read; all if None.
        """
        wanted = None if paths is None else set(paths)
        for path in self._paths:
            if wanted is None or str(path) in wanted:
                yield from self._lines_of(path)

    def _lines_of(self, path: pathlib.Path) -> Iterator[Line]:
        unreadable = 0
        summaries: dict[Source, Summary] = {}
        try:
            with path.open("rb") as file:
                for number, raw in enumerate(file, start=1):
                    if not raw.strip():
                        continue
                    try:
                        line = _read(raw, number, str(path), summaries)
                    except log_decoding.UnreadableLineError:
                        unreadable += 1
                        continue
                    yield line
        except OSError as error:
            self.read_errors[str(path)] = error.strerror or str(error)
        self.unreadable_lines[str(path)] = unreadable
        self.summaries.update(summaries)

    def names(self) -> dict[Source, str]:
        """Returns a short name for each source, with its path if not unique."""
        shortest = {
            source: source.name or pathlib.Path(source.path).stem
            for source in self.summaries
        }
        taken = collections.Counter(shortest.values())
        return {
            source: name
            if taken[name] == 1
            else f"{source.path} {source.name}".rstrip()
            for source, name in shortest.items()
        }


def _read(
    raw: bytes, number: int, path: str, summaries: dict[Source, Summary]
) -> Line:
    prefix, brace, _ = raw.partition(b"{")
    if not brace:
        raise log_decoding.UnreadableLineError("no object")
    record = log_decoding.decode(raw[len(prefix) :])
    source = Source(path=path, name=_name_in(prefix))
    summary = summaries.get(source)
    at_s = record.timestamp_s
    if at_s is None:
        at_s = summary.last_s if summary else 0.0
    if summary is None or not summary.first_s:
        summary = summaries.setdefault(source, Summary(first_s=0.0, last_s=0.0))
        summary.first_s = at_s
    summary.last_s = at_s
    if isinstance(record, state_records.LinesDropped):
        summary.dropped_lines += record.lines
    return Line(source=source, number=number, at_s=at_s, record=record)


def _name_in(prefix: bytes) -> str:
    """Returns the instance's name in a prefix; empty if there is none."""
    words = prefix.decode(errors="replace").split()
    named = [word.strip(_PREFIX_PUNCTUATION) for word in words]
    names = [word for word in named if _INSTANCE_NAME.fullmatch(word)]
    return names[-1] if names else ""
