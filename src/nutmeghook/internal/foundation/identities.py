"""The identity of a request, or of a prompt part, over all instances."""

import hashlib

IDENTITY_BYTES = 16
_LENGTH_BYTES = 8
# No path of a request.
_PART = b"part of a prompt"


def identity_of(*, path: str, caller: str, body: bytes) -> bytes:
    """Returns the same bytes for each copy of a request.

    The caller's attempt id differs between copies and is not used. The hash is
    cryptographic, so that no caller can construct a request with the identity
    of another caller's request.

    Args:
        path: Host, path and query.
        caller: The caller; empty if none is named.
        body: The whole body.
    """
    return _digest(path.encode(), caller.encode(), body)


def part_identity_of(*fields: str) -> bytes:
    """Returns the same bytes for each use of a prompt part.

    It differs from the identity of any request.

    Args:
        fields: What tells the part from others.
    """
    return _digest(_PART, *(field.encode() for field in fields))


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
