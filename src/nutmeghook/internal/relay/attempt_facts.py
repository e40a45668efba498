"""Derives an attempt's service, model, affinity and urgency."""

import xxhash

from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.routes import model

_LOWEST_URGENCY = 9
# Added to the users' priorities (0 to 2) for models above the smallest.
_LARGER_MODELS_RANK = 3


def service_for(route: model.Route, job: job_module.Job) -> str:
    """Returns the service that the request goes to.

    The shares' weights and the request id decide. A service chosen before is
    kept while it has a share.
    """
    shares = [share for share in route.shares if share.weight > 0]
    if any(share.service == job.service for share in shares):
        return job.service
    shares = shares or list(route.shares)
    total = sum(share.weight for share in shares) or 1.0
    digest = xxhash.xxh64_intdigest(job.log_id.encode())
    point = digest / 2.0**64 * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service


def model_name(
    job: job_module.Job, model_index: int | None = None
) -> str | None:
    """Returns the model to name; None where the caller names it.

    Args:
        job: The request.
        model_index: Into its route's models; None for its present one.
    """
    if not job.route.models or not job.incoming.facts.any_model:
        return None
    index = job.model_index if model_index is None else model_index
    return job.route.models[index]


def other_models(job: job_module.Job) -> list[int]:
    """Returns the models that the router might choose instead."""
    if not job.route.models or not job.incoming.facts.any_model:
        return []
    return [
        index
        for index in range(len(job.route.models))
        if index != job.model_index
    ]


def affinity(job: job_module.Job, model_index: int | None = None) -> str | None:
    """Returns the affinity key of the request's prompt prefix.

    The last part belongs to the request or its session alone, so the one
    before it ends the longest prefix that others share.
    """
    prompt = job.incoming.facts.prompt
    if prompt is None or not prompt.parts:
        return None
    shared = prompt.parts[:-1] or prompt.parts
    return f"{model_name(job, model_index)}/{shared[-1].part_id}"


def shared_tokens(job: job_module.Job) -> int:
    """Returns the tokens of the prompt prefix that others share."""
    prompt = job.incoming.facts.prompt
    if prompt is None:
        return 0
    shared = sum(part.tokens for part in prompt.parts[:-1])
    return min(shared, prompt.input_tokens)


def uncached_tokens(job: job_module.Job, cached: float) -> float:
    """Returns the expected number of prompt tokens to prefill.

    Args:
        job: The request.
        cached: Probability that its prompt prefix is cached.
    """
    return job.input_tokens - cached * shared_tokens(job)


def is_urgent(job: job_module.Job, model_index: int | None = None) -> bool:
    """Tells whether a prompt is prefilled before those of larger models."""
    index = job.model_index if model_index is None else model_index
    return index == 0


def urgency(job: job_module.Job) -> int | None:
    """Returns a generation's rank in a replica's queue, 0 first.

    Short work goes first. A replica prefills prompts one after the other, and
    the largest model takes ten times as long as the smallest: behind a few of
    its prompts, requests of the smallest would wait for most of their target
    time. Put first, they delay the larger model's requests by a tenth of its
    work, and 0.91 instead of 0.88 of the utility comes in time with 73
    instances. Within either group the team's priority decides, or the route's.
    """
    if job.incoming.facts.prompt is None:
        return None
    rank = job.route.priority
    if job.team is not None and job.team.priority is not None:
        rank = job.team.priority
    if not is_urgent(job):
        rank += _LARGER_MODELS_RANK
    return max(0, min(_LOWEST_URGENCY, rank))
