"""Replicas that send answers twice, in some seeds of a soak.

Callers that are turned away come again at once with the same id, so that the
copy of a refusal meets the request that was refused.
"""

import asyncio
from collections.abc import Iterator
import dataclasses
import random

from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_trial
from nutmeghook.experiment import trial_routers
from nutmeghook.standins import users_replica

_PART_OF_SEEDS = 0.5
BODY = b"prompt that is turned away at times"
_PER_S = 12.0
_REFUSED = 0.5
_COPIED = 0.7
# Of the answers to other requests.
_COPIED_OF_OTHERS = 0.1
_LATE = 0.3
_LATE_BY_S = (0.005, 0.1)
_RUN_S = 0.03
_REFUSED_STATUS = 503
_LOST_STATUSES = (0, 502, 504)
# How often a caller comes again.
_TRIES = 6


class Copies:
    """Chooses which answers are sent twice, and turns requests away."""

    __slots__ = ("_draw",)

    def __init__(self, *, draw: random.Random):
        self._draw = draw

    def reply(
        self,
        request: users_replica.ReceivedRequest,
        reply: users_replica.Reply,
    ) -> users_replica.Reply:
        """Returns a reply, perhaps with a copy."""
        copied = _COPIED_OF_OTHERS
        if request.body == BODY:
            copied = _COPIED
            reply = users_replica.Reply(pause_s=_RUN_S)
            if self._draw.random() < _REFUSED:
                reply = users_replica.Reply(
                    status=_REFUSED_STATUS, not_run=True
                )
        if self._draw.random() >= copied or not _is_whole(reply):
            return reply
        delay_s = None
        if self._draw.random() < _LATE:
            delay_s = self._draw.uniform(*_LATE_BY_S)
        return dataclasses.replace(reply, late_copy=True, copy_delay_s=delay_s)


def _is_whole(reply: users_replica.Reply) -> bool:
    return not reply.events and reply.framed and reply.send_bytes is None


def is_drawn(draw: random.Random) -> bool:
    """Returns whether a seed has copies."""
    return draw.random() < _PART_OF_SEEDS


async def play(
    trial: soak_trial.SoakTrial, draw: random.Random, *, seconds: float
) -> None:
    """Sends requests that may run once and are turned away at times."""
    copies = Copies(draw=random.Random(draw.getrandbits(64)))
    trial.change_reply = copies.reply
    end_s = asyncio.get_running_loop().time() + seconds
    async with asyncio.TaskGroup() as tasks:
        while asyncio.get_running_loop().time() < end_s:
            router = draw.choice(trial.routers)
            tasks.create_task(_call_until_served(trial, router))
            await asyncio.sleep(draw.expovariate(_PER_S))


async def _call_until_served(
    trial: soak_trial.SoakTrial, router: trial_routers.RouterProcess
) -> None:
    """Sends a request, and once more with its id whenever it is refused.

    One call is recorded: that it was refused means nothing any more once it has
    been sent again, but that it ran does.
    """
    first = last = await trial.call("once", router=router, body=BODY)
    for _ in range(_TRIES - 1):
        if last.status != _REFUSED_STATUS:
            break
        trial.calls.remove(last)
        last = await trial.call(
            "once", router=router, body=BODY, request_id=first.request_id
        )
    trial.calls.remove(last)
    trial.calls.append(dataclasses.replace(last, sent_s=first.sent_s))


def violations(history: soak_checks.History) -> Iterator[str]:
    """Yields a violation for each answer that a copy has cost.

    Replicas break off none of these answers themselves, unless they fall over,
    and routers none unless they are cut off.
    """
    for call in history.calls:
        if call.sent_body != BODY or call.status not in _LOST_STATUSES:
            continue
        spans = [
            *(
                one
                for one in history.cuts
                if call.router.partition("#")[0] in one.routers
            ),
            *history.brittle,
        ]
        is_excused = any(
            one.from_s <= call.ended_s
            and call.sent_s <= one.to_s + soak_checks.UNDISTURBED_S
            for one in spans
        )
        if not is_excused and history.is_undisturbed(
            call.router, call.sent_s, call.ended_s
        ):
            yield f"{call.request_id} ended with {call.status} beside copies"
