"""Forwarded requests: routes, heads, event streams, and statuses for callers."""

import io
import socket
import threading

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold.forwarding.caller_watch import CallerWatch
from seamhold.forwarding.calls import RoutedRequest, prepare
from seamhold.forwarding.entry import caller_status
from seamhold.forwarding.events import EventCheck
from seamhold.forwarding.heads import RequestHead, StrictHeaderReader, end_to_end
from seamhold.ports import CallerMetadata, Cancellation
from seamhold_messages.errors import ERRORS_BY_CODE, EngineRefused, NoEngine, Ran
from seamhold_settings import ActiveSettings, Candidate, OfferResult, Tree
from seamhold_settings.checking import check
from seamhold_settings.forwarding import RouteTable, choose_service
from seamhold_settings.schema import ServiceShare
from seamhold_settings.tree import TREE_OBJECT, SettingsFile

KEY = 'sha256:' + '0' * 64
OTHER_KEY = 'sha256:' + '1' * 64


def route(host: str, prefix: str, **more) -> dict:
    return {'host': host, 'path_prefix': prefix, 'shares': [{'service': 'llm'}]} | more


def tree_values(*routes: dict, workspaces: dict | None = None) -> dict:
    return {
        'fleet': {'services': {'llm': {'kind': 'plain'}}, 'forwarding': list(routes)},
        'workspaces': workspaces or {},
    }


def table(*routes: dict, workspaces: dict | None = None) -> RouteTable:
    found = check(SettingsFile, tree_values(*routes, workspaces=workspaces))
    return RouteTable(Tree(found.fleet, dict(found.workspaces)))


class HeaderDialect:
    """A dialect of which only the headers that are never forwarded are asked."""

    def never_passed_on(self) -> frozenset[str]:
        return frozenset()


class TestRouteTable(testtools.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self):
        routes = table(route('a', '/'), route('a', '/x/'), route('a', '/x/y/'), route('b', '/z/'))
        self.assertEqual('/x/y/', routes.find('a', '/x/y/1').path_prefix)
        self.assertEqual('/x/', routes.find('A:80', '/x/y?q=/x/y/').path_prefix)
        self.assertEqual('/', routes.find('a', '/').path_prefix)
        self.assertIsNone(routes.find('b', '/x/'))
        self.assertIsNone(routes.find('c', '/'))

    @given(st.text('ab/', max_size=12))
    def test_lookup_finds_the_longest_matching_prefix_of_any_path(self, path):
        prefixes = ['/a/', '/a/b/', '/b/', '/a/a/a/', '/']
        routes = table(*(route('h', prefix) for prefix in prefixes))
        matching = [prefix for prefix in prefixes if f'/{path}'.startswith(prefix)]
        self.assertEqual(max(matching, key=len), routes.find('h', f'/{path}').path_prefix)

    def test_a_key_of_two_workspaces_identifies_neither(self):
        spaces = {'one': {'keys': [KEY, OTHER_KEY]}, 'two': {'keys': [KEY]}}
        routes = table(route('a', '/'), workspaces=spaces)
        self.assertIsNone(routes.workspace_for_key(KEY))
        self.assertEqual('one', routes.workspace_for_key(OTHER_KEY))

    def test_a_routes_policy_overrides_what_it_inherits(self):
        spaces = {'one': {'policy': {'deadline': 5, 'priority': 2}}}
        routes = table(route('a', '/', policy={'priority': 1}), workspaces=spaces)
        policy = routes.policy(routes.find('a', '/'), 'llm', 'one')
        self.assertEqual((5, 1), (policy.deadline, policy.priority))
        self.assertEqual(2, routes.workspace_priority('one'))

    def test_a_call_ranks_by_its_workspace_before_its_route(self):
        """Guards against an order by the route's priority alone."""
        spaces = {'one': {'policy': {'priority': 0}}, 'two': {'policy': {'priority': 2}}}
        routes = table(route('a', '/', policy={'priority': 2}), workspaces=spaces)
        self.assertEqual([2, 8], [self.rank(routes, workspace) for workspace in spaces])

    def rank(self, routes: RouteTable, workspace: str) -> int:
        found = routes.find('a', '/')
        policy = routes.policy(found, 'llm', workspace)
        metadata = CallerMetadata('id', None, '')
        routed = RoutedRequest(metadata, found, policy, workspace, 'llm')
        head = RequestHead('GET', '/', {}, {})
        return prepare(routes, HeaderDialect(), routed, head, b'', 0.0).call.rank

    def test_a_service_of_weight_0_receives_no_requests(self):
        shares = [ServiceShare(service='new', weight=0), ServiceShare(service='old', weight=3)]
        self.assertEqual({'old'}, {choose_service(shares, str(number)) for number in range(200)})
        self.assertIsNone(choose_service([ServiceShare(service='new', weight=0)], 'x'))

    def test_shares_are_proportional_to_weights(self):
        shares = [ServiceShare(service='a', weight=90), ServiceShare(service='b', weight=10)]
        went = [choose_service(shares, f'request-{number}') for number in range(4000)]
        self.assertTrue(300 < went.count('b') < 500, went.count('b'))


