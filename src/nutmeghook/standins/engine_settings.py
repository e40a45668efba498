"""Performance, limits and faults of a model engine stand-in."""

import msgspec

from nutmeghook.internal.dependencies import engine


class EngineSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """An engine's speed, limits and faults; may be changed at any time.

    Attributes:
        capacity: Maximum number of generations in the batch.
        queue_limit: Maximum number of queued generations.
        step_ms: Duration of a step with one generation in the batch.
        slowdown_per_generation: Increase of the step by each further
            generation in the batch, relative to `step_ms`.
        prompt_token_ms: Prefill time of one prompt token that is not cached.
        slow_factor: Multiplies all times.
        tokens_per_step: Tokens that each generation gains in a step.
        mean_answer_tokens: Answers are half to one and a half times as long.
        cache_capacity_tokens: Capacity of the prefix cache.
        cache_event_lag_ms: Age at which cache events are published.
        cache_event_loss_percent: Share of cache events never published.
        cache_events_kept: Number of latest events that can be read.
        report_lag_ms: Age of the load reports.
        sends_load_along: The last chunk carries a load report.
        keep_attempt_ms: How long an attempt without a reader is kept; if it
            still runs then, it is cancelled.
        honours_fencing: Orders with an older fencing token are refused.
        secret: If not empty, orders must contain it.
        needs_ticket: Loading needs a ticket of the weight store.
        load_ms: Time to load a version if the weights' size is unknown.
        download_bytes_per_ms: Loading speed if the size is known.
        leaving: Reports and refusals state that the engine is leaving.
        refuses_work: New generations are refused without running.
        bad_versions: Versions whose answers are marked with
            `answers.BAD_SUFFIX`.
        cut_next_streams: Number of streams to break after
            `cut_after_tokens`.
        crossed_next_streams: Number of streams that get a chunk of another
            attempt before their own second chunk.
    """

    capacity: int = 16
    queue_limit: int = 64
    step_ms: float = 20.0
    slowdown_per_generation: float = 0.05
    prompt_token_ms: float = 0.2
    slow_factor: float = 1.0
    tokens_per_step: int = 1
    mean_answer_tokens: int = 24
    cache_capacity_tokens: int = 20_000
    cache_event_lag_ms: float = 500.0
    cache_event_loss_percent: float = 0.0
    cache_events_kept: int = 1000
    report_lag_ms: float = 500.0
    sends_load_along: bool = True
    keep_attempt_ms: float = 10_000.0
    honours_fencing: bool = True
    secret: str = ""
    needs_ticket: bool = False
    load_ms: float = 2_000.0
    download_bytes_per_ms: float = 50_000_000.0
    leaving: bool = False
    refuses_work: bool = False
    bad_versions: tuple[engine.ModelVersion, ...] = ()
    cut_next_streams: int = 0
    cut_after_tokens: int = 3
    crossed_next_streams: int = 0


def update(settings: EngineSettings, change: bytes) -> None:
    """Sets the fields that are present in a JSON object.

    Raises:
        msgspec.ValidationError: A field is unknown or of the wrong type;
            nothing was set.
    """
    current = msgspec.to_builtins(settings)
    wanted = msgspec.json.decode(change, type=dict[str, msgspec.Raw])
    given = {name: msgspec.json.decode(raw) for name, raw in wanted.items()}
    checked = msgspec.convert({**current, **given}, EngineSettings)
    for name in given:
        setattr(settings, name, getattr(checked, name))
