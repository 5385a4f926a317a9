"""Connections between boxes that went silent without a reset, while new ones work."""

import asyncio
import gc
import random
import time
from typing import Any

import testtools

from seamhold.decider import Decider
from seamhold.metrics import Metrics
from seamhold.peer_pulls import PeerPulls
from seamhold.settings_task import SettingsTask
from seamhold_membership import Digest
from seamhold_messages.errors import TicketUnreachable
from seamhold_peers import PeerClient, PeerServer
from seamhold_peers.calls import AnswerEnd, AnswerHead, FleetLists, RelayedCall
from seamhold_peers.codec import CasesPage, EndReportsReply
from seamhold_routing import Router
from seamhold_settings import Candidate
from standins.proxy import FaultProxy, Mode, ProxyLoop

HOST = '127.0.0.1'
PEERS = 5
#: Half of the time within which an accepted configuration is in force everywhere.
IN_FORCE_SECONDS = 1.0
#: A call whose caller waits for the reply gets 0.15 s.
REPORT_SECONDS = 0.15
DIGEST_SECONDS = 0.1
#: Longer than until a call is sent again, and shorter than until it is sent a third time.
OPENING_SECONDS = 0.3
#: A call has been sent after so long, and is not yet sent again.
SENT_SECONDS = 0.05
#: A connection that went silent is found within this time, as a backend server's is.
DETECTION_SECONDS = 3.5
RELAYED_SECONDS = 8.0
TREE = Candidate('tree', 7, 'edit-7', {'fleet': {}})
LISTS = FleetLists([], [], engines_version=3)


class AnsweringPeer:
    """A peer that answers every call at once."""

    def __init__(self):
        self.reports = 0

    async def newer_settings(self, revisions: dict[str, int]) -> list[Candidate]:
        return [TREE] if revisions.get('tree', 0) < TREE.revision else []

    async def lists(self, holdings: bool) -> FleetLists:
        return LISTS

    async def learned(self) -> tuple:
        return ()

    async def cases(self) -> CasesPage:
        return CasesPage((), complete=True)

    async def receive_cases(self, cases: tuple) -> None:
        self.reports += 1

    async def relayed(self, call: RelayedCall):
        yield AnswerHead(200, ())
        yield b'first'
        await asyncio.sleep(RELAYED_SECONDS)
        yield AnswerEnd()

    async def engine_ended(self, report) -> EndReportsReply:
        return EndReportsReply(1)


class SilentConnectionsTestCase(testtools.TestCase):
    """A box with clients of several peers, whose open connections go silent."""

    def setUp(self):
        super().setUp()
        self.proxies = ProxyLoop()
        self.addCleanup(self.proxies.stop)
        self.peers = PEERS
        self.background: list[asyncio.Task] = []
        self.start_box()

    def start_box(self) -> None:
        self.settings_task = SettingsTask(Metrics(), lambda tree: None)
        self.settings_task.start()
        self.addCleanup(self.settings_task.stop)
        self.decider = Decider(Router('box-0', 'a'), time.monotonic)
        self.pulls = PeerPulls(
            self.decider, self.settings_task, Metrics(), random.Random(1), lambda: True
        )

    def run_with_peers(self, scenario, unreachable: int = 0) -> None:
        """Run `scenario(clients)`, whose connections were used once and then went silent.

        New connections to the first `unreachable` peers are silent, too.
        """
        asyncio.run(self._run_with_peers(scenario, unreachable))

    async def _run_with_peers(self, scenario, unreachable: int) -> None:
        peer: Any = AnsweringPeer()
        servers = [PeerServer(peer) for _ in range(self.peers)]
        self.links: list[FaultProxy] = []
        links = self.links
        clients = {}
        for number, server in enumerate(servers):
            await server.start(HOST, 0)
            listener: Any = server._server._server
            port = listener.sockets[0].getsockname()[1]
            link = await asyncio.to_thread(
                FaultProxy, f'{HOST}:{port}', self.proxies.loop, random.Random(1)
            )
            links.append(link)
            clients[f'box-{number + 1}'] = PeerClient(link.address)
        try:
            for client in clients.values():
                await client.pull_learned()
            for link in links:
                self.assertEqual(1, await asyncio.to_thread(link.silence_open))
            for link in links[:unreachable]:
                link.set_mode(Mode.SILENCE)
            await scenario(clients)
        finally:
            for client in clients.values():
                client.close()
            for server in servers:
                await server.stop()


