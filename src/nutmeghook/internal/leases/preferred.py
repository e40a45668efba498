"""Builds the lease of a task that one instance does for the fleet."""

import random

from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import keeper
from nutmeghook.internal.leases import preference
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module


def preferred_keeper(
    name: str,
    *,
    members: members_module.MemberView,
    table: table_module.TableService,
    clock: clock_module.Clock,
    events: events_module.EventRing,
    random_source: random.Random,
) -> keeper.LeaseKeeper:
    """Returns the keeper of a lease whose holder is chosen by rendezvous hash.

    A dead holder's lease is not taken over before it expires, because its
    actions (orders to engines, for example) are not always conditional on the
    lease's row.
    """
    return keeper.LeaseKeeper(
        name=name,
        incarnation=members.myself.incarnation,
        inner_address=members.myself.inner_address,
        table=table,
        clock=clock,
        rng=random_source,
        events=events,
        rank=lambda: preference.rank_of_myself(name, members),
    )
