"""Text of the model engine stand-ins, which names its request and version.

Each token of an answer reads `MARKER/MODEL@VERSION/INDEX`, so that a checker
detects an answer that belongs to another request, mixes two versions, repeats
tokens or is truncated.
"""

import dataclasses
import re

import xxhash

from nutmeghook.internal.dependencies import engine

BAD_SUFFIX = "!bad"
END_SUFFIX = "/end"
# In a prompt `marker=w1` or `"marker": "w1"`; the same in a path or a body.
_MARKER = re.compile(r"\bmarker\W{1,5}([\w.-]+)")
_TOKEN = re.compile(
    r"(?P<marker>[\w.-]+)/(?P<version>[^/\s]+@[^/\s!]+)(?P<bad>!bad)?"
    r"/(?P<index>\d+)(?P<end>/end)?"
)


class DamagedAnswerError(ValueError):
    """A text that is not a contiguous part of one answer."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ParsedAnswer:
    """What the tokens of an answer state.

    Attributes:
        bad: The version was configured as bad when it generated the answer.
        whole: The text starts at the first token and ends with the last.
    """

    marker: str
    model_version: engine.ModelVersion
    tokens: int
    bad: bool
    whole: bool


def marker_of(text: str) -> str:
    """Returns the marker in a prompt, path or body, else the text's hash."""
    found = _MARKER.search(text)
    return found[1] if found else xxhash.xxh64_hexdigest(text.encode())


def prompt_of(generation: engine.Generation) -> str:
    """Returns a generation's messages as one text."""
    return "\n".join(
        f"{message.role}: {message.content}" for message in generation.messages
    )


def token_text(
    *,
    marker: str,
    model_version: engine.ModelVersion,
    index: int,
    bad: bool,
    last: bool,
) -> str:
    """Returns the text of one token."""
    suffix = BAD_SUFFIX if bad else ""
    end = END_SUFFIX if last else ""
    return f"{marker}/{model_version}{suffix}/{index}{end} "


def parse_answer(text: str) -> ParsedAnswer:
    """Parses an answer and checks that it is contiguous.

    Raises:
        DamagedAnswerError: A token is malformed, missing, repeated or out
            of order, or differs from the first in request, version or bad
            mark.
    """
    tokens = [_read_token(word) for word in text.split()]
    if not tokens:
        raise DamagedAnswerError("the answer is empty")
    first = tokens[0]
    for position, token in enumerate(tokens):
        expected_index = int(first["index"]) + position
        same = all(token[k] == first[k] for k in ("marker", "version", "bad"))
        if not same or int(token["index"]) != expected_index:
            raise DamagedAnswerError(
                f"word {position} is {token[0]!r} after {first[0]!r}"
            )
    return ParsedAnswer(
        marker=first["marker"],
        model_version=engine.ModelVersion.parse(first["version"]),
        tokens=len(tokens),
        bad=first["bad"] is not None,
        whole=first["index"] == "0" and tokens[-1]["end"] is not None,
    )


def _read_token(word: str) -> re.Match[str]:
    token = _TOKEN.fullmatch(word)
    if token is None:
        raise DamagedAnswerError(f"{word[:80]!r} is not a token")
    return token


def first_version(text: str) -> str:
    """Returns the version that a text names first, as `model@version`."""
    found = _TOKEN.match(text)
    return found["version"] if found else ""
