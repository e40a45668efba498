"""Replica and callers of the slow callers' benchmark, in their own process.

`python -m bench._slow_peers_process CALLERS` prints the replica's address,
reads the relay's address from its input, sends the requests, and prints a line
once the replica has stopped writing. It ends with its input.
"""

import asyncio
import sys

import uvloop

from nutmeghook.internal.routes import model
from tests import slow_peers

_QUIET_S = 1.0
# The stand-in's accept queue has 100 places.
_PAUSE_S = 0.005
_MAX_WAIT_S = 60.0


async def _main(count: int) -> None:
    loop = asyncio.get_running_loop()
    replica = slow_peers.FloodingReplica(replica_id="replica-0")
    await replica.start()
    print(replica.address, flush=True)
    address = await loop.run_in_executor(None, sys.stdin.readline)
    callers = []
    for number in range(count):
        caller = slow_peers.SlowCaller(address=address.strip())
        await caller.ask(model.RouteKind.STREAM, request_id=str(number))
        callers.append(caller)
        await asyncio.sleep(_PAUSE_S)
    sent_bytes = -1
    end_s = loop.time() + _MAX_WAIT_S
    while sent_bytes != replica.sent_bytes and loop.time() < end_s:
        sent_bytes = replica.sent_bytes
        await asyncio.sleep(_QUIET_S)
    print(sent_bytes, flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    for caller in callers:
        caller.close()
    await replica.stop()


if __name__ == "__main__":
    uvloop.run(_main(int(sys.argv[1])))
