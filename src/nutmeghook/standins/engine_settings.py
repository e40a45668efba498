"""What a model engine stand-in is like, and what is wrong with it."""

import msgspec

from nutmeghook.internal.dependencies import engine


class EngineSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """An engine's speed, limits and faults; may be changed at any time.

    Attributes:
        capacity: Generations that the batch holds.
        queue_limit: Generations that may wait beside it.
        step_ms: Time of a step that gives one generation a token each.
        slowdown_per_generation: What each further generation in the batch
            adds to a step, relative to `step_ms`.
        prompt_token_ms: Time for one prompt token that is not cached.
        slow_factor: Multiplies all times.
        tokens_per_step: Tokens that a step gives to each generation.
        mean_answer_tokens: Answers have half to one and a half of it.
        cache_capacity_tokens: What the prefix cache holds.
        cache_event_lag_ms: Age at which cache events are published.
        cache_event_loss_percent: Share of cache events never published.
        cache_events_kept: Events that can still be asked for.
        report_lag_ms: Age of the load figures.
        sends_load_along: The last chunk carries the load figures.
        keep_attempt_ms: How long tokens are kept once nobody reads them; a
            running attempt is cancelled then.
        honours_fencing: Orders with an older fencing token are refused.
        secret: If not empty, orders must show it.
        needs_ticket: Loading needs a ticket of the weight store.
        load_ms: Time to load a version, if the weights' size isn't known.
        download_bytes_per_ms: Else, how fast they are loaded.
        leaving: It says so in its reports.
        refuses_work: New generations are refused (not run).
        bad_versions: Their answers carry the bad sign.
        cut_next_streams: So many streams break after `cut_after_tokens`.
        crossed_next_streams: So many streams carry a chunk of another
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
    """Sets the fields that a JSON object names.

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
