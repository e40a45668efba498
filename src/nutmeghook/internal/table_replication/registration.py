"""Registers instances in the store: a row each and a shared credential."""

import datetime
import hashlib
import random
import secrets

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import stored_json
from nutmeghook.internal.inner import addresses
from nutmeghook.internal.inner import frames
from nutmeghook.internal.observe import logs
from nutmeghook.internal.table_replication import restored_rows

TABLE = "instances"
_ADDRESS_PREFIX = f"{TABLE}/at/"
_CREDENTIAL_KEY = f"{TABLE}/credential"
_CREDENTIAL_BYTES = 24
_FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=100)
# An instance whose store was ever restored admits nobody until it knows its
# peers, so that a store that is back is to be noticed soon.
_MAX_RETRY_DELAY = datetime.timedelta(milliseconds=500)


class _InstanceRow(msgspec.Struct, frozen=True, kw_only=True):
    """Where an instance is and listens for its peers."""

    inner_address: str
    # Rows of earlier releases have none.
    data_centre: str | None = None


_DECODER = msgspec.json.Decoder(_InstanceRow)


class RegisteredPeer(msgspec.Struct, frozen=True, kw_only=True):
    """A peer as its row describes it.

    Attributes:
        inner_address: Where it listens for its peers.
        data_centre: None if its row does not say.
    """

    inner_address: str
    data_centre: str | None = None


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """The result of registering.

    Attributes:
        credential: Shared by all instances that have registered.
        peers: The other instances, by id.
    """

    credential: str
    peers: dict[str, RegisteredPeer]


class InstanceRegistry(restored_rows.RestorableRows):
    """Writes this instance's row and reads the others'.

    The first instance inserts the credential if it is absent. An instance
    writes its row before it reads the others', so that of two that start
    together at least one sees the other and sends it a digest.
    """

    __slots__ = (
        "_credential",
        "_data_centre",
        "_inner_address",
        "_instance_id",
        "_table",
    )

    def __init__(
        self,
        *,
        table: table_module.TableService,
        instance_id: str,
        inner_address: str,
        data_centre: str,
    ):
        self._table = table
        self._instance_id = instance_id
        self._inner_address = inner_address
        self._data_centre = data_centre
        self._credential: str | None = None

    async def register(self) -> Registration:
        """Registers this instance.

        Raises:
            failures.PlatformError: The write failed or its outcome is unknown;
                it is safe to retry.
        """
        await self._write_address()
        rows = {
            row.key: row for row in await self._table.scan(prefix=f"{TABLE}/")
        }
        credential = rows.get(_CREDENTIAL_KEY)
        if credential is None:
            proposed = secrets.token_urlsafe(_CREDENTIAL_BYTES)
            self._credential = await self._stored_credential(proposed)
        else:
            self._credential = _credential_in(credential)
        return Registration(
            credential=self._credential, peers=self._peers(rows)
        )

    async def write_again(self) -> None:
        """Writes this instance's row, and the credential if it is missing.

        Raises:
            failures.PlatformError: The store failed.
        """
        if self._credential is None:
            return
        await self._write_address()
        stored = await self._stored_credential(self._credential)
        if stored != self._credential:
            logs.note("peer:credential_differs")

    async def _write_address(self) -> None:
        value = msgspec.json.encode(
            _InstanceRow(
                inner_address=self._inner_address,
                data_centre=self._data_centre,
            )
        )
        put = table_module.Put(
            key=_ADDRESS_PREFIX + self._instance_id, value=value
        )
        await self._table.commit(table_module.Transaction(puts=(put,)))

    async def _stored_credential(self, proposed: str) -> str:
        """Returns the stored credential: the proposed one if there was none."""
        result = await self._table.commit(
            table_module.Transaction(
                conditions=(
                    table_module.Condition(
                        key=_CREDENTIAL_KEY,
                        version=table_module.ABSENT_VERSION,
                    ),
                ),
                puts=(
                    table_module.Put(
                        key=_CREDENTIAL_KEY, value=proposed.encode()
                    ),
                ),
            )
        )
        if result.committed:
            return proposed
        row = await self._table.read(_CREDENTIAL_KEY)
        if row is None:
            raise failures.NotDoneError("the credential row is missing")
        return _credential_in(row)

    def _peers(
        self, rows: dict[str, table_module.Row]
    ) -> dict[str, RegisteredPeer]:
        peers = {}
        for key, row in rows.items():
            peer_id = key.removeprefix(_ADDRESS_PREFIX)
            if peer_id == key or peer_id == self._instance_id:
                continue
            try:
                found = stored_json.decode(row.value, _DECODER)
                addresses.split(found.inner_address)
            except ValueError as error:
                logs.note("peer:bad_row", key=key, error=str(error))
                continue
            peers[peer_id] = RegisteredPeer(
                inner_address=found.inner_address,
                data_centre=found.data_centre,
            )
        return peers


async def register_eventually(
    registry: InstanceRegistry,
    *,
    clock: clock_module.Clock,
    random_source: random.Random,
) -> Registration:
    """Registers an instance, in as many attempts as the store takes."""
    delay = _FIRST_RETRY_DELAY
    while True:
        try:
            return await registry.register()
        except failures.PlatformError as error:
            logs.note("peer:not_registered", error=str(error))
            await clock.sleep(delay * random_source.uniform(0.75, 1.25))
            delay = min(2 * delay, _MAX_RETRY_DELAY)


def _credential_in(row: table_module.Row) -> str:
    """Returns the credential of a row.

    A row that holds none, by another writer, still gives all instances the
    same one: without peers they would neither share limits nor hear of changes.
    """
    try:
        credential = row.value.decode()
        frames.check_credential(credential)
    except ValueError as error:
        logs.note("peer:bad_row", key=row.key, error=str(error))
        return hashlib.blake2b(
            row.value, digest_size=_CREDENTIAL_BYTES
        ).hexdigest()
    return credential
