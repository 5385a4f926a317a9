"""Invalid items of a complete tree, which other programs write."""

import math

import msgspec
import testtools

from seamhold_settings import ActiveSettings, Candidate, OfferResult
from seamhold_settings.forwarding import RouteTable, choose_service
from seamhold_settings.repeated_names import join_repeated
from seamhold_settings.schema import INTEGER_MAX
from seamhold_settings.tree import TREE_OBJECT

KEY = 'sha256:' + '0' * 64
OTHER_KEY = 'sha256:' + '1' * 64
THIRD_KEY = 'sha256:' + '2' * 64
SOUND_ROUTE = {'host': 'a', 'path_prefix': '/sound/', 'shares': [{'service': 'app'}]}


class TestInvalidItems(testtools.TestCase):
    def active(self, **changes) -> ActiveSettings:
        fleet = {
            'services': {'app': {'kind': 'plain'}} | changes.pop('services', {}),
            'forwarding': [*changes.pop('routes', []), SOUND_ROUTE],
            'caller_bounds': {'head_seconds': 5.0} | changes.pop('bounds', {}),
        }
        workspaces = {'sound': {'keys': [KEY]}} | changes.pop('workspaces', {})
        state = ActiveSettings()
        candidate = Candidate(TREE_OBJECT, 7, '7', {'fleet': fleet, 'workspaces': workspaces})
        self.assertEqual(OfferResult.TAKEN, state.offer(candidate))
        table = RouteTable(state.tree)
        self.assertEqual('sound', table.workspace_for_key(KEY))
        self.assertIsNotNone(table.find('a', '/sound/x'))
        self.assertEqual(5.0, state.tree.fleet.caller_bounds.head_seconds)
        return state

    def test_a_rank_beyond_the_last_one_keeps_no_item_from_being_active(self):
        policy = {'policy': {'priority': 10}}
        state = self.active(workspaces={'late': policy}, routes=[SOUND_ROUTE | policy])
        self.assertEqual((), state.left_out)
        self.assertEqual(10, RouteTable(state.tree).workspace_priority('late'))

    def test_many_attempts_keep_no_route_from_being_active(self):
        route = SOUND_ROUTE | {'path_prefix': '/many/', 'policy': {'retries': 40}}
        self.assertEqual((), self.active(routes=[route]).left_out)

    def test_an_invalid_item_costs_itself_alone(self):
        for changes in (
            {'workspaces': {'bad': {'policy': {'priority': -1}}}},
            {'workspaces': {'bad': [{}]}},
            {'services': {'BAD NAME': {'kind': 'plain'}}},
            {'services': {'bad': {'kind': 'plain', 'connections': 0}}},
            {'routes': [SOUND_ROUTE | {'path_prefix': 'no-slash'}, None]},
            {'bounds': {'body_bytes': -1}},
        ):
            self.assertNotEqual((), self.active(**changes).left_out)

    def test_requests_of_an_invalid_route_go_to_no_other_one(self):
        routes = [
            SOUND_ROUTE | {'path_prefix': '/pay/', 'shares': [{'service': ''}]},
            SOUND_ROUTE | {'path_prefix': '/', 'public': True},
        ]
        found = RouteTable(self.active(routes=routes).tree).find('a', '/pay/x')
        self.assertFalse(found.public)
        self.assertIsNone(choose_service(found.shares, 'id'))

    def test_callers_need_a_key_while_all_workspaces_are_invalid(self):
        state = ActiveSettings()
        values = {'fleet': {}, 'workspaces': {'bad': {'keys': ['no hash']}}}
        state.offer(Candidate(TREE_OBJECT, 7, '7', values))
        table = RouteTable(state.tree)
        self.assertTrue(table.requires_key)
        self.assertIsNone(table.workspace_for_key(KEY))

    def test_an_odd_field_of_a_workspace_does_not_take_its_keys(self):
        for odd in (
            {'weight': -1},
            {'policy': {'priority': 'high'}},
            {'policy': None},
            {'keys': [OTHER_KEY, 'no hash', None]},
            {'unknown': 1},
        ):
            state = self.active(workspaces={'odd': {'keys': [OTHER_KEY]} | odd})
            self.assertNotEqual((), state.left_out)
            self.assertEqual('odd', RouteTable(state.tree).workspace_for_key(OTHER_KEY), odd)

    def test_a_rank_beyond_all_numbers_is_the_last_one(self):
        for rank in (2**31, 10**30, float('inf')):
            workspace = {'keys': [OTHER_KEY], 'policy': {'priority': rank}}
            table = RouteTable(self.active(workspaces={'late': workspace}).tree)
            self.assertEqual(INTEGER_MAX, table.workspace_priority('late'))

    def test_a_key_of_two_workspaces_belongs_to_the_first(self):
        """Guards against 401 for a key that is there."""
        spaces = {'one': {'keys': [OTHER_KEY]}, 'two': {'keys': [OTHER_KEY, THIRD_KEY]}}
        state = self.active(workspaces=spaces)
        table = RouteTable(state.tree)
        self.assertEqual('one', table.workspace_for_key(OTHER_KEY))
        self.assertEqual('two', table.workspace_for_key(THIRD_KEY))
        self.assertIn('workspaces.two.keys', ' '.join(state.left_out))

    def test_a_name_that_no_header_can_carry_has_no_keys(self):
        """Guards against requests that fail as they are sent to a server."""
        for name in ('\u65e5', 'a\r\nb: c', ' a', '', '\ud83d', 'x' * 5000):
            state = self.active(workspaces={name: {'keys': [OTHER_KEY]}})
            self.assertIsNone(RouteTable(state.tree).workspace_for_key(OTHER_KEY), name)

    def test_an_odd_field_of_a_route_does_not_take_its_services(self):
        """Guards against 404 for a route that is there, and against runs beyond its attempts."""
        policy = {'repeatable': True, 'retries': 3}
        for odd in (
            {'policy': policy | {'deadline': 0}},
            {'policy': policy | {'objective': 'fast', 'retries': ['x']}},
            {'shares': [{'service': 'app'}, {'service': 'new', 'weight': 'all'}]},
            {'public': 'no'},
            {'unknown': 1},
        ):
            route = SOUND_ROUTE | {'path_prefix': '/odd/'} | odd
            found = RouteTable(self.active(routes=[route]).tree).find('a', '/odd/x')
            self.assertEqual('app', choose_service(found.shares, 'id'), odd)
            self.assertFalse(found.public)
            lost = isinstance(odd.get('policy', {}).get('retries'), list)
            self.assertEqual(
                0 if lost else odd.get('policy', {}).get('retries'), found.policy.retries
            )