class TestWholeTree(testtools.TestCase):
    def test_an_unreadable_route_is_left_out_and_the_others_are_active(self):
        values = tree_values(route('a', '/'), route('a', 'no-slash'), {'host': 'a'})
        state = ActiveSettings()
        self.assertEqual(OfferResult.TAKEN, state.offer(Candidate(TREE_OBJECT, 7, '7', values)))
        self.assertEqual(1, len(state.tree.fleet.forwarding))
        self.assertEqual(2, len(state.left_out))
        self.assertTrue(state.ready)

    def test_an_older_tree_does_not_replace_a_newer_one(self):
        state = ActiveSettings()
        state.offer(Candidate(TREE_OBJECT, 7, '7', tree_values(route('a', '/new/'))))
        older = Candidate(TREE_OBJECT, 5, '5', tree_values(route('a', '/old/')))
        self.assertNotEqual(OfferResult.TAKEN, state.offer(older))
        self.assertEqual('/new/', state.tree.fleet.forwarding[0].path_prefix)


class TestHeads(testtools.TestCase):
    def read(self, text: str) -> dict:
        return StrictHeaderReader()(io.BytesIO(text.encode() + b'\r\n'), {})

    def test_a_plain_head_is_read(self):
        headers = self.read('Host: a\r\nContent-Length: 3\r\n')
        self.assertEqual(b'3', headers[b'Content-Length'])

    def test_ambiguous_heads_are_refused(self):
        for text in (
            'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
            'Content-Length: 3\r\nContent-Length: 4\r\n',
            'Content-Length: 3\r\ncontent-length: 3\r\n',
            'Content-Length: -1\r\n',
            'Content-Length: +3\r\n',
            'Transfer-Encoding: gzip, chunked\r\n',
            'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n',
            'Host: a\r\n b: c\r\n',
            'Host : a\r\n',
            'Host: a\r\nHost: b\r\n',
        ):
            with testtools.ExpectedException(ValueError):
                self.read(text)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        headers = {'Connection': 'close, X-Private', 'X-Private': '1', 'Te': 't', 'Accept': 'a'}
        self.assertEqual({}, end_to_end(headers, frozenset({'accept'})))
        self.assertEqual({'Accept': 'a'}, end_to_end(headers, frozenset()))


class TestEventCheck(testtools.TestCase):
    @given(st.lists(st.integers(1, 12), max_size=12))
    def test_only_whole_events_pass_for_any_division_into_chunks(self, cuts):
        whole = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))
        stream = whole + b'id: 6\ndata: half'
        check_events = EventCheck()
        passed = b''
        start = 0
        for size in [*cuts, len(stream)]:
            passed += check_events.feed(stream[start : start + size])
            start += size
        self.assertEqual(whole, passed)
        self.assertEqual('5', check_events.position)
        self.assertFalse(check_events.end())
        check_events.restart()
        self.assertEqual(b'id: 6\n\n', check_events.feed(b'id: 6\n\n'))
        self.assertTrue(check_events.end())

    def test_an_event_without_an_id_keeps_the_last_one(self):
        check_events = EventCheck('4')
        check_events.feed(b'data: id: 9\n\n')
        self.assertEqual('4', check_events.position)


class TestCallerWatch(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.watch = CallerWatch()
        self.watch.start()
        self.addCleanup(self.watch.stop)
        self.ours, self.theirs = socket.socketpair()
        self.addCleanup(self.ours.close)
        self.addCleanup(self.theirs.close)
        self.left = threading.Event()
        self.cancellation = Cancellation()
        self.cancellation.attach(self.left.set)

    def test_a_closed_connection_cancels_the_call(self):
        self.watch.add(self.ours, self.cancellation)
        self.theirs.close()
        self.assertTrue(self.left.wait(2))

    def test_a_pipelined_request_does_not_cancel_the_call(self):
        self.watch.add(self.ours, self.cancellation)
        self.theirs.send(b'GET')
        self.assertFalse(self.left.wait(0.2))
        self.watch.remove(self.ours)
        self.assertEqual(b'GET', self.ours.recv(3))

    def test_a_call_cancelled_before_it_waits_is_aborted_at_once(self):
        cancellation = Cancellation()
        cancellation.cancel()
        aborted = threading.Event()
        cancellation.attach(aborted.set)
        self.assertTrue(aborted.is_set())


class TestCallerStatus(testtools.TestCase):
    def test_a_call_that_may_have_run_gets_no_status_that_denies_it(self):
        for kind in ERRORS_BY_CODE.values():
            error = kind('')
            error.ran = Ran.UNKNOWN
            self.assertNotIn(caller_status(error), (408, 421, 429, 503))

    def test_a_call_that_did_not_run_gets_503(self):
        self.assertEqual(503, caller_status(EngineRefused('')))
        self.assertEqual(503, caller_status(NoEngine('')))
