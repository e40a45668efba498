"""Selects the chunks that continue an attempt's text."""

import msgspec

from nutmeghook.internal.dependencies import engine


class Received(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """What was accepted from a batch of chunks.

    Attributes:
        text: The text of the accepted chunks.
        next_token: Index of the first token still missing.
        dropped: Number of chunks that were not accepted.
        last: The attempt's last chunk, if it was among them.
        has_gap: A chunk skipped tokens; nothing after it was accepted.
    """

    text: str
    next_token: int
    dropped: int
    last: engine.Chunk | None = None
    has_gap: bool = False


def receive(
    batch: list[engine.Chunk], *, attempt_id: str, next_token: int
) -> Received:
    """Accepts the chunks that continue what was received before.

    Chunks of another attempt on a reused connection (another caller's answer)
    and chunks sent again after a resume (doubled text) are dropped. A chunk
    that skips tokens (missing text) ends the batch, so that the missing token
    can be requested again. This loop is the hot path.
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
