"""The soak's own checks: each promise it watches is seen when it breaks."""

import json
import socket
import subprocess
import sys
import time

import testtools

from soak.callers import Seen
from soak.promises import check, expected_text
from soak.trouble import Trouble
from standins import fleet
from standins.proxy import FaultProxy, Mode, ProxyLoop


def seen(**changes) -> Seen:
    """A whole answer to a call that may repeat, changed as a test needs it."""
    values = {
        'mark': '1-0',
        'box': 'box-1',
        'once': False,
        'streamed': False,
        'tokens': 2,
        'began': 10.0,
        'ended': 11.0,
        'sent': True,
        'status': 200,
    } | changes
    call = Seen(**values)
    if call.status == 200 and not call.body:
        message = {'message': {'content': expected_text(call)}}
        call.body = json.dumps({'choices': [message]}).encode()
    return call


def promises(call: Seen, runs: int = 1, troubles: tuple = ()) -> set[str]:
    """The promises that a call with so many runs breaks."""
    ran = [{'mark': call.mark, 'at': call.began, 'engine': 'engine-1'}] * runs
    return {violation.promise for violation in check([call], ran, list(troubles))}


class TestPromises(testtools.TestCase):
    def test_a_good_call_breaks_nothing(self):
        self.assertEqual(set(), promises(seen()))

    def test_an_answer_of_another(self):
        other = seen(mark='1-1').body
        self.assertEqual({'an answer is whole and its own'}, promises(seen(body=other)))

    def test_a_cut_stream_that_looks_complete(self):
        cut = seen(streamed=True, body=b'data: {"id": 1}\n\n')
        self.assertEqual({'a cut answer does not look complete'}, promises(cut))

    def test_told_not_run_and_ran(self):
        body = json.dumps({'ran': 'no', 'code': 'box_full'}).encode()
        refused = seen(status=503, body=body)
        self.assertEqual({'told "not run" means not run'}, promises(refused))
        self.assertEqual(set(), promises(refused, runs=0))

    def test_ran_twice(self):
        twice = {'what may not repeat runs at most once'}
        self.assertEqual(twice, promises(seen(once=True), runs=2))
        self.assertEqual(set(), promises(seen(), runs=2))

    def test_a_call_cut_by_its_box_is_excused_only_if_the_box_was_killed(self):
        cut = seen(status=0, broken='RemoteDisconnected')
        self.assertEqual({'a call that ran gets an answer'}, promises(cut))
        killed = Trouble('kill_box', 'box-1', 10.5, 12.0)
        self.assertEqual(set(), promises(cut, troubles=(killed,)))
        stopped = Trouble('stop_box', 'box-1', 10.5, 12.0)
        self.assertEqual({'a call that ran gets an answer'}, promises(cut, troubles=(stopped,)))

    def test_work_for_an_engine_that_left(self):
        leaves = Trouble('engine_leaves', 'engine-1', 10.0, 20.0, detail='10.0')
        late = seen(began=14.5, ended=15.0)
        self.assertEqual({'a leaving engine gets no new work'}, promises(late, troubles=(leaves,)))
        self.assertEqual(set(), promises(seen(began=13.0), troubles=(leaves,)))


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
        self.there, _ = self.server.accept()
        self.addCleanup(self.there.close)
        self.there.settimeout(2)

    def test_what_is_held_arrives_when_the_link_is_whole_again(self):
        self.proxy.set_mode(Mode.CLIENT_UNHEARD)
        time.sleep(0.1)
        self.client.sendall(b'up')
        self.there.sendall(b'down')
        self.assertEqual(b'down', self.client.recv(10))
        self.there.settimeout(0.2)
        self.assertRaises(TimeoutError, self.there.recv, 10)
        self.proxy.set_mode(Mode.PASS)
        self.there.settimeout(2)
        self.assertEqual(b'up', self.there.recv(10))

    def test_a_reset_breaks_what_is_open(self):
        self.proxy.set_mode(Mode.RESET)
        self.assertRaises(ConnectionResetError, self.client.recv, 10)


class TestPorts(testtools.TestCase):
    def test_a_port_that_another_process_was_given_is_not_given(self):
        # Two soaks beside each other: the servers of one did not start, "address already in
        # use", and all its calls failed.
        (port,) = self.ports_of_another(1)
        chances = iter([port, port + 1 if port + 1 < fleet.PORTS[1] else port - 1])
        self.patch(fleet._chance, 'randrange', lambda *_: next(chances))
        self.assertNotEqual(port, fleet.free_port())

    def ports_of_another(self, count: int) -> list[int]:
        """Ports that a process was given which lives until the test ends."""
        program = (
            'import sys; from standins.fleet import free_port\n'
            f'print(*[free_port() for _ in range({count})], flush=True); sys.stdin.read()'
        )
        pipes = {'stdin': subprocess.PIPE, 'stdout': subprocess.PIPE, 'text': True}
        other = subprocess.Popen([sys.executable, '-c', program], **pipes)
        self.addCleanup(other.communicate)
        return [int(word) for word in other.stdout.readline().split()]
