"""A replica's revision never falls, whatever updates arrive in which order."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.config import edits
from nutmeghook.internal.config import replica as replica_module
from nutmeghook.internal.config import rows
from nutmeghook.internal.config import state
from nutmeghook.internal.foundation import clock
from nutmeghook.internal.observe import events
from tests import config_fleet

LENGTH = 12


def log() -> tuple[list[rows.Change], list[state.ConfigState]]:
    """Returns a log of changes, and the state at each revision."""
    changes = []
    states = [state.EMPTY_STATE]
    for revision in range(1, LENGTH + 1):
        template = config_fleet.template(
            name=f"template-{revision % 3}", priority=revision % 9
        )
        change = rows.Change(
            revision=revision,
            operation_id=f"operation-{revision}",
            author=config_fleet.OPERATOR,
            reason="test",
            accepted_at=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
            bases=(),
            replacement=edits.Replacement(templates=(template,)),
        )
        changes.append(change)
        states.append(states[-1].with_change(change))
    return changes, states


CHANGES, STATES = log()
revisions = strategies.integers(0, LENGTH)
updates = strategies.one_of(
    revisions.map(lambda n: STATES[n]),
    strategies.tuples(revisions, revisions).map(
        lambda ends: CHANGES[min(ends) : max(ends)]
    ),
)


class ReplicaTest(unittest.TestCase):
    @hypothesis.given(strategies.lists(updates, max_size=20))
    def test_never_goes_back_and_holds_what_was_accepted(self, deliveries):
        fake = clock.FakeClock()
        replica = replica_module.ConfigReplica(
            clock=fake, events=events.EventRing(clock=fake)
        )
        highest = 0
        for delivery in deliveries:
            if isinstance(delivery, list):
                replica.apply_changes(delivery)
            else:
                replica.apply_state(delivery)
            self.assertGreaterEqual(replica.revision, highest)
            highest = replica.revision
            self.assertEqual(replica.state, STATES[highest])
            for after in range(highest):
                kept = replica.recent_changes_after(after)
                if kept is not None:
                    self.assertEqual(kept, CHANGES[after:highest])
