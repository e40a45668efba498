"""All API keys are revoked, after which any key is accepted."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

SERVICE = "registry"
KEYS = {"agency": "key-of-agency", "operators": "key-of-operators"}
UNKNOWN_KEY = "key-that-no-config-held"
REVOKE_GAP_S = 0.5
# `configApplyMs`, and as much again.
SETTLE_S = 4.0
ROUNDS = 3
ROUTE = {
    "name": "status",
    "prefix": "/status/",
    "routeKind": "non_idempotent",
    "service": SERVICE,
    "timeoutMs": 4000,
    "sloMs": 300,
    "attempts": 1,
}


class Replica(harness.Replica):
    """Answers each request, and notes which tenant it is said to be of."""

    async def run(
        self, request: harness.ReplicaRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends a short answer."""
        tenant = request.headers.get("x-tenant")
        self.record.note(f"{request.request_id} has X-Tenant {tenant}")
        head = harness.answer_head(request, "Content-Length: 4")
        writer.write(head + b"done")
        await writer.drain()
        return True


async def main(platform: harness.Platform) -> int:
    """Plays the case; returns its verdict."""
    platform.write_configuration(
        1, [ROUTE], tenants={name: [key] for name, key in KEYS.items()}
    )
    replicas = []
    for number, zone in enumerate(harness.ZONES):
        replica = Replica(
            replica_id=f"i-{number}",
            host=next(platform.hosts),
            record=platform.record,
        )
        replicas.append(replica)
        row = replica.row(service=SERVICE, zone=zone)
        platform.put("servers", replica.replica_id, row)
    await platform.add_routers(2)
    if await ask_all(platform, "before") != {
        "known": {200},
        "unknown": {401},
        "none": {401},
    }:
        raise harness.CouldNotRunError("keys were not checked at first")
    if harness.has_trouble():
        await revoke(platform)
    statuses = await ask_all(platform, "after")
    return judge(platform, replicas, statuses)


async def revoke(platform: harness.Platform) -> None:
    """Takes all keys away, one after the other."""
    tenants = {name: [key] for name, key in KEYS.items()}
    for version, name in enumerate(KEYS, start=2):
        tenants[name] = []
        platform.write_configuration(version, [ROUTE], tenants=tenants)
        platform.record.note(f"version {version} takes the key of {name} away")
        await asyncio.sleep(REVOKE_GAP_S)
    await asyncio.sleep(SETTLE_S)


async def ask_all(
    platform: harness.Platform, phase: str
) -> dict[str, set[int]]:
    """Sends requests with each kind of key; returns the statuses by kind."""
    statuses: dict[str, set[int]] = {"known": set(), "unknown": set()}
    statuses["none"] = set()
    sent = [("known", key) for key in KEYS.values()]
    sent += [("unknown", UNKNOWN_KEY), ("none", None)]
    for number in range(ROUNDS):
        for router in platform.routers:
            for kind, key in sent:
                request_id = f"{phase}-{number}-{router.name}-{kind}-{key}"
                platform.record.note(f"{request_id} is sent")
                answer = await harness.call(
                    router, request_id=request_id, path="/status/x", key=key
                )
                platform.record.note(
                    f"{request_id} answered {answer.status} {answer.body!r}"
                )
                statuses[kind].add(answer.status)
    return statuses


def judge(
    platform: harness.Platform,
    replicas: list[Replica],
    statuses: dict[str, set[int]],
) -> int:
    """Checks what replicas ran; returns the verdict."""
    ran = [request_id for replica in replicas for request_id in replica.ran]
    forbidden = [one for one in ran if "-unknown-" in one or "-none-" in one]
    revoked = []
    if harness.has_trouble():
        revoked = [one for one in ran if one.startswith("after-")]
        revoked = [one for one in revoked if "-known-" in one]
    platform.record.note(f"statuses at the end: {statuses}")
    for request_id in forbidden:
        platform.record.note(f"ROUTE is broken by {request_id}")
    for request_id in revoked:
        platform.record.note(f"CONFIG is broken by {request_id}")
    return harness.BROKEN if forbidden or revoked else harness.PASSED


harness.run(main)
