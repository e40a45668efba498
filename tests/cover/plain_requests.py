"""Calls of the plain service `crew`, for tests."""

import datetime

from nutmeghook.internal.config import tokens
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.ledger import ledger
from tests import fake_config
from tests import fakes


def plain_request(
    fixture: fakes.Fixture,
    *,
    repeatable: bool = False,
    key: str = "",
    path: str = "",
) -> requests.PlainRequest:
    """Returns a call by the team's repeatable route, or by the other one."""
    team = fixture.config.snapshot.teams["agency"]
    route = team.plain_routes[int(repeatable)]
    arrived = fixture.clock.monotonic()
    return requests.PlainRequest(
        identity=ledger.RequestIdentity(
            team="agency", key=key or "req-1", given_by_caller=bool(key)
        ),
        team=team,
        token_sha256=tokens.digest(fake_config.TOKEN),
        route=route,
        call=plain.PlainCall(
            request_id="req-1", method="POST", path=path or route.path_prefix
        ),
        priority=5,
        arrived=arrived,
        deadline=arrived + datetime.timedelta(seconds=10),
    )
