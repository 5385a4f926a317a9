"""The soak's checks: each violated invariant is reported."""

import json
import socket
import subprocess
import sys
import time

import testtools

from soak.callers import CallRecord
from soak.faults import Fault
from soak.invariants import check, expected_text
from standins import fleet
from standins.proxy import FaultProxy, Mode, ProxyLoop


def record(**changes) -> CallRecord:
    """Return the record of a repeatable call with a complete answer, with `changes` applied."""
    values = {
        'mark': '1-0',
        'box': 'box-1',
        'at_most_once': False,
        'streamed': False,
        'tokens': 2,
        'started': 10.0,
        'ended': 11.0,
        'sent': True,
        'status': 200,
    } | changes
    call = CallRecord(**values)
    if call.status == 200 and not call.body:
        message = {'message': {'content': expected_text(call)}}
        call.body = json.dumps({'choices': [message]}).encode()
    return call


def broken_invariants(call: CallRecord, runs: int = 1, faults: tuple = ()) -> set[str]:
    """Return the invariants that a call violates when engines ran it `runs` times."""
    ran = [{'mark': call.mark, 'at': call.started, 'engine': 'engine-1'}] * runs
    return {violation.invariant for violation in check([call], ran, list(faults))}


class TestInvariants(testtools.TestCase):
    def test_a_good_call_violates_nothing(self):
        self.assertEqual(set(), broken_invariants(record()))

    def test_an_answer_to_another_call(self):
        other = record(mark='1-1').body
        self.assertEqual(
            {'an answer is complete and belongs to its call'}, broken_invariants(record(body=other))
        )

    def test_a_cut_stream_that_looks_complete(self):
        cut = record(streamed=True, body=b'data: {"id": 1}\n\n')
        self.assertEqual({'a truncated answer does not look complete'}, broken_invariants(cut))

    def test_reported_not_run_but_ran(self):
        body = json.dumps({'ran': 'no', 'code': 'box_full'}).encode()
        refused = record(status=503, body=body)
        self.assertEqual({'a call reported as not run did not run'}, broken_invariants(refused))
        self.assertEqual(set(), broken_invariants(refused, runs=0))

    def test_ran_twice(self):
        twice = {'a call that may not repeat runs at most once'}
        self.assertEqual(twice, broken_invariants(record(at_most_once=True), runs=2))
        self.assertEqual(set(), broken_invariants(record(), runs=2))

    def test_a_call_cut_by_its_box_is_excused_only_if_the_box_was_killed(self):
        cut = record(status=0, connection_error='RemoteDisconnected')
        self.assertEqual({'a call that ran gets an answer'}, broken_invariants(cut))
        killed = Fault('kill_box', 'box-1', 10.5, 12.0)
        self.assertEqual(set(), broken_invariants(cut, faults=(killed,)))
        stopped = Fault('stop_box', 'box-1', 10.5, 12.0)
        self.assertEqual(
            {'a call that ran gets an answer'}, broken_invariants(cut, faults=(stopped,))
        )

    def test_work_for_a_leaving_engine(self):
        leaves = Fault('engine_leaves', 'engine-1', 10.0, 20.0, detail='10.0')
        late = record(started=14.5, ended=15.0)
        self.assertEqual(
            {'a leaving engine gets no new work'}, broken_invariants(late, faults=(leaves,))
        )
        self.assertEqual(set(), broken_invariants(record(started=13.0), faults=(leaves,)))


class TestFaultProxy(testtools.TestCase):
    def setUp(self):
        super().setUp()
        loop = ProxyLoop()
        self.addCleanup(loop.stop)
        self.server = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.server.close)
        self.proxy = FaultProxy(f'127.0.0.1:{self.server.getsockname()[1]}', loop.loop, None)
        host, _, port = self.proxy.address.rpartition(':')
        self.client = socket.create_connection((host, int(port)), timeout=2)
        self.addCleanup(self.client.close)
        self.server_side, _ = self.server.accept()
        self.addCleanup(self.server_side.close)
        self.server_side.settimeout(2)

    def test_held_data_arrives_when_the_link_recovers(self):
        self.proxy.set_mode(Mode.CLIENT_HELD_BACK)
        time.sleep(0.1)
        self.client.sendall(b'up')
        self.server_side.sendall(b'down')
        self.assertEqual(b'down', self.client.recv(10))
        self.server_side.settimeout(0.2)
        self.assertRaises(TimeoutError, self.server_side.recv, 10)
        self.proxy.set_mode(Mode.PASS)
        self.server_side.settimeout(2)
        self.assertEqual(b'up', self.server_side.recv(10))

    def test_a_reset_closes_open_connections(self):
        self.proxy.set_mode(Mode.RESET)
        self.assertRaises(ConnectionResetError, self.client.recv, 10)


class TestPorts(testtools.TestCase):
    def test_a_port_reserved_by_another_process_is_not_returned(self):
        # Two soaks on one machine picked the same port: the servers of one failed to start
        # ("address already in use"), and all its calls failed.
        (port,) = self.reserve_ports_in_another_process(1)
        draw = fleet._rng.randrange
        draws = iter([port])
        self.patch(fleet._rng, 'randrange', lambda *bounds: next(draws, None) or draw(*bounds))
        self.assertNotEqual(port, fleet.free_port())

    def reserve_ports_in_another_process(self, count: int) -> list[int]:
        """Return ports that a process reserved; it lives until the test ends."""
        program = (
            'import sys; from standins.fleet import free_port\n'
            f'print(*[free_port() for _ in range({count})], flush=True); sys.stdin.read()'
        )
        pipes = {'stdin': subprocess.PIPE, 'stdout': subprocess.PIPE, 'text': True}
        other = subprocess.Popen([sys.executable, '-c', program], **pipes)
        self.addCleanup(other.communicate)
        return [int(word) for word in other.stdout.readline().split()]
