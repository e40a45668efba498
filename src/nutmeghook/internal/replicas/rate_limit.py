"""The rate limit that a replica states, and the order of its statements.

Answers overtake each other, so their arrival does not tell which statement of
a replica is the newest. A stricter limit is taken from any answer. A looser
one, or none, is taken only from an answer to a request that was sent after the
present limit was heard, since that answer was certainly made later.
"""

import datetime

import msgspec

# Peers give ages in whole milliseconds and without the network delay, so a
# statement that they send back may look this much newer than it is.
_AGE_ERROR = datetime.timedelta(milliseconds=20)


class RateLimit(msgspec.Struct, frozen=True, kw_only=True):
    """A replica's statement on its limit.

    Attributes:
        per_s: Requests a second from all instances together; None if it
            stated that its former limit has ended.
        heard_at: Monotonic time at which an instance last heard it from the
            replica.
    """

    per_s: float | None
    heard_at: datetime.timedelta


def after_answer(
    known: RateLimit | None,
    per_s: float | None,
    *,
    sent_at: datetime.timedelta,
    now: datetime.timedelta,
) -> RateLimit | None:
    """Returns the statement in force after an answer of the replica.

    Args:
        known: The statement in force before.
        per_s: The limit that the answer states; None if it states none.
        sent_at: When the answer's request was sent.
        now: The present monotonic time.
    """
    if known is None or known.per_s is None:
        return known if per_s is None else RateLimit(per_s=per_s, heard_at=now)
    is_looser = per_s is None or per_s > known.per_s
    if is_looser and sent_at < known.heard_at:
        return known
    return RateLimit(per_s=per_s, heard_at=now)


def after_peer(
    known: RateLimit | None, reported: RateLimit
) -> RateLimit | None:
    """Returns the statement in force after a peer's report."""
    if known is None:
        return None if reported.per_s is None else reported
    is_newer = reported.heard_at - known.heard_at > _AGE_ERROR
    return reported if is_newer else known
