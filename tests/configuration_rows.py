"""Configurations of any size in the form of the users' platform."""

import json
import random


def configuration(*, routes: int) -> bytes:
    """Returns one with `routes` routes; a longer one extends a shorter one."""
    # Random names, since numbered ones would compress unrealistically well.
    drawn = random.Random(7)
    return json.dumps(
        {
            "version": routes,
            "routes": [_route(drawn) for _ in range(routes)],
            "services": [{"name": "desk", "healthPath": "/health"}],
        },
        separators=(",", ":"),
    ).encode()


def _route(drawn: random.Random) -> dict:
    name = f"{drawn.getrandbits(40):010x}"
    return {
        "name": name,
        "host": f"{name[:6]}.example",
        "prefix": f"/{name[4:]}/",
        "routeKind": drawn.choice(("idempotent", "non_idempotent")),
        "timeoutMs": 1200,
        "sloMs": 150,
        "attempts": 2,
        "priority": drawn.randrange(3),
        "service": "desk",
    }