class TestRepeatedNames(testtools.TestCase):
    def test_workspaces_of_one_name_have_the_keys_of_all(self):
        spaces = [('a', {'keys': [KEY], 'weight': 2}), ('b', {}), ('a', {'keys': [OTHER_KEY]})]
        joined = join_repeated({'fleet': {'services': []}, 'workspaces': spaces})
        expected = {'a': {'keys': [KEY, OTHER_KEY], 'weight': 2}, 'b': {}}
        self.assertEqual(expected, joined.values['workspaces'])
        self.assertEqual(('workspaces.a',), joined.repeated)

    def test_of_services_with_one_name_the_first_counts(self):
        services = [('a', {'connections': 1}), ('a', {'connections': 2})]
        joined = join_repeated({'fleet': {'services': services}, 'workspaces': []})
        self.assertEqual({'a': {'connections': 1}}, joined.values['fleet']['services'])

    def test_boxes_can_send_each_other_a_tree_with_any_number(self):
        """Guards against a version that each box has to read from the store by itself."""
        spaces = [('a', {'policy': {'priority': 10**30}}), ('b', [{'weight': [-(10**400)]}])]
        joined = join_repeated({'fleet': {'services': []}, 'workspaces': spaces})
        sent = msgspec.msgpack.decode(msgspec.msgpack.encode(joined.values))
        self.assertEqual({'policy': {'priority': math.inf}}, sent['workspaces']['a'])

    def test_an_odd_workspace_takes_no_keys_of_its_namesake(self):
        for spaces in ([('a', None), ('a', {'keys': [KEY]})], [('a', {'keys': [KEY]}), ('a', [1])]):
            joined = join_repeated({'fleet': {'services': []}, 'workspaces': spaces})
            self.assertEqual({'a': {'keys': [KEY]}}, joined.values['workspaces'])
