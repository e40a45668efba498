"""Builds the configuration components of an instance."""

import dataclasses
import datetime
import random as random_module

from nutmeghook.internal.config import acceptance
from nutmeghook.internal.config import distribution
from nutmeghook.internal.config import exchange as exchange_module
from nutmeghook.internal.config import in_force
from nutmeghook.internal.config import replica as replica_module
from nutmeghook.internal.config import store as store_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ConfigParts:
    """The configuration components of one instance.

    Attributes:
        replica: The `ConfigView` that the rest of the instance reads.
        distributor: Its `run` must be a task for the life of the process.
    """

    store: store_module.ConfigStore
    replica: replica_module.ConfigReplica
    accepter: acceptance.Accepter
    distributor: distribution.ConfigDistributor
    inquiry: in_force.InForceInquiry


def build(
    *,
    table: table_module.TableService,
    members: members_module.MemberView,
    caller: peers.PeerCaller,
    handlers: peers.PeerHandlers,
    clock: clock_module.Clock,
    events: events_module.EventRing,
    random: random_module.Random,
    store_timeout: datetime.timedelta = datetime.timedelta(seconds=2),
) -> ConfigParts:
    """Returns the components, with their peer handlers registered."""
    store = store_module.ConfigStore(
        table=table, clock=clock, call_timeout=store_timeout
    )
    replica = replica_module.ConfigReplica(clock=clock, events=events)
    exchange = exchange_module.ConfigExchange(
        replica=replica, caller=caller, handlers=handlers, clock=clock
    )
    return ConfigParts(
        store=store,
        replica=replica,
        accepter=acceptance.Accepter(
            store=store,
            replica=replica,
            clock=clock,
            events=events,
            random=random,
        ),
        distributor=distribution.ConfigDistributor(
            store=store,
            replica=replica,
            exchange=exchange,
            members=members,
            clock=clock,
            events=events,
            random=random,
        ),
        inquiry=in_force.InForceInquiry(
            replica=replica, exchange=exchange, members=members, clock=clock
        ),
    )
