"""The platform's object store, as this system needs it."""

import abc


class ObjectStore(abc.ABC):
    """Immutable blobs under string keys; independent of the table service.

    Every method may raise `failures.NotDoneError`; `put` and `delete` may
    also raise `failures.OutcomeUnknownError`.
    """

    @abc.abstractmethod
    async def put_if_absent(self, key: str, content: bytes) -> bool:
        """Stores the blob; returns False where the key exists already."""

    @abc.abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Returns the blob, or None where there is none."""

    @abc.abstractmethod
    async def list_keys(
        self, *, prefix: str, after: str = "", limit: int = 1000
    ) -> list[str]:
        """Returns the keys with the prefix greater than `after`, in order."""

    @abc.abstractmethod
    async def delete(self, key: str) -> None:
        """Removes the blob, if it is there."""
