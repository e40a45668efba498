"""What a request is, whoever gets it and at whichever attempt."""

import hashlib

IDENTITY_BYTES = 16
_LENGTH_BYTES = 8


def identity_of(*, path: str, caller: str, body: bytes) -> bytes:
    """Returns the same few bytes for each copy of a request.

    A caller's id of an attempt differs at each of them. The hash is one that
    nobody can find another's request to, so that no caller has requests of
    others taken for its own.

    Args:
        path: Host, path and query.
        caller: Who sends it; empty if nobody is named.
        body: The whole body.
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for part in (path.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
