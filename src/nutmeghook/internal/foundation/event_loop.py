"""Runs a coroutine on uvloop, without io_uring."""

from collections.abc import Coroutine
import os
from typing import Any
from typing import TypeVar

import uvloop

_T = TypeVar("_T")

# Instances may not use io_uring. libuv sets up a ring in each event loop unless
# this variable is "0" when the loop is created. The libuv in uvloop 0.23
# ignores it, hence the upper bound on uvloop in pyproject.toml. A test looks
# for rings in a serving process.
_IO_URING_VARIABLE = "UV_USE_IO_URING"


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Runs `main` to its end and returns its result."""
    os.environ[_IO_URING_VARIABLE] = "0"
    return uvloop.run(main)
