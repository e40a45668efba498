"""Pseudo-random sampling of requests, equal on all instances and retries."""

import xxhash

from nutmeghook.internal.routing import cascade

_HASH_RANGE = 2.0**64
_WHOLE_PERCENT = 100.0


def position(request_id: str, purpose: str) -> float:
    """Returns a request's hash for one purpose, between 0 and 1.

    Hashes for different purposes are independent of each other.
    """
    digest = xxhash.xxh3_64_intdigest(f"{purpose}\x00{request_id}".encode())
    return digest / _HASH_RANGE


def may_hold(question: cascade.CascadeQuestion) -> bool:
    """Tells whether the request is in the share whose answers may be held."""
    position_percent = position(question.request_id, "hold") * _WHOLE_PERCENT
    return position_percent < question.template.held_share_percent
