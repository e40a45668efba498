"""Metrics of a simulated fleet under load."""

import collections

from bench.models import busy_fleet
from bench.models import load_scenarios

# Requests sent just before the end are answered after it, so the tokens served
# in a window are compared with those requested slightly earlier.
ANSWER_LAG_S = 5.0
_WARM_UP_S = load_scenarios.WARM_UP_S
_BROWN_OUT = load_scenarios.BROWN_OUT


def goodput_share(result: busy_fleet.Result) -> float:
    """Returns tokens answered in time divided by the engines' capacity."""
    end_s = result.scenario.duration_s
    tokens = sum(
        request.tokens
        for request in result.caller_requests
        if request.answered_s is not None and request.answered_s >= _WARM_UP_S
    )
    possible = result.scenario.capacity_tokens_per_s * (end_s - _WARM_UP_S)
    return tokens / possible


def high_priority_late_share(result: busy_fleet.Result) -> float:
    """Returns the share of reviews not answered in time at first."""
    last_s = result.scenario.duration_s - busy_fleet.REVIEW.deadline_s
    first_requests = [
        request
        for request in result.caller_requests
        if request.kind is busy_fleet.REVIEW
        and not request.caller_retries
        and _WARM_UP_S <= request.sent_s <= last_s
    ]
    return sum(request.answered_s is None for request in first_requests) / len(
        first_requests
    )


def small_team_shares(result: busy_fleet.Result) -> list[float]:
    """Returns each small team's served tokens divided by its fair share.

    The divisor is what the team requested, if that is less.
    """
    end_s = result.scenario.duration_s
    fair = result.scenario.capacity_tokens_per_s / 10 * (end_s - _WARM_UP_S)
    offered: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for request in result.caller_requests:
        expected_answer_s = request.sent_s + ANSWER_LAG_S
        if (
            not request.caller_retries
            and _WARM_UP_S <= expected_answer_s <= end_s
        ):
            offered[request.team] += request.tokens
        if request.answered_s is not None and request.answered_s >= _WARM_UP_S:
            served[request.team] += request.tokens
    return [
        served[team] / min(fair, offered[team])
        for team in sorted(offered)
        if team != "large"
    ]


def amplification(result: busy_fleet.Result) -> float:
    """Returns attempts per admitted request in the brown-out."""
    window = (_BROWN_OUT.from_s, _BROWN_OUT.until_s)
    return _count(result.attempts_s, window) / _count(
        result.first_attempts_s, window
    )


def attempts_per_caller_request(result: busy_fleet.Result) -> float:
    """Returns attempts per caller's request in the brown-out.

    Callers' retries are not in the divisor: this is what one request costs
    the engines with all retries.
    """
    window = (_BROWN_OUT.from_s, _BROWN_OUT.until_s)
    sent_s = [
        request.sent_s
        for request in result.caller_requests
        if not request.caller_retries
    ]
    return _count(result.attempts_s, window) / _count(sent_s, window)


def _count(times_s: list[float], window: tuple[float, float]) -> int:
    return sum(window[0] <= time_s <= window[1] for time_s in times_s)


def recovery_s(result: busy_fleet.Result) -> float:
    """Returns how long after the brown-out answers are in time again.

    From then on, at least 95% of the requests sent in each five seconds are
    answered.
    """
    bucket_s = 5.0
    sent: collections.Counter[int] = collections.Counter()
    answered: collections.Counter[int] = collections.Counter()
    last_s = result.scenario.duration_s - busy_fleet.REVIEW.deadline_s
    for request in result.caller_requests:
        bucket = int((request.sent_s - _BROWN_OUT.until_s) // bucket_s)
        if bucket >= 0 and request.sent_s < last_s:
            sent[bucket] += 1
            answered[bucket] += request.answered_s is not None
    bad = [b for b in sent if answered[b] < 0.95 * sent[b]]
    return bucket_s * (max(bad) + 1) if bad else 0.0


def refusal_wait_p99_ms(result: busy_fleet.Result) -> float:
    """Returns the 99th percentile of the time until a refusal."""
    waits = sorted(
        request.refusal_wait_s
        for request in result.caller_requests
        if request.refused
    )
    return waits[int(0.99 * (len(waits) - 1))] * 1000 if waits else 0.0
