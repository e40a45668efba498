"""Resolves a path to a plain service, if the team may call it."""

from collections.abc import Mapping
import dataclasses
import re

import yarl

from nutmeghook.internal.config import documents
from nutmeghook.internal.entry import headers as headers_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.foundation import http_headers

SERVICES_PREFIX = "/services/"

# A path such as `/open/../bookings` or `/open/%2e%2e/bookings` would pass a
# prefix check here and name another resource once the service has normalized
# it, so ambiguous paths are refused.
_AMBIGUOUS = re.compile(
    r"//|\\|(^|/)\.{1,2}(/|$)|%(2e|2f|5c|25|[01][0-9a-f]|7f)", re.I
)

_NOT_FORWARDED = http_headers.CONNECTION_FIELDS | {
    "authorization",
    headers_module.PRIORITY.lower(),
    headers_module.DEADLINE_MS.lower(),
    "x-request-id",
}
# Answers are buffered and decoded, so `content-encoding` no longer applies.
_NOT_RETURNED = _NOT_FORWARDED | {"content-encoding", "date", "server"}


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ServiceTarget:
    """The target of a call.

    Attributes:
        path: Absolute path at the service, as the caller encoded it.
        path_and_query: The same with the query string, if there is one.
    """

    service: str
    path: str
    path_and_query: str


def service_target(url: yarl.URL) -> ServiceTarget:
    """Splits `/services/{service}/{path}?{query}`.

    Raises:
        errors.CodedError: `BAD_FIELD` for an ambiguous path.
    """
    rest = url.raw_path.removeprefix(SERVICES_PREFIX)
    service, _, path = rest.partition("/")
    path = "/" + path
    if _AMBIGUOUS.search(path):
        raise errors.CodedError(
            code=codes.Code.BAD_FIELD,
            detail=f"path is {path[:100]!a}; send it without dot segments,"
            " double slashes or encoded separators",
        )
    query = url.raw_query_string
    return ServiceTarget(
        service=service,
        path=path,
        path_and_query=f"{path}?{query}" if query else path,
    )


def route_for(
    team: documents.Team, target: ServiceTarget
) -> documents.PlainRoute:
    """Returns the team's route with the longest prefix of the path.

    Raises:
        errors.CodedError: `NOT_ALLOWED`: the team has none.
    """
    route = team.plain_route(target.service, target.path)
    if route is None:
        raise errors.CodedError(
            code=codes.Code.NOT_ALLOWED,
            detail=f"the team has no route to {target.service[:50]!a} at"
            f" {target.path[:100]!a}",
        )
    return route


def forwarded_headers(
    headers: Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    """Returns the request headers that are forwarded to the service."""
    return _without(headers.items(), _NOT_FORWARDED)


def returned_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Returns the response headers that are passed on to the caller."""
    return _without(headers, _NOT_RETURNED)


def _without(headers, dropped: frozenset[str]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
