"""Answers of the product's own protocol that the box that holds the ticket passes on to another."""

import asyncio
from functools import partial
from types import SimpleNamespace
from typing import Any

import testtools

from seamhold.call_handler import CallHandler
from seamhold.metrics import Metrics
from seamhold.peer_calls import PeerCalls
from seamhold_messages.errors import AnswerCut, TicketUnreachable
from seamhold_peers import AnswerEnd, AnswerHead, PeerClient, PeerServer, RelayedCall

HOST = '127.0.0.1'
CALL = RelayedCall('c-1', 'w', 't', 'POST', '/x', (), b'', 2.0)
BEGINNING = (AnswerHead(200, ()), b'ha', b'lf')


class Holder:
    """A box that holds a ticket, whose answer has these parts and then just ends."""

    def __init__(self, *parts):
        self._parts = parts

    async def relayed(self, _: RelayedCall):
        for part in self._parts:
            if isinstance(part, BaseException):
                raise part
            yield part


class TestEndsOfRelayedAnswers(testtools.TestCase):
    def body_of(self, *parts) -> list[bytes]:
        """Return the body that a caller of another box gets."""
        return asyncio.run(self._relay(Holder(*parts)))

    async def _relay(self, holder: Any) -> list[bytes]:
        loop = asyncio.get_running_loop()
        submit = partial(asyncio.run_coroutine_threadsafe, loop=loop)
        peering: Any = SimpleNamespace(loop=loop, submit=submit)
        unused: Any = None
        calls = PeerCalls('box-1', peering, unused, Metrics())
        server = PeerServer(holder)
        await server.start(HOST, 0)
        listener: Any = server._server._server
        client = PeerClient(f'{HOST}:{listener.sockets[0].getsockname()[1]}')
        try:
            parts = calls._pump(client, CALL)
            return await asyncio.to_thread(list, CallHandler._relayed_body(parts))
        finally:
            client.close()
            await server.stop()

    def test_an_answer_with_its_end_is_whole(self):
        self.assertEqual([b'ha', b'lf'], self.body_of(*BEGINNING, AnswerEnd()))

    def test_an_answer_that_just_ends_is_not_whole(self):
        self.assertRaises(TicketUnreachable, self.body_of, *BEGINNING)

    def test_an_answer_whose_box_fails_is_not_whole(self):
        self.assertRaises(TicketUnreachable, self.body_of, *BEGINNING, RuntimeError())

    def test_an_answer_that_is_cancelled_at_its_box_is_not_whole(self):
        self.assertRaises(TicketUnreachable, self.body_of, *BEGINNING, asyncio.CancelledError())

    def test_an_answer_that_was_cut_is_not_whole(self):
        self.assertRaises(AnswerCut, self.body_of, *BEGINNING, AnswerEnd(AnswerCut('cut')))
