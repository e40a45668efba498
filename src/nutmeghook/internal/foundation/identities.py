"""The identity of a request over all its attempts and instances."""

import hashlib

IDENTITY_BYTES = 16
_LENGTH_BYTES = 8


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
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for part in (path.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