class TestSilentPeerConnections(SilentConnectionsTestCase):
    def test_a_change_is_pulled_in_time_while_all_connections_to_peers_are_silent(self):
        self.run_with_peers(self.pull_change)

    def test_a_change_is_pulled_from_another_peer_while_some_cannot_be_reached(self):
        self.run_with_peers(self.pull_change, unreachable=PEERS - 1)

    async def pull_change(self, clients) -> None:
        """Receive digests that announce a change until it is in force."""
        digests = [Digest(box, 'a', settings_total=TREE.revision) for box in clients]
        async with asyncio.timeout(IN_FORCE_SECONDS):
            while self.settings_task.snapshot.total < TREE.revision:
                for digest in digests:
                    client = clients[digest.box]
                    self.background.append(
                        asyncio.create_task(self.pulls.pull_newer_settings(digest.box, client))
                    )
                await asyncio.sleep(DIGEST_SECONDS)

    def test_lists_are_pulled_in_time_while_all_connections_to_peers_are_silent(self):
        async def scenario(clients):
            async with asyncio.timeout(IN_FORCE_SECONDS):
                await self.pulls.pull_lists_from_any(clients)
            self.assertEqual(LISTS.engines_version, self.decider.engines.version)

        self.run_with_peers(scenario)

    def test_a_change_is_pulled_in_time_in_fleets_of_any_size(self):
        for peers in (1, 2, 99):
            self.peers = peers
            self.start_box()
            self.run_with_peers(self.pull_change)

    def test_a_call_whose_first_connection_goes_silent_is_answered_on_another(self):
        async def scenario(clients):
            client = clients['box-1']
            client.close()
            await self.call_while_opened_connections_go_silent(client.pull_lists)

        self.run_with_peers(scenario)

    def test_a_call_whose_second_connection_goes_silent_too_is_answered_on_a_third(self):
        async def scenario(clients):
            await self.call_while_opened_connections_go_silent(clients['box-1'].pull_cases)

        self.run_with_peers(scenario)

    async def call_while_opened_connections_go_silent(self, pull) -> None:
        """Silence for good what is opened to the first peer in the first third of a second."""
        link = self.links[0]
        link.set_mode(Mode.SILENCE)
        async with asyncio.timeout(IN_FORCE_SECONDS):
            call = asyncio.create_task(pull())
            await asyncio.sleep(OPENING_SECONDS)
            await asyncio.to_thread(link.silence_open)
            link.set_mode(Mode.PASS)
            await call

    def test_cases_are_pulled_in_time_while_a_connection_is_silent(self):
        async def scenario(clients):
            async with asyncio.timeout(IN_FORCE_SECONDS):
                self.assertTrue(await self.pulls.try_pull_cases(clients['box-1']))

        self.run_with_peers(scenario)

    def test_a_report_that_a_caller_waits_for_gets_its_reply_on_a_new_connection(self):
        async def scenario(clients):
            async with asyncio.timeout(REPORT_SECONDS):
                await clients['box-1'].send_cases(())

        self.run_with_peers(scenario)

    def test_a_relayed_answer_on_a_connection_that_goes_silent_fails_within_seconds(self):
        async def scenario(clients):
            call = RelayedCall('1', 'w', 't', 'POST', '/', (), b'', RELAYED_SECONDS)
            client = clients['box-1']
            client.close()
            parts = client.relay(call)
            await anext(parts)
            await anext(parts)
            started_at = time.monotonic()
            await asyncio.to_thread(self.links[0].silence_open)
            with testtools.ExpectedException(TicketUnreachable):
                await anext(parts)
            self.assertLess(time.monotonic() - started_at, DETECTION_SECONDS)

        self.run_with_peers(scenario)

    def test_an_idle_connection_sends_nothing(self):
        async def scenario(clients):
            client = clients['box-2']
            await client.pull_lists()
            channel = client._connection._channel
            sent_before = channel._protocol.connection.last_ping_sent
            await asyncio.sleep(1.5)
            self.assertEqual(sent_before, channel._protocol.connection.last_ping_sent)

        self.run_with_peers(scenario)

    def test_a_peer_that_answered_on_a_new_connection_is_called_there_from_then_on(self):
        async def scenario(clients):
            client = clients['box-1']
            await client.pull_lists()
            started_at = time.monotonic()
            await client.pull_lists()
            self.assertLess(time.monotonic() - started_at, REPORT_SECONDS)

        self.run_with_peers(scenario)

    def test_a_call_that_is_cancelled_as_its_connection_closes_reports_no_error(self):
        async def scenario(clients):
            reported = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, error: reported.append(error)
            )
            client = clients['box-1']
            call = asyncio.create_task(client.pull_lists())
            await asyncio.sleep(SENT_SECONDS)
            call.cancel()
            client.close()
            await asyncio.wait([call])
            del call
            await asyncio.sleep(SENT_SECONDS)
            gc.collect()
            self.assertEqual([], reported)

        self.run_with_peers(scenario)
