"""One connection to a replica, packet by packet, without a network."""

import asyncio
import errno
import unittest
from unittest import mock

from nutmeghook.internal.upstream import answer_match
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import outcomes

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nhalf"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.socket = mock.Mock()
        self.socket.getsockopt.return_value = 0
        # None that the system knows, so nothing is unacknowledged.
        self.socket.fileno.return_value = -1
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.transport.get_extra_info.return_value = self.socket
        self.connection = connection_module.ReplicaConnection(
            loop=asyncio.get_running_loop()
        )
        self.connection.connection_made(self.transport)

    async def answer(
        self, data: bytes, *, request_id: str = ""
    ) -> connection_module.AnswerHead:
        """Sends a request, delivers an answer and returns its head."""
        expected = answer_match.ExpectedAnswer(
            request_id=request_id,
            read_id=lambda headers: dict(headers).get("Id"),
        )
        sending = asyncio.ensure_future(
            self.connection.exchange(REQUEST, has_body=True, expected=expected)
        )
        await asyncio.sleep(0)
        self.connection.data_received(data)
        return await sending

    async def test_a_reset_that_is_reported_as_an_end_is_still_a_reset(self):
        """Half an answer without length and a reset arrive together. The event
        loop reads the half and reports an end of file; only the socket still
        has the error. The half must not count as the whole answer.
        """
        head = await self.answer(WITHOUT_LENGTH)
        self.socket.getsockopt.return_value = errno.ECONNRESET
        self.connection.eof_received()
        self.connection.connection_lost(None)
        self.assertEqual(await head.read(), b"half")
        with self.assertRaises(outcomes.UnknownOutcomeError):
            await head.read()

    async def test_a_plain_end_completes_a_body_without_length(self):
        head = await self.answer(WITHOUT_LENGTH)
        self.connection.eof_received()
        self.connection.connection_lost(None)
        self.assertEqual(await head.read(), b"half")
        self.assertEqual(await head.read(), b"")

    async def test_a_connection_dropped_here_completes_no_body(self):
        """The event loop reports no error for a connection that this process
        aborts. Half an answer without length was taken for the whole.
        """
        head = await self.answer(WITHOUT_LENGTH)
        self.connection.connection_lost(None)
        self.assertEqual(await head.read(), b"half")
        with self.assertRaises(outcomes.UnknownOutcomeError):
            await head.read()

    async def test_an_end_before_the_request_was_taken_completes_no_body(self):
        """A reset follows where the replica closes with the rest unread, which
        may not have arrived yet.
        """
        head = await self.answer(WITHOUT_LENGTH)
        self.transport.get_write_buffer_size.return_value = 100
        self.connection.eof_received()
        self.connection.connection_lost(None)
        self.assertEqual(await head.read(), b"half")
        with self.assertRaises(outcomes.UnknownOutcomeError):
            await head.read()

    async def test_bytes_on_an_idle_connection_end_it(self):
        """A late answer arrives while the connection is idle in the pool. If
        kept, it would be read as the answer to the next request.
        """
        head = await self.answer(WHOLE)
        self.assertEqual(await head.read(), b"whole")
        self.assertTrue(self.connection.finish_exchange())
        self.connection.data_received(WHOLE)
        self.transport.abort.assert_called()
        self.assertFalse(self.connection.reusable)

    async def test_a_second_answer_behind_the_first_ends_the_connection(self):
        """Both arrive in one packet, before the first is read."""
        head = await self.answer(WHOLE + WHOLE)
        self.assertEqual(await head.read(), b"whole")
        self.assertFalse(self.connection.finish_exchange())

    async def test_answers_to_others_without_end_are_no_answer(self):
        """Each is skipped, so they would be read until the deadline."""
        other = WHOLE.replace(b"Content", b"Id: other\r\nContent")
        sending = asyncio.ensure_future(
            self.answer(other * 100, request_id="request")
        )
        self.addCleanup(sending.cancel)
        for _ in range(4):
            await asyncio.sleep(0)
        self.transport.abort.assert_called()
        with self.assertRaises(outcomes.NoAnswerError):
            await sending

    async def test_a_connection_keeps_a_bounded_number_of_ids(self):
        """It is closed before the ids that it keeps take much memory."""
        for number in range(10_000):
            name = b"Id: %d\r\nContent" % number
            head = await self.answer(
                WHOLE.replace(b"Content", name), request_id=str(number)
            )
            await head.read()
            if not self.connection.finish_exchange():
                break
        self.assertLess(number, 200)
        self.transport.abort.assert_called()

    async def test_an_answer_before_the_request_s_end_closes_it(self):
        """A replica answers early and reads the rest of the body later. The
        next request on this connection would be read as that rest.
        """
        head = await self.answer(WHOLE)
        await head.read()
        self.transport.get_write_buffer_size.return_value = 100
        self.assertFalse(self.connection.finish_exchange())

    async def test_an_informational_answer_is_not_the_answer(self):
        head = await self.answer(b"HTTP/1.1 103 Early Hints\r\n\r\n" + WHOLE)
        self.assertEqual(head.status, 200)
        self.assertEqual(await head.read(), b"whole")

    async def test_what_is_not_http_ends_the_connection(self):
        with self.assertRaises(outcomes.UnknownOutcomeError):
            await self.answer(b"\x00\x01garbage\r\n\r\n")
        self.transport.abort.assert_called()


if __name__ == "__main__":
    unittest.main()
