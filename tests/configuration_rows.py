"""Operator's configurations of any size, as the users' platform writes them."""

import json
import random


def configuration(*, routes: int) -> bytes:
    """Returns one with so many routes; a longer one begins like a shorter."""
    # Names are drawn, as compression would find invented series too easy.
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
