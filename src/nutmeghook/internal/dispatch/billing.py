"""Prices of generations, from the fleet's catalogue of models."""

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine


def cost_micros(
    config: view_module.ConfigView,
    model_version: engine.ModelVersion,
    *,
    prompt_tokens: int,
    output_tokens: int,
) -> int:
    """Returns the price of a generation in millionths of a euro.

    A model that was removed from the catalogue while its request ran costs
    nothing, since its price is no longer known.
    """
    for model in config.snapshot.fleet.models:
        if model.name == model_version.model:
            return (
                model.prompt_token_cost_micros * prompt_tokens
                + model.output_token_cost_micros * output_tokens
            )
    return 0
