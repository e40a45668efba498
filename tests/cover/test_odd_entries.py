"""Rows and messages of other writers, with odd contents."""

import asyncio
import datetime
import random
import unittest

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.inner import tcp_client
from nutmeghook.internal.inner import traffic
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.suspects import rows as quarantine_rows
from nutmeghook.internal.table_replication import registration
from nutmeghook.internal.version_plans import evidence
from nutmeghook.internal.version_plans import plan
from nutmeghook.platform import configuration
from nutmeghook.platform import replicas
from nutmeghook.platform import rollout_rows
from nutmeghook.platform import store_messages
from nutmeghook.standins import memory_table
from tests import configuration_rows
from tests import fake_peers
from tests import platform_rows

DEEP = b'{"more":' + b"[" * 200_000
ODD_NUMBERS = (b"1e300", b"-1e300", b"1e999", b"9" * 40, b"-1", b"[]", b"null")
ODD_BYTES = (b"", b"\xff\xfe", b"[]", b"7", DEEP, DEEP + b"]" * 200_000 + b"}")
_SECOND = datetime.timedelta(seconds=1)
# A readable value of each kind of row, and a number in it.
ROWS = {
    "configuration": (
        configuration.decode,
        configuration_rows.configuration(routes=1),
        (b'"timeoutMs":', b'"version":'),
    ),
    "order": (
        lambda value: rollout_rows.decode_order(value, 7),
        b'{"service":"pool","to":"v2","withinS":10}',
        (b'"withinS":',),
    ),
    "replica": (
        lambda value: replicas.decode("id-1", value),
        platform_rows.replica_row(service="pool", address="10.0.0.1:80"),
        (b'"slots":', b'"coldLeftMs":', b'"sequence":'),
    ),
    "plan": (
        plan.decode,
        b'{"order_id":1,"service":"pool","version":"v2","started_ms":5,'
        b'"within_s":10}',
        (b'"order_id":', b'"started_ms":', b'"within_s":'),
    ),
    "evidence": (
        evidence.decode,
        b'{"order_id":1,"routes":{"r":{"good":1,"bad":2}},"paces":{}}',
        (b'"good":', b'"bad":'),
    ),
}


def with_number(value: bytes, name: bytes, number: bytes) -> bytes:
    """Returns a row with another number behind a name."""
    head, _, tail = value.replace(b": ", b":").partition(name)
    end = min(i for i in map(tail.find, (b",", b"}")) if i >= 0)
    return head + name + number + tail[end:]


class OddRowsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.table = memory_table.MemoryTable(clock=self.clock)

    async def put(self, key: str, value: bytes) -> None:
        put = table.Put(key=key, value=value)
        await self.table.commit(table.Transaction(puts=(put,)))

    def test_an_odd_row_raises_one_error(self):
        """A RecursionError or OverflowError ended all instances."""
        for kind, (decode, value, numbers) in ROWS.items():
            decode(value)
            odd = [*ODD_BYTES, value[:-1] + b"," + DEEP[1:]]
            odd += [
                with_number(value, name, number)
                for name in numbers
                for number in ODD_NUMBERS
            ]
            for row in odd:
                with self.subTest(kind=kind, row=row[:200]):
                    try:
                        decode(row)
                    except ValueError:
                        continue
                    self.assertNotIn(row, ODD_BYTES)

    def test_texts_that_would_end_a_header_are_rejected(self):
        """They are written into headers of requests to the replica."""
        row = platform_rows.replica_row(service="pool", address="10.0.0.1:80")
        for text in (b"v\\r\\nX-Other: 1", b"v\\n", b"\\u0000"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                replicas.decode("id-1", row.replace(b'"v1"', b'"%s"' % text))
        with self.assertRaises(ValueError):
            replicas.decode("id\r\nX-Other: 1", row)

    def test_an_odd_answer_of_the_store_is_a_failed_call(self):
        """A follower that met another exception ended its instance."""
        for body in (*ODD_BYTES, b'{"nowMs":1e300}', b'{"rowVersion":-1}'):
            with self.subTest(body=body[:40]):
                answer = store_messages.Answer(status=200, body=body, epoch=0)
                with self.assertRaises(failures.PlatformError):
                    store_messages.decode(answer)
        body = b'{"rows":[{"key":"a","value":"*"},{"key":"b","value":"Yg=="}]}'
        rows = store_messages.followed_rows(
            store_messages.decode(
                store_messages.Answer(status=200, body=body, epoch=0)
            )
        )
        self.assertEqual([row.value for row in rows], [b"", b"b"])

    async def test_odd_peers_are_left_out_of_a_registration(self):
        """Gossip to an address without a port ended the instance."""
        for number, value in enumerate(
            (
                *ODD_BYTES,
                b'{"inner_address":"10.0.0.1:99999"}',
                b'{"inner_address":"10.0.0.1"}',
                b'{"inner_address":"nowhere:1"}',
            )
        ):
            await self.put(f"instances/at/odd-{number}", value)
        await self.put("instances/at/b", b'{"inner_address":"10.0.0.2:7"}')
        found = await self.registry().register()
        self.assertEqual(list(found.peers), ["b"])

    async def test_an_odd_credential_still_lets_all_instances_in(self):
        for value in (b"", b"\xff" * 30, b"x" * 100_000):
            await self.put("instances/credential", value)
            first = await self.registry().register()
            second = await self.registry("c").register()
            self.assertEqual(first.credential, second.credential)
            datagrams.Seal(credential=first.credential)

    def registry(self, name: str = "a") -> registration.InstanceRegistry:
        return registration.InstanceRegistry(
            table=self.table,
            instance_id=name,
            inner_address="10.0.0.1:7",
            data_centre="here",
        )

    async def test_odd_quarantines_are_dropped(self):
        """Times and hashes out of range ended instances at their start."""
        row = b'{"replica_hashes":[1,2,3],"ended_ms":%d,"probes":1}' % (
            self.clock.now().timestamp() * 1000
        )
        odd = [
            with_number(row, name, number)
            for name in (b'"ended_ms":', b'"probes":')
            for number in ODD_NUMBERS
        ]
        odd += [*ODD_BYTES, row.replace(b"[1,", b"[4294967296,")]
        for number, value in enumerate(odd):
            await self.put(f"quarantine/{number:032x}", value)
        await self.put("quarantine/" + "ab" * 500, row)
        await self.put("quarantine/" + "ab" * 16, row)
        registry = registry_module.SuspectRegistry(clock=self.clock)
        await quarantine_rows.QuarantineRows(
            registry=registry,
            table=self.table,
            clock=self.clock,
            random_source=random.Random(1),
        ).read()
        self.assertEqual(
            [s.identity for s in registry.quarantined()], [b"\xab" * 16]
        )


class OddMessagesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_message_that_a_handler_can_not_use_is_dropped(self):
        """The transport closes its socket on an exception of its receiver."""
        receivers = {}
        sockets = fake_peers.FakeDatagrams(receivers=receivers, dropped=set())
        messages = sealed_messages.SealedMessages(
            datagrams=sockets.bind("a"), seal=datagrams.Seal(credential="c")
        )
        received = []

        def handle(message: ttypes.ConfigurationNews) -> None:
            received.append(message.version + 1)

        messages.register(ttypes.ConfigurationNews, handle)
        messages.send(["a"], ttypes.ConfigurationNews())
        messages.send(["a"], ttypes.ConfigurationNews(version=4))
        self.assertEqual(received, [5])

    async def test_an_address_that_is_none_fails_like_a_peer_out_of_reach(self):
        caller = tcp_client.TcpPeerCaller(
            clock=clock_module.SystemClock(),
            credential="c",
            traffic=traffic.Traffic(),
            random=random.Random(1),
        )
        socket = datagrams.UdpDatagrams()
        for address in ("", "10.0.0.1", "10.0.0.1:99999", "nowhere:1", "::"):
            with (
                self.subTest(address=address),
                self.assertRaises(peers.PeerUnreachableError),
            ):
                await caller.call(address, ttypes.TablePull(), timeout=_SECOND)
            socket.send(address, b"datagram")
        await asyncio.sleep(0)
