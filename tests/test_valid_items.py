"""Invalid items of a complete tree, which other programs write."""

import testtools

from seamhold_settings import ActiveSettings, Candidate, OfferResult
from seamhold_settings.forwarding import RouteTable, choose_service
from seamhold_settings.tree import TREE_OBJECT

KEY = 'sha256:' + '0' * 64
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
            SOUND_ROUTE | {'path_prefix': '/pay/', 'policy': {'deadline': 0}},
            SOUND_ROUTE | {'path_prefix': '/', 'public': True},
        ]
        found = RouteTable(self.active(routes=routes).tree).find('a', '/pay/x')
        self.assertFalse(found.public)
        self.assertIsNone(choose_service(found.shares, 'id'))

    def test_callers_need_a_key_while_all_workspaces_are_invalid(self):
        state = ActiveSettings()
        values = {'fleet': {}, 'workspaces': {'bad': {'weight': -1, 'keys': [KEY]}}}
        state.offer(Candidate(TREE_OBJECT, 7, '7', values))
        table = RouteTable(state.tree)
        self.assertTrue(table.requires_key)
        self.assertIsNone(table.workspace_for_key(KEY))
