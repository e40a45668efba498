"""Adds a flag with help to a command for each setting in `specs`."""

from collections.abc import Callable
import functools
import inspect

import fire

from nutmeghook.internal.settings import specs

_INDENT = " " * 12


def with_setting_flags(
    command: Callable[..., None],
) -> Callable[..., None]:
    """Replaces `**flags` by one parameter for each setting.

    fire builds flags and help from a function's signature and docstring. They
    are generated, as 25 parameters written by hand would be a second list of
    settings and could differ from `specs`. Values stay text: fire would turn
    `1,2` into a tuple and `0x1` into a number. The docstring's line on
    `**flags` is replaced by one line for each setting.
    """
    own = [
        parameter
        for parameter in inspect.signature(command).parameters.values()
        if parameter.kind is not inspect.Parameter.VAR_KEYWORD
    ]
    generated = [
        inspect.Parameter(
            spec.name, inspect.Parameter.KEYWORD_ONLY, default=None
        )
        for spec in specs.SERVE_SPECS
    ]
    lines = [
        f"{_INDENT}{spec.name}: {spec.meaning} ({spec.kind.value})"
        for spec in specs.SERVE_SPECS
    ]

    @functools.wraps(command)
    def wrapper(*args: object, **flags: object) -> None:
        command(*args, **flags)

    del wrapper.__wrapped__
    wrapper.__signature__ = inspect.Signature([*own, *generated])
    wrapper.__doc__ = (command.__doc__ or "").replace(
        f"{_INDENT}**flags: One flag a setting.", "\n".join(lines)
    )
    return fire.decorators.SetParseFn(str)(wrapper)
