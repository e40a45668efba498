"""Quality of the stand-ins' answers, for the rating service."""

import re

import msgspec
import xxhash

from nutmeghook.internal.dependencies import ratings
from nutmeghook.standins import answers

# In a prompt `difficulty=0.7`; the default is `QualitySettings.difficulty`.
_DIFFICULTY = re.compile(r"\bdifficulty\W{1,5}(0?\.\d+|[01])")


class QualitySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Parameters of an answer's quality.

    Attributes:
        strengths: By model, the greatest difficulty that it masters, 0 to 1.
        strength: Strength of all other models.
        difficulty: Difficulty of prompts that name none.
        good_quality: Quality of an answer by a model that is strong enough.
        bad_quality: Quality of an answer marked with `answers.BAD_SUFFIX`.
        noise: Maximum deviation in either direction; it depends only on the
            request and stage, so it is the same on every run.
    """

    strengths: dict[str, float] = msgspec.field(default_factory=dict)
    strength: float = 1.0
    difficulty: float = 0.3
    good_quality: float = 0.9
    bad_quality: float = 0.1
    noise: float = 0.05


def quality_of(task: ratings.RatingTask, settings: QualitySettings) -> float:
    """Returns the quality of an answer, before it is clamped to 0 to 1."""
    hashed = xxhash.xxh64_intdigest(f"{task.request_id} {task.stage}".encode())
    noise = settings.noise * (hashed / 2**63 - 1)
    if answers.BAD_SUFFIX in task.answer:
        return settings.bad_quality + noise
    found = _DIFFICULTY.search(task.prompt)
    difficulty = float(found[1]) if found else settings.difficulty
    strength = settings.strengths.get(
        task.model_version.model, settings.strength
    )
    return settings.good_quality - max(0.0, difficulty - strength) + noise
