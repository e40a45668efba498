"""Which of the chunks that come are the next ones of an attempt."""

import msgspec

from nutmeghook.internal.dependencies import engine


class Received(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """What a batch of chunks brought.

    Attributes:
        text: The text of the chunks taken.
        next_token: Index of the first token still missing.
        dropped: Chunks that were not taken.
        last: The attempt's last chunk, if it was among them.
        has_gap: A chunk skipped tokens; nothing behind it was taken.
    """

    text: str
    next_token: int
    dropped: int
    last: engine.Chunk | None = None
    has_gap: bool = False


def receive(
    batch: list[engine.Chunk], *, attempt_id: str, next_token: int
) -> Received:
    """Takes those chunks that follow on what was taken before.

    The failures: a chunk of another attempt on a connection used again (the
    caller would read another's answer), a chunk sent twice after a resume
    (doubled text), a chunk that skips tokens (missing text). The first two
    are dropped; the last ends the batch, so that the missing token can be
    asked for again. This loop is the hot path.
    """
    pieces = []
    dropped = 0
    last = None
    has_gap = False
    for chunk in batch:
        if chunk.token_index == next_token and chunk.attempt_id == attempt_id:
            next_token += chunk.tokens
            pieces.append(chunk.text)
            if chunk.finish is not None:
                last = chunk
                break
            continue
        dropped += 1
        has_gap = (
            chunk.attempt_id == attempt_id
            and chunk.token_index + chunk.tokens > next_token
        )
        if has_gap:
            break
    return Received(
        text="".join(pieces),
        next_token=next_token,
        dropped=dropped,
        last=last,
        has_gap=has_gap,
    )
