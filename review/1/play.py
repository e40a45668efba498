"""A replica resets an answer that a peer carries to a cut-off instance."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

SERVICE = "registry"
ROUNDS = 6
REQUESTS = 8
# Shorter than an instance waits before it asks a peer for a tunnel.
CUT_S = 0.15
RUN_S = 0.06
WHOLE_BODY = b"0123456789" * 80
SENT_BYTES = 400


class Replica(harness.Replica):
    """Answers without a length, and can reset its answers midway.

    Attributes:
        resets: It resets its answers from now on.
    """

    resets = False

    async def run(
        self, request: harness.ReplicaRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends an answer that ends with its connection."""
        await asyncio.sleep(RUN_S)
        head = harness.answer_head(request, "Connection: close")
        if not self.resets:
            writer.write(head + WHOLE_BODY)
            return False
        writer.write(head + WHOLE_BODY[:SENT_BYTES])
        harness.reset(writer)
        self.record.note(
            f"{self.replica_id} resets its answer to {request.request_id}"
            f" after {SENT_BYTES} of {len(WHOLE_BODY)} bytes"
        )
        return False


async def main(platform: harness.Platform) -> int:
    """Plays the case; returns its verdict."""
    platform.write_configuration(
        1,
        [
            {
                "name": "status",
                "prefix": "/status/",
                "routeKind": "non_idempotent",
                "service": SERVICE,
                "timeoutMs": 4000,
                "sloMs": 300,
                "attempts": 1,
            }
        ],
    )
    replicas = list_replicas(platform)
    await platform.add_routers(2)
    answers = []
    for number in range(ROUNDS):
        answers += await play_round(platform, replicas, number)
        await asyncio.sleep(1.0)
    return judge(platform, answers)


def list_replicas(platform: harness.Platform) -> list[Replica]:
    """Starts a replica in each zone and lists it in the store."""
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
    return replicas


async def play_round(
    platform: harness.Platform, replicas: list[Replica], number: int
) -> list[harness.CallerAnswer]:
    """Sends requests to an instance that reaches no replica for a moment."""
    cut_off = platform.routers[0]
    if harness.has_trouble():
        platform.record.note(f"{cut_off.name} is cut off from all replicas")
        for replica in replicas:
            replica.resets = True
            replica.cut()
    calls = []
    for one in range(REQUESTS):
        request_id = f"r{number}-{one}"
        platform.record.note(f"{request_id} is sent to {cut_off.name}")
        calls.append(
            asyncio.create_task(
                harness.call(
                    cut_off,
                    request_id=request_id,
                    path="/status/x",
                    body=b"ask",
                    deadline_ms=4000,
                )
            )
        )
    await asyncio.sleep(CUT_S)
    if harness.has_trouble():
        for replica in replicas:
            replica.join()
    return await asyncio.gather(*calls)


def judge(
    platform: harness.Platform, answers: list[harness.CallerAnswer]
) -> int:
    """Checks what callers saw; returns the verdict."""
    broken = 0
    for answer in answers:
        platform.record.note(
            f"{answer.request_id} answered {answer.status},"
            f" {len(answer.body)} bytes, complete {answer.is_complete},"
            f" seal {answer.headers.get('x-replica-seal')}"
        )
        is_success = answer.status == 200 and answer.is_complete
        if is_success and answer.body != WHOLE_BODY:
            broken += 1
            platform.record.note(f"MIXED is broken by {answer.request_id}")
    log = platform.routers[0].log_path.read_text()
    tunnelled = log.count("attempt:tunnelled")
    platform.record.note(
        f"{broken} of {len(answers)} answers broke the rule;"
        f" {tunnelled} requests went through a peer"
    )
    if broken:
        return harness.BROKEN
    if harness.has_trouble() and not tunnelled:
        raise harness.CouldNotRunError("no request went through a peer")
    if any(answer.status == 0 for answer in answers):
        raise harness.CouldNotRunError("a request got no answer")
    return harness.PASSED


harness.run(main)
