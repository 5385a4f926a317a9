"""Items that cannot be sent to other boxes: they must not keep the others from being sent."""

import asyncio
from typing import Any

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold_messages.fleet import Box, Engine
from seamhold_messages.work import Holding
from seamhold_peers import DigestReader, NameTable, PeerClient, PeerServer, codec
from seamhold_peers.calls import FleetLists
from seamhold_peers.client import PEER_ERRORS
from seamhold_peers.codec import CasesPage, UnreadablePart
from seamhold_quarantine import Case
from seamhold_settings import Candidate

HOST = '127.0.0.1'
HALF_PAIR = '\ud83d'
TOO_LARGE = 2**80
LISTS = FleetLists(
    [Engine('i-1', 'app', 'a:1'), Engine('i-2', HALF_PAIR, 'a:1'), Engine('i-3', 'app', 'a:1')],
    [Box('b-1', 'a:1'), Box('b-2', 'a:1', HALF_PAIR)],
    engines_version=3,
)
CASES = (Case('c-1', 1, 'kitchen'), Case('c-2', TOO_LARGE, 'kitchen'))
HOLDINGS = (Holding(7, 'i-1'), Holding(7, HALF_PAIR))
DEEP: list = []
for _ in range(2000):
    DEEP = [DEEP]
OBJECTS = [Candidate('tree', 7, 'e', {'a': 1}), Candidate('deep', 7, 'e', {'deep': DEEP})]


class PeerWithUnencodableItems:
    """A peer whose lists, cases, holdings and settings each have an item without an encoding."""

    async def newer_settings(self, revisions: dict[str, int]) -> list[Candidate]:
        return OBJECTS

    async def lists(self, holdings: bool) -> FleetLists:
        return LISTS

    async def learned(self) -> tuple:
        return HOLDINGS

    async def cases(self) -> CasesPage:
        return CasesPage(CASES, complete=True)


class TestUnencodableItems(testtools.TestCase):
    def pull(self, call) -> Any:
        return asyncio.run(self._pull(call))

    async def _pull(self, call) -> Any:
        peer: Any = PeerWithUnencodableItems()
        self.left_out: list[object] = []
        server = PeerServer(peer, self.left_out.extend)
        await server.start(HOST, 0)
        listener: Any = server._server._server
        client = PeerClient(f'{HOST}:{listener.sockets[0].getsockname()[1]}')
        try:
            return await call(client)
        finally:
            client.close()
            await server.stop()

    def test_a_list_is_sent_without_the_entries_that_have_no_encoding(self):
        lists = self.pull(lambda client: client.pull_lists())
        self.assertEqual(['i-1', 'i-3'], [engine.name for engine in lists.engines])
        self.assertEqual((['b-1'], 3), ([box.name for box in lists.boxes], lists.engines_version))
        self.assertEqual([LISTS.engines[1], LISTS.boxes[1]], self.left_out)

    def test_cases_are_sent_without_those_that_have_no_encoding(self):
        page = self.pull(lambda client: client.pull_cases())
        self.assertEqual(((CASES[0],), True), (page.cases, page.complete))

    def test_holdings_are_sent_without_those_that_have_no_encoding(self):
        self.assertEqual(HOLDINGS[:1], self.pull(lambda client: client.pull_learned()))

    def test_settings_are_sent_without_objects_that_have_no_encoding(self):
        self.assertEqual(OBJECTS[:1], self.pull(lambda client: client.pull_settings({})))
        self.assertEqual(OBJECTS[1:], self.left_out)

    def test_a_case_without_an_encoding_that_is_sent_alone_is_a_typed_error(self):
        async def send(client: PeerClient) -> bool:
            try:
                await client.send_cases(CASES[1:])
            except PEER_ERRORS:
                return True
            return False

        self.assertTrue(self.pull(send))


class TestUnreadableMessages(testtools.TestCase):
    """Whatever a peer sends, decoders raise no error but their own."""

    TYPES = (codec.PackedLists, codec.CasesPage, codec.SettingsPage, codec.EndReportsReply)

    @given(st.binary(max_size=60) | st.integers(1, 3000).map(lambda levels: b'\x91' * levels))
    def test_any_message_is_decoded_or_a_typed_error(self, data):
        for kind in self.TYPES:
            try:
                codec.MessageCodec().decode(data, kind)
            except UnreadablePart:
                continue

    @given(st.binary(max_size=60) | st.integers(1, 1400).map(lambda levels: b'\x91' * levels))
    def test_any_datagram_is_a_digest_or_dropped(self, data):
        digest = DigestReader(NameTable()).read(data)
        self.assertTrue(digest is None or digest.box is not None)

    def test_a_digest_with_nested_unknown_fields_is_dropped(self):
        fields = [b'\x01'] * 40
        fields[30] = b'\x91' * 1300 + b'\x01'
        self.assertIsNone(DigestReader(NameTable()).read(b'\xdc\x00\x28' + b''.join(fields)))

    @given(st.binary(max_size=40) | st.sampled_from([b'[', b'[]', b'"x"', b'[' * 5000, b'nan']))
    def test_any_settings_object_is_decoded_or_a_typed_error(self, spec):
        packed = codec.encode_candidate(OBJECTS[0]).spec_packed
        for data in (spec, codec.zlib.compress(spec), packed[:-1]):
            part = codec.SettingsObjectPart('tree', 1, 'e', data, False, ())
            try:
                self.assertIsInstance(codec.decode_candidate(part).spec, dict)
            except UnreadablePart:
                continue
