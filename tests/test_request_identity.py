"""Request identity, the probe of an engine's port, and the logs of a request with many ids."""

import json
import socket
import threading

import testtools
from msgspec.structs import replace

from seamhold.explaining import explain_digest, read_line
from seamhold.probing import refuses_connections
from seamhold_quarantine import RequestIdentity
from standins.fleet import free_port

#: How long after its connections the port is closed.
CLOSED_LATE_SECONDS = 0.005
ASKED = RequestIdentity('kitchen', 'cooks.example', 'POST', '/swap/x', b'butter')


class TestRequestIdentity(testtools.TestCase):
    def test_equal_requests_have_the_same_digest(self):
        self.assertEqual(ASKED.digest, replace(ASKED).digest)

    def test_each_part_changes_the_digest(self):
        others = [
            replace(ASKED, workspace='office'),
            replace(ASKED, host='claims.example'),
            replace(ASKED, method='PUT'),
            replace(ASKED, path='/swap/y'),
            replace(ASKED, body=b'lard'),
        ]
        digests = {one.digest for one in (ASKED, *others)}
        self.assertEqual(6, len(digests))
        scopes = {one.scope for one in (ASKED, *others)}
        self.assertEqual(5, len(scopes), 'a scope omits the body')

    def test_bytes_moved_between_parts_change_the_digest(self):
        moved = replace(ASKED, path='/swap/', body=b'xbutter')
        self.assertNotEqual(ASKED.digest, moved.digest)


class TestProbing(testtools.TestCase):
    def test_a_port_without_a_listener_refuses(self):
        self.assertTrue(refuses_connections(f'127.0.0.1:{free_port()}'))

    def test_a_port_that_is_about_to_close_refuses(self):
        # The system closes the connections of a killed engine up to 2.5 ms before its port, but
        # the box probed the port after 0.2 ms.  It missed 3 of 12 ends, which then counted
        # against no request, and one request ended more engines.
        listener = socket.create_server(('127.0.0.1', 0))
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        threading.Timer(CLOSED_LATE_SECONDS, listener.close).start()
        self.assertTrue(refuses_connections(address))

    def test_a_port_that_resets_connections_and_stays_open_does_not_refuse(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            resets = threading.Thread(target=lambda: listener.accept()[0].close())
            resets.start()
            self.assertFalse(refuses_connections(f'127.0.0.1:{listener.getsockname()[1]}'))
            resets.join()

    def test_a_port_with_a_listener_does_not_refuse(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.assertFalse(refuses_connections(f'127.0.0.1:{listener.getsockname()[1]}'))


class TestExplainDigest(testtools.TestCase):
    def test_the_lines_of_all_ids_of_a_digest_are_joined(self):
        def line(event: str, at: str, **fields):
            return read_line(json.dumps({'event': event, 'timestamp': at} | fields), 'box-1')

        ended = 'engine.ended_under_call'
        lines = [
            line('call.failed', '2', request_id='r1', code='engine_failed'),
            line(ended, '1', request_id='r1', digest='d1', engine='e1'),
            line(ended, '3', request_id='r2', digest='d1', engine='e2'),
            line(ended, '4', request_id='r3', digest='d2', engine='e2'),
            line('call.answered', '5', request_id='r3'),
        ]
        self.assertEqual(['1', '2', '3'], [found.at for found in explain_digest('d1', lines)])
