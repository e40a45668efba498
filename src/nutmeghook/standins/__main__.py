"""Serves stand-ins until SIGTERM or SIGINT.

    python -m nutmeghook.standins --spec=fleet.json

Prints one JSON line (`fleet.FleetAddresses`) once all of them listen.
"""

import asyncio
import pathlib
import signal
import sys

import fire
import msgspec

from nutmeghook.internal.foundation import clock
from nutmeghook.internal.foundation import event_loop
from nutmeghook.standins import fleet

DEFAULT_SPEC = fleet.FleetSpec(
    table=fleet.StoreSpec(),
    objects=fleet.StoreSpec(),
    instances=fleet.InstancesSpec(),
    ratings=fleet.RatingsSpec(),
    weights=fleet.WeightsSpec(
        sizes_bytes={"small@1": 10**9, "small@2": 10**9, "large@1": 10**10}
    ),
    engines=(
        fleet.EngineSpec(name="engine-0", loaded=("small@1", "large@1")),
        fleet.EngineSpec(name="engine-1", loaded=("small@1", "large@1")),
    ),
    plain_services=(fleet.PlainSpec(name="registry-0", service="registry"),),
)


def serve(spec: str = "", print_spec: bool = False) -> None:
    """Serves stand-ins on the loopback interface.

    Args:
        spec: Path of a JSON file (`fleet.FleetSpec`), or `-` for standard
            input; by default, a small fleet with every kind of stand-in.
        print_spec: Prints the whole spec and exits.
    """
    chosen = _read_spec(spec)
    if print_spec:
        print(msgspec.json.encode(chosen).decode())
        return
    event_loop.run(_serve(chosen))


def _read_spec(spec: str) -> fleet.FleetSpec:
    if not spec:
        return DEFAULT_SPEC
    if spec == "-":
        content = sys.stdin.buffer.read()
    else:
        content = pathlib.Path(spec).read_bytes()
    return msgspec.json.decode(content, type=fleet.FleetSpec)


async def _serve(spec: fleet.FleetSpec) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    served = fleet.Fleet(clock=clock.SystemClock(), spec=spec)
    addresses = await served.start()
    print(msgspec.json.encode(addresses).decode(), flush=True)
    await stop.wait()
    await served.stop()


if __name__ == "__main__":
    fire.Fire(serve)
