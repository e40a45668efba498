"""Builds the relay of requests to replicas."""

from collections.abc import Callable
import random

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import standstill as standstill_module
from nutmeghook.internal.limits import team_shares
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.observe import unreadable_values
from nutmeghook.internal.relay import admission
from nutmeghook.internal.relay import attempts
from nutmeghook.internal.relay import completion as completion_module
from nutmeghook.internal.relay import crash_detector
from nutmeghook.internal.relay import current_routes
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import home_regions
from nutmeghook.internal.relay import model_choice
from nutmeghook.internal.relay import model_selector
from nutmeghook.internal.relay import observations
from nutmeghook.internal.relay import planned_stop
from nutmeghook.internal.relay import replica_search
from nutmeghook.internal.relay import request_relay
from nutmeghook.internal.relay import retry_permission
from nutmeghook.internal.relay import streams
from nutmeghook.internal.relay import whole_answers
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import choice
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.replicas import signal_registry
from nutmeghook.internal.replicas import speed_registry
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.upstream import cold_watch
from nutmeghook.internal.upstream import liveness
from nutmeghook.internal.upstream import pool as pool_module
from nutmeghook.internal.upstream import sender as sender_module
from nutmeghook.internal.version_plans import view


class RelayDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """The components that the relay uses.

    Attributes:
        data_centre: Where this instance runs.
        region_of: Returns a data centre's region, or None if it is unknown.
        is_list_stale: Tells whether nothing proves that the list of replicas is
            the newest.
    """

    configuration: in_force_module.ConfigurationInForce
    directory: directory_module.ReplicaDirectory
    gate: send_gate.SendGate
    signals: signal_registry.SignalRegistry
    speeds: speed_registry.SpeedRegistry
    versions: view.VersionView
    budgets: window_budget.WindowRetryBudgets
    team_shares: team_shares.TeamShares
    suspects: registry_module.SuspectRegistry
    standstills: standstill_module.StandstillMonitor
    stop: planned_stop.PlannedStop
    pool: pool_module.ConnectionPool
    data_centre: str
    region_of: Callable[[str], str | None]
    wire_format: wire.WireFormat
    metrics: metrics_module.Metrics
    clock: clock_module.Clock
    random_source: random.Random
    is_list_stale: Callable[[], bool] = lambda: False


def build(dependencies: RelayDependencies) -> request_relay.RequestRelay:
    """Returns the relay with all its parts."""
    times = generation_times.GenerationTimes()
    unreadable = unreadable_values.UnreadableValues(
        metrics=dependencies.metrics, clock=dependencies.clock
    )
    chooser = choice.ReplicaChooser(
        directory=dependencies.directory,
        gate=dependencies.gate,
        data_centre=dependencies.data_centre,
        clock=dependencies.clock,
    )
    search = replica_search.ReplicaSearch(
        chooser=chooser,
        versions=dependencies.versions,
        times=times,
        homes=home_regions.HomeRegions(region_of=dependencies.region_of),
    )
    completion = completion_module.CompletionForecast(
        times=times,
        directory=dependencies.directory,
        clock=dependencies.clock,
    )
    routes = current_routes.CurrentRoutes(
        configuration=dependencies.configuration
    )
    crashes = crash_detector.CrashDetector(
        registry=dependencies.suspects,
        probes=liveness.LivenessProbes(
            pool=dependencies.pool,
            configuration=dependencies.configuration,
            wire_format=dependencies.wire_format,
            metrics=dependencies.metrics,
            clock=dependencies.clock,
        ),
        standstills=dependencies.standstills,
        metrics=dependencies.metrics,
        clock=dependencies.clock,
    )
    permission = retry_permission.RetryPermission(
        routes=routes,
        search=search,
        completion=completion,
        budgets=dependencies.budgets,
        crashes=crashes,
        clock=dependencies.clock,
        random_source=dependencies.random_source,
    )
    parts = {
        "planner": attempts.AttemptPlanner(
            configuration=dependencies.configuration,
            routes=routes,
            permission=permission,
            admission=admission.TeamAdmission(
                configuration=dependencies.configuration,
                directory=dependencies.directory,
                search=search,
                shares=dependencies.team_shares,
                metrics=dependencies.metrics,
                clock=dependencies.clock,
            ),
            crashes=crashes,
            search=search,
            completion=completion,
            stop=dependencies.stop,
            gate=dependencies.gate,
            versions=dependencies.versions,
            budgets=dependencies.budgets,
            wire_format=dependencies.wire_format,
            metrics=dependencies.metrics,
            clock=dependencies.clock,
        ),
        "permission": permission,
        "completion": completion,
        "crashes": crashes,
        "observer": observations.AnswerObserver(
            chooser=chooser,
            versions=dependencies.versions,
            times=times,
            speeds=dependencies.speeds,
            metrics=dependencies.metrics,
            clock=dependencies.clock,
        ),
        "sender": sender_module.Sender(
            pool=dependencies.pool,
            directory=dependencies.directory,
            gate=dependencies.gate,
            signals=dependencies.signals,
            unreadable=unreadable,
            cold_watch=cold_watch.ColdWatch(
                is_list_stale=dependencies.is_list_stale,
                configuration=dependencies.configuration,
                directory=dependencies.directory,
                pool=dependencies.pool,
                wire_format=dependencies.wire_format,
                clock=dependencies.clock,
            ),
            wire_format=dependencies.wire_format,
            clock=dependencies.clock,
        ),
        "wire_format": dependencies.wire_format,
        "clock": dependencies.clock,
    }
    return request_relay.RequestRelay(
        configuration=dependencies.configuration,
        stream_relay=streams.StreamRelay(
            selector=model_selector.ModelSelector(
                choice=model_choice.ExpectedUtility(),
                search=search,
                times=times,
                completion=completion,
                configuration=dependencies.configuration,
                directory=dependencies.directory,
                clock=dependencies.clock,
            ),
            **parts,
        ),
        whole_answer_relay=whole_answers.WholeAnswerRelay(**parts),
        stop=dependencies.stop,
        unreadable=unreadable,
        wire_format=dependencies.wire_format,
        metrics=dependencies.metrics,
        clock=dependencies.clock,
    )
