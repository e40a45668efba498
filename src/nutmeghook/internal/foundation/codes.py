"""Numbered result codes: the outcome of a request, and whether work ran.

The table in docs/RESULT_CODES.md is checked against this module.
"""

import enum


class RunState(enum.Enum):
    """Whether the request's work ran on a backend server."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(enum.Enum):
    """One outcome of a request or an administration call.

    Numbers are stable: a withdrawn code's number is never used again.
    """

    # number, HTTP status, state, meaning
    OK = (1000, 200, RunState.RAN, "The whole answer was given.")

    BAD_JSON = (2000, 400, RunState.NOT_RUN, "The body is not valid JSON.")
    BAD_FIELD = (2001, 400, RunState.NOT_RUN, "A field is missing or wrong.")
    TOO_LARGE = (2002, 413, RunState.NOT_RUN, "The body is too large.")
    BAD_TOKEN = (2003, 401, RunState.NOT_RUN, "The bearer token is unknown.")
    UNKNOWN_TEMPLATE = (
        2004,
        404,
        RunState.NOT_RUN,
        "The team has no template of this name.",
    )
    NOT_ALLOWED = (
        2005,
        403,
        RunState.NOT_RUN,
        "The team may not use this model, version or operation.",
    )
    BAD_HEADER = (2006, 400, RunState.NOT_RUN, "A header's value is wrong.")
    SLOW_SENDER = (
        2007,
        408,
        RunState.NOT_RUN,
        "The request's body did not arrive in time.",
    )
    KEY_REUSED = (
        2008,
        422,
        RunState.NOT_RUN,
        "The idempotency key was used before with another body.",
    )
    NOT_FOUND = (2009, 404, RunState.NOT_RUN, "There is no such resource.")

    OVERLOADED = (3000, 429, RunState.NOT_RUN, "Too much work is waiting.")
    OVER_BUDGET = (
        3001,
        429,
        RunState.NOT_RUN,
        "The team's token or cost budget is spent.",
    )
    NO_CANDIDATE = (
        3002,
        503,
        RunState.NOT_RUN,
        "No allowed version has a backend server that can take work.",
    )
    DRAINING = (3003, 503, RunState.NOT_RUN, "This instance is leaving.")
    STORE_OUT = (
        3004,
        503,
        RunState.NOT_RUN,
        "The platform's store is out and this work needs it first.",
    )
    STALE_CONFIG = (
        3005,
        503,
        RunState.NOT_RUN,
        "The configuration is too old for the template or the session.",
    )
    DEADLINE_BEFORE_RUN = (
        3006,
        504,
        RunState.NOT_RUN,
        "The deadline passed before the request was sent to run.",
    )
    ALREADY_RUNNING = (
        3007,
        409,
        RunState.NOT_RUN,
        "The same idempotency key is running now; this copy was not run.",
    )

    QUARANTINED = (
        3008,
        503,
        RunState.NOT_RUN,
        "Backend servers ended under copies of this request.",
    )
    NO_ROOM = (
        3009,
        503,
        RunState.NOT_RUN,
        "All places are taken, and the team asks for more than its share.",
    )

    BACKEND_FAILED = (
        4000,
        502,
        RunState.UNKNOWN,
        "The backend server failed after it was sent the request.",
    )
    DEADLINE_DURING_RUN = (
        4001,
        504,
        RunState.UNKNOWN,
        "The deadline passed while the request was running.",
    )
    FIRST_TRY_UNKNOWN = (
        4002,
        409,
        RunState.UNKNOWN,
        "An earlier request with this key was sent; its outcome is unknown.",
    )
    BILL_UNSETTLED = (
        4003,
        503,
        RunState.RAN,
        "The work ran, but its bill could not be recorded in time.",
    )
    BACKEND_REFUSED = (
        4004,
        503,
        RunState.NOT_RUN,
        "Each backend server tried refused before running.",
    )
    ANSWER_NOT_KEPT = (
        4005,
        409,
        RunState.RAN,
        "This key's request ran and was billed; its answer is not kept.",
    )
    SERVICE_ERROR = (
        4006,
        502,
        RunState.RAN,
        "The plain service ran the call and answered with an error.",
    )

    CALLER_GONE = (
        4007,
        499,
        RunState.UNKNOWN,
        "The caller closed its connection before the answer's end.",
    )

    CALLER_NOT_READING = (
        4008,
        499,
        RunState.UNKNOWN,
        "The caller did not read its answer, and its connection was closed.",
    )

    CONFLICT = (
        5000,
        409,
        RunState.NOT_RUN,
        "Another change was accepted first; it is shown.",
    )
    INVALID_TEMPLATE = (
        5001,
        422,
        RunState.NOT_RUN,
        "The template would not be valid; every fault is listed.",
    )
    OUTCOME_UNKNOWN = (
        5002,
        503,
        RunState.UNKNOWN,
        "The change's outcome is not settled yet; ask by operation id.",
    )
    OPERATION_REUSED = (
        5003,
        422,
        RunState.NOT_RUN,
        "The operation id was used before for another change.",
    )
    ABANDONED = (
        5004,
        409,
        RunState.NOT_RUN,
        "The operation was abandoned; it will never take effect.",
    )

    INTERNAL = (9000, 500, RunState.UNKNOWN, "A fault of nutmeghook itself.")

    def __init__(
        self, number: int, http_status: int, run_state: RunState, meaning: str
    ):
        self.number = number
        self.http_status = http_status
        self.run_state = run_state
        self.meaning = meaning
