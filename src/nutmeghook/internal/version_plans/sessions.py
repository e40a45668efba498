"""The version that this instance last sent each session to."""

import collections
import datetime

import msgspec

# At 20 requests a second per instance this covers some 1,000 s, minutes more
# than a session's time.
MAX_SESSIONS = 20_000


class LastUse(msgspec.Struct, frozen=True, kw_only=True):
    """A session's last request.

    Attributes:
        at: Monotonic time at which it was sent.
        until: Monotonic time until which it may be under way, or another one
            may follow it.
    """

    version: str
    at: datetime.timedelta
    until: datetime.timedelta


class SessionVersions:
    """Last uses of sessions, by service and session."""

    __slots__ = ("_last", "_session_time")

    def __init__(self, *, session_time: datetime.timedelta):
        self._session_time = session_time
        self._last: collections.OrderedDict[tuple[str, str], LastUse] = (
            collections.OrderedDict()
        )

    def note(
        self,
        service: str,
        session: str,
        version: str,
        now: datetime.timedelta,
        deadline: datetime.timedelta,
    ) -> None:
        """Records that a session's request goes to a version."""
        key = (service, session)
        self._last[key] = LastUse(
            version=version, at=now, until=deadline + self._session_time
        )
        self._last.move_to_end(key)
        if len(self._last) > MAX_SESSIONS:
            self._last.popitem(last=False)

    def version_of(
        self, service: str, session: str, now: datetime.timedelta
    ) -> str | None:
        """Returns the version of a session that is under way."""
        last = self._last.get((service, session))
        if last is None or now - last.at > self._session_time:
            return None
        return last.version

    def active_sessions(
        self, service: str, now: datetime.timedelta
    ) -> list[str]:
        """Returns the sessions that are or may be under way."""
        return [
            session
            for (known_service, session), last in self._last.items()
            if known_service == service and now <= last.until
        ]
