"""A lease as its user sees it: held or not, and with which token."""

import abc


class Lease(abc.ABC):
    """A named right that at most one instance may use at a time.

    The holder can be paused and wake after its lease has lapsed. So users
    ask `fencing_token` just before each act, and send the token along to
    whoever can check it: the table service by a condition on the lease's row,
    engines by the order's own field.
    """

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The lease's name, for example `rollouts`."""

    @abc.abstractmethod
    def fencing_token(self) -> int | None:
        """Returns the token while the lease surely holds, else None."""

    @property
    @abc.abstractmethod
    def row_key(self) -> str:
        """The key of the lease's row, for conditions."""

    @abc.abstractmethod
    def row_version(self) -> int:
        """The row's version to name in a condition; valid while held.

        A commit with this condition fails once another instance holds the
        lease. Renewals change it; take it just before building a commit.
        """
