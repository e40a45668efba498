"""Puts the way of a request to a replica and back together."""

from collections.abc import Callable
import dataclasses
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import attempts
from nutmeghook.internal.relay import crash_detector
from nutmeghook.internal.relay import current_routes
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import home_regions
from nutmeghook.internal.relay import model_choice
from nutmeghook.internal.relay import model_selector
from nutmeghook.internal.relay import observations
from nutmeghook.internal.relay import replica_search
from nutmeghook.internal.relay import request_relay
from nutmeghook.internal.relay import retry_permission
from nutmeghook.internal.relay import streams
from nutmeghook.internal.relay import whole_answers
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import choice
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.upstream import pool as pool_module
from nutmeghook.internal.upstream import sender as sender_module
from nutmeghook.internal.version_plans import view


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Surroundings:
    """What a request's way rests on.

    Attributes:
        data_centre: Where this instance runs.
        region_of: Returns a data centre's region; None if it is not known.
    """

    configuration: in_force_module.ConfigurationInForce
    directory: directory_module.ReplicaDirectory
    gate: send_gate.SendGate
    versions: view.VersionView
    budgets: window_budget.WindowRetryBudgets
    suspects: registry_module.SuspectRegistry
    pool: pool_module.ConnectionPool
    data_centre: str
    region_of: Callable[[str], str | None]
    wire_format: wire.WireFormat
    metrics: metrics_module.Metrics
    clock: clock_module.Clock
    random_source: random.Random


def build(around: Surroundings) -> request_relay.RequestRelay:
    """Returns the way of requests, with all that decides on it."""
    times = generation_times.GenerationTimes()
    chooser = choice.ReplicaChooser(
        directory=around.directory,
        gate=around.gate,
        data_centre=around.data_centre,
        clock=around.clock,
    )
    search = replica_search.ReplicaSearch(
        chooser=chooser,
        versions=around.versions,
        times=times,
        homes=home_regions.HomeRegions(region_of=around.region_of),
    )
    routes = current_routes.CurrentRoutes(configuration=around.configuration)
    crashes = crash_detector.CrashDetector(
        registry=around.suspects, pool=around.pool, metrics=around.metrics
    )
    permission = retry_permission.RetryPermission(
        routes=routes,
        search=search,
        budgets=around.budgets,
        crashes=crashes,
        clock=around.clock,
        random_source=around.random_source,
    )
    parts = {
        "planner": attempts.AttemptPlanner(
            configuration=around.configuration,
            routes=routes,
            permission=permission,
            crashes=crashes,
            search=search,
            gate=around.gate,
            versions=around.versions,
            budgets=around.budgets,
            wire_format=around.wire_format,
            clock=around.clock,
        ),
        "permission": permission,
        "crashes": crashes,
        "observer": observations.AnswerObserver(
            chooser=chooser,
            versions=around.versions,
            times=times,
            metrics=around.metrics,
            clock=around.clock,
        ),
        "sender": sender_module.Sender(
            pool=around.pool,
            directory=around.directory,
            gate=around.gate,
            wire_format=around.wire_format,
            clock=around.clock,
        ),
        "wire_format": around.wire_format,
        "clock": around.clock,
    }
    return request_relay.RequestRelay(
        configuration=around.configuration,
        stream_relay=streams.StreamRelay(
            selector=model_selector.ModelSelector(
                choice=model_choice.ExpectedUtility(),
                search=search,
                times=times,
                configuration=around.configuration,
                directory=around.directory,
                clock=around.clock,
            ),
            **parts,
        ),
        whole_answer_relay=whole_answers.WholeAnswerRelay(**parts),
        wire_format=around.wire_format,
        metrics=around.metrics,
        clock=around.clock,
    )
