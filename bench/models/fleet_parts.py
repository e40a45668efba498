"""Constants, shapes and samples shared by the fleet model and its routers."""

import dataclasses

from bench.models import replicas
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.membership import members as members_module

VERSION = engine.ModelVersion(model="inspection", version="3")
REPORT_DELAY_S = 1.0
NETWORK_DELAY_S = 0.002


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Shape:
    """A fleet and its traffic.

    Attributes:
        bursts: Traffic alternates between 1.6 times its mean, for 3 s on
            average, and 0.7 times, for 6 s; otherwise it is Poisson at one
            rate.
        reports_stop_s: Time from which no more reports are sent.
    """

    routers: int
    replicas: int
    capacity: int
    bursts: bool
    load_share: float = 0.8
    warm_up_s: float = 60.0
    duration_s: float = 240.0
    reports_stop_s: float = float("inf")


def report_of(replica: replicas.Replica) -> engine.LoadReport:
    """Returns a replica's current load report."""
    return engine.LoadReport(
        loaded=(VERSION,),
        running=replica.running,
        waiting=replica.waiting,
        capacity=replica.capacity,
    )


def address_of(number: int) -> str:
    """Returns a replica's address."""
    return f"10.1.{number // 250}.{number % 250}:8000"


def inner_address_of(number: int) -> str:
    """Returns a router's address."""
    return f"10.0.{number // 250}.{number % 250}:7000"


def listed(number: int) -> instances.ListedInstance:
    """Returns a replica's row of the instance list."""
    return instances.ListedInstance(
        address=address_of(number),
        role=instances.InstanceRole.MODEL_ENGINE,
        state=instances.InstanceState.LIVE,
        region="r",
        data_centre="r-1",
        service="engines",
    )


def member(number: int) -> members_module.Member:
    """Returns a router as a member."""
    return members_module.Member(
        inner_address=inner_address_of(number),
        incarnation=str(number),
        region="r",
        data_centre="r-1",
    )
