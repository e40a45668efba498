"""Scores held answers without calling another model."""

import abc

from nutmeghook.internal.routing import cascade

SCORE_BINS = 8

# Phrases by which a model doubts its own answer, in the users' languages.
_DOUBTS = (
    "i'm not sure",
    "i am not sure",
    "i don't know",
    "i cannot",
    "i can't",
    "it is unclear",
    "not certain",
    "might be",
    "nem vagyok biztos",
    "nem tudom",
    "nem egyértelmű",
    "ไม่แน่ใจ",
    "ไม่ทราบ",
)
_DOUBT_WEIGHT = 0.35
_TYPICAL_CHARS = 80


class AnswerScorer(abc.ABC):
    """Scores an answer; only the order of scores matters.

    The quality that a score stands for is learned from ratings, per template.
    """

    @abc.abstractmethod
    def score(self, answer: cascade.CascadeAnswer) -> float:
        """Returns 0 (useless) to 1 (no sign of a fault)."""


class TextAnswerScorer(AnswerScorer):
    """Scores by truncation, emptiness, phrases of doubt, and length."""

    __slots__ = ()

    def score(self, answer: cascade.CascadeAnswer) -> float:
        """Returns 0 to 1."""
        text = answer.text.strip().lower()
        if answer.hit_length_limit or not text:
            return 0.0
        doubts = sum(text.count(doubt) for doubt in _DOUBTS)
        confidence = 1.0 / (1.0 + _DOUBT_WEIGHT * doubts)
        length = min(1.0, len(text) / _TYPICAL_CHARS)
        return confidence * (0.5 + 0.5 * length)


def bin_of(score: float) -> int:
    """Returns the bin of a score, 0 to `SCORE_BINS` - 1."""
    return min(SCORE_BINS - 1, max(0, int(score * SCORE_BINS)))
