"""The interface of a lease for its users: whether it is held, its token."""

import abc


class Lease(abc.ABC):
    """A named lease that at most one instance holds at a time.

    A holder can be paused and resume after its lease has expired. So users
    call `fencing_token` just before each action and pass the token to what can
    check it: the table service by a condition on the lease's row, engines by a
    field of the order.
    """

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The lease's name, for example `rollouts`."""

    @abc.abstractmethod
    def fencing_token(self) -> int | None:
        """Returns the token while the lease is certainly held, else None."""

    @property
    @abc.abstractmethod
    def row_key(self) -> str:
        """The key of the lease's row, for conditions."""

    @abc.abstractmethod
    def row_version(self) -> int:
        """The row's version for a condition; valid while held.

        A commit with this condition fails once another instance holds the
        lease. Renewals change it, so read it just before building a commit.
        """
