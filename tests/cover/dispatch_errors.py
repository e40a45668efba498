"""Errors of connections to an engine, for tests."""

from nutmeghook.internal.dependencies import failures


def refused() -> Exception:
    """Returns the error of a connection that was never made."""
    return failures.NotDoneError("connection refused")


def lost() -> Exception:
    """Returns the error of a connection that broke after the send."""
    return failures.OutcomeUnknownError("connection reset")
