"""Facts about a rated request, encoded in the rating's id.

The rating service returns the id, the stage and the quality. Learning also
needs the kind of request and the score of the cheap answer, which only the
instance that submitted the answer knew.
"""

import re

import msgspec

from nutmeghook.internal.routing import cascade_scorer

_SEPARATOR = "~"
_LABEL = re.compile(r"~(\d)\.(\d)\.(-1|\d+)\.([01])$", re.ASCII)
_NO_BIN = -1
# Prompt sizes that divide a template's requests into kinds: cheap models fail
# more often on long prompts, and a separate kind can start at a strong model.
_KIND_LIMITS_CHARS = (1_000, 6_000)
KINDS = len(_KIND_LIMITS_CHARS) + 1


class RatingLabel(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a rated answer.

    Attributes:
        kind: Size class of the prompt, from 0.
        first_stage: Where the request started.
        score_bin: Of the first stage's answer; None if that was not held.
        sampled: Drawn uniformly from all requests, so it counts towards the
            frequency of its kind. Exploration favours rare kinds.
    """

    kind: int
    first_stage: int
    score_bin: int | None
    sampled: bool = True


def kind_of(prompt_chars: int) -> int:
    """Returns the size class of a prompt."""
    return sum(prompt_chars > limit for limit in _KIND_LIMITS_CHARS)


def typical_chars(kind: int) -> int:
    """Returns a representative prompt size, to estimate a kind's cost."""
    limits = (*_KIND_LIMITS_CHARS, 2 * _KIND_LIMITS_CHARS[-1])
    return limits[kind] // 2 if kind == 0 else limits[kind]


def attach(request_id: str, label: RatingLabel) -> str:
    """Returns a rating id that carries a label."""
    score_bin = _NO_BIN if label.score_bin is None else label.score_bin
    sampled = int(label.sampled)
    fields = f"{label.kind}.{label.first_stage}.{score_bin}.{sampled}"
    return f"{request_id}{_SEPARATOR}{fields}"


def read(rating_id: str) -> RatingLabel | None:
    """Returns the label in a rating id; None if there is none."""
    found = _LABEL.search(rating_id)
    if found is None:
        return None
    kind, first_stage, score_bin, sampled = map(int, found.groups())
    if kind >= KINDS or score_bin >= cascade_scorer.SCORE_BINS:
        return None
    return RatingLabel(
        kind=kind,
        first_stage=first_stage,
        score_bin=None if score_bin == _NO_BIN else score_bin,
        sampled=bool(sampled),
    )
