"""Adds the cost of an ended attempt to its request."""

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dispatch import attempts as attempts_module
from nutmeghook.internal.dispatch import billing
from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.dispatch import stage_calls


def record(
    config: view_module.ConfigView,
    call: stage_calls.StageCall,
    attempt: attempts_module.Attempt,
    *,
    ran: bool,
) -> None:
    """Counts an attempt once, however often it was resumed."""
    progress = call.progress
    if not ran:
        progress.attempt_not_run()
        return
    last = attempt.last
    prompt_tokens = (
        last.prompt_tokens if last else call.request.prompt_tokens_estimate
    )
    version = attempt.generation.model_version
    progress.used_tokens += prompt_tokens + attempt.next_token
    progress.spent_micros += billing.cost_micros(
        config,
        version,
        prompt_tokens=prompt_tokens,
        output_tokens=attempt.next_token,
    )
    delivered = progress.delivered
    if progress.relayed and (
        delivered is None or delivered.output_tokens < attempt.next_token
    ):
        progress.delivered = progress_module.Delivered(
            model_version=version,
            prompt_tokens=prompt_tokens,
            output_tokens=attempt.next_token,
        )
