"""Which services may have begun a stream, as routes are split, moved, added and removed."""

import math
import time

import testtools

from seamhold.linked_services import LinkedServices
from seamhold_membership import (
    KnownVersions,
    ServiceLinks,
    UnknownReason,
    sole_version,
)
from seamhold_membership.service_links import NO_ROUTE
from seamhold_membership.versions import REMEMBERED_SECONDS
from seamhold_routing.route_moves import moved_pairs, split_pairs
from seamhold_settings import Policy, Tree
from seamhold_settings.forwarding import RouteTable
from seamhold_settings.schema import FleetSpec, ForwardedRoute, ServiceShare

HOST = 'a.example'
RESUMABLE = Policy(resumable=True)
MANY_ROUTES = 10_000
#: Far above what pairs of so many routes take, in seconds, so that a busy machine passes.
MANY_ROUTES_SECONDS = 2.0


def route(prefix: str, *services: str, host: str = HOST, **more) -> ForwardedRoute:
    """Return a route; a service whose name ends with '-' has the weight 0."""
    shares = [ServiceShare(name.rstrip('-'), float(name[-1] != '-')) for name in services]
    return ForwardedRoute(host, prefix, shares, **{'streamed': True, 'policy': RESUMABLE} | more)


def table(*routes: ForwardedRoute) -> RouteTable:
    return RouteTable(Tree(fleet=FleetSpec(forwarding=list(routes))))


def both(one: str, other: str) -> set[tuple[str, str]]:
    return {(one, other), (other, one)}


class TestSplitPairs(testtools.TestCase):
    def test_only_resumable_routes_with_several_weights_above_0_link_services(self):
        plain = route('/b/', 'x', 'y', streamed=False)
        not_resumable = route('/c/', 'x', 'y', policy=Policy(resumable=False))
        weightless = route('/d/', 'x', 'y-')
        self.assertEqual(set(), split_pairs(table(route('/a/', 'x'), plain, not_resumable)))
        self.assertEqual(set(), split_pairs(table(weightless)))
        self.assertEqual(both('x', 'y'), split_pairs(table(route('/a/', 'x', 'y'))))

    def test_a_policy_of_another_level_may_make_a_route_resumable(self):
        self.assertEqual(both('x', 'y'), split_pairs(table(route('/', 'x', 'y', policy=Policy()))))

    def test_the_pairs_of_a_wide_split_are_no_more_than_its_services(self):
        names = [f's-{number}' for number in range(50)]
        pairs = split_pairs(table(route('/', *names)))
        self.assertEqual(50, len(pairs))
        links = ServiceLinks()
        links.set_routes(pairs, (), 0.0)
        for name in names:
            self.assertEqual(set(names) - {name}, links.others(name))


class TestMovedPairs(testtools.TestCase):
    def assert_moved(self, pairs: set, before: list, after: list) -> None:
        self.assertEqual(pairs, moved_pairs(table(*before), table(*after)))

    def test_changes_of_weights_and_of_other_fields_move_nothing(self):
        for other in (route('/', 'x', public=True), route('/', 'x', 'y-'), route('/', 'x', 'x')):
            self.assert_moved(set(), [route('/', 'x')], [other])

    def test_a_route_that_leads_elsewhere(self):
        self.assert_moved(both('x', 'y'), [route('/', 'x')], [route('/', 'y')])
        self.assert_moved(both('x', 'y'), [route('/', 'x', 'y')], [route('/', 'y')])

    def test_a_longer_prefix_takes_over_paths_and_gives_them_back(self):
        short, longer = [route('/', 'x')], [route('/', 'x'), route('/a/', 'y')]
        self.assert_moved(both('x', 'y'), short, longer)
        self.assert_moved(both('x', 'y'), longer, short)

    def test_a_prefix_in_between_moves_what_fell_to_the_shorter_one(self):
        before = [route('/', 'x'), route('/a/b/', 'y')]
        after = [route('/', 'x'), route('/a/', 'z'), route('/a/b/', 'y')]
        self.assert_moved(both('x', 'z'), before, after)

    def test_routes_of_other_hosts_are_apart_and_hosts_have_no_case(self):
        before = [route('/', 'x'), route('/', 'y', host='b.example')]
        after = [route('/', 'x', host='A.example'), route('/', 'y', host='b.example')]
        self.assert_moved(set(), before, after)

    def test_a_removed_an_added_and_a_plain_route_lead_nowhere(self):
        nowhere = NO_ROUTE + HOST
        self.assert_moved({('x', nowhere)}, [route('/', 'x')], [])
        self.assert_moved({(nowhere, 'x')}, [], [route('/', 'x')])
        plain = [route('/', 'y', streamed=False)]
        self.assert_moved({('x', nowhere)}, [route('/', 'x')], plain)

    def test_the_pairs_of_many_routes_are_found_in_time(self):
        names = [f's-{number}' for number in range(500)]
        routes = [
            route(f'/{number}/', names[number % 500], host=f'h-{number % 100}')
            for number in range(MANY_ROUTES)
        ]
        before, after = table(*routes), table(*routes[1:], route('/0/', 'moved', host='h-0'))
        began_at = time.perf_counter()
        pairs = moved_pairs(before, after) | split_pairs(after)
        self.assertLess(time.perf_counter() - began_at, MANY_ROUTES_SECONDS)
        self.assertEqual(both('s-0', 'moved'), pairs)


class TestServiceLinks(testtools.TestCase):
    def links(self, *moves: tuple[str, str, float]) -> ServiceLinks:
        links = ServiceLinks()
        links.set_routes((), (), 0.0)
        for before, after, at in moves:
            links.set_routes((), [(before, after)], at)
        return links

    def test_a_route_that_moved_twice_leads_on_from_its_first_service(self):
        links = self.links(('x', 'y', 1.0), ('y', 'z', 2.0))
        self.assertEqual({'x', 'y'}, links.others('z'))
        self.assertEqual({'x', 'y', 'z'}, links.linked)

    def test_moves_in_the_other_order_do_not_lead_on(self):
        links = self.links(('y', 'z', 1.0), ('x', 'y', 2.0))
        self.assertEqual({'y'}, links.others('z'))

    def test_a_move_that_was_repeated_leads_on_from_the_first_time(self):
        links = self.links(('x', 'y', 1.0), ('y', 'z', 2.0), ('x', 'y', 3.0))
        self.assertEqual({'x', 'y'}, links.others('z'))

    def test_a_route_that_was_removed_and_added_to_another_service(self):
        nowhere = NO_ROUTE + HOST
        links = self.links(('x', nowhere, 1.0))
        self.assertEqual(set(), links.linked)
        links.set_routes((), [(nowhere, 'y')], 2.0)
        self.assertEqual({'x'}, links.others('y'))
        self.assertEqual({'x', 'y'}, links.linked)

    def test_added_routes_link_nothing(self):
        nowhere = NO_ROUTE + HOST
        links = self.links((nowhere, 'x', 1.0), (nowhere, 'y', 2.0), ('y', nowhere, 3.0))
        self.assertEqual(set(), links.linked)
        self.assertEqual(set(), links.others('x') | links.others('y'))

    def test_links_last_as_long_as_a_split_and_are_remembered_for_some_time(self):
        links = ServiceLinks()
        links.set_routes(both('x', 'y'), (), 0.0)
        links.forget(9 * REMEMBERED_SECONDS)
        self.assertEqual({'y'}, links.others('x'))
        ended_at = 9 * REMEMBERED_SECONDS
        links.set_routes((), (), ended_at)
        links.forget(ended_at + REMEMBERED_SECONDS - 1)
        self.assertEqual({'x', 'y'}, links.linked)
        links.forget(ended_at + REMEMBERED_SECONDS)
        self.assertEqual(set(), links.linked)
        self.assertEqual(set(), links.others('x'))

    def test_all_linked_services_that_others_finds_are_among_the_linked_ones(self):
        moves = [(f's-{n * 7 % 11}', f's-{n * 5 % 11}', float(n % 13)) for n in range(60)]
        nowhere = [(f's-{n % 9}', NO_ROUTE + f'h-{n % 3}', float(n)) for n in range(20)]
        links = self.links(*moves, *nowhere, *((after, one, at) for one, after, at in nowhere))
        for number in range(11):
            name = f's-{number}'
            if links.others(name):
                self.assertLessEqual(links.others(name) | {name}, links.linked)


class TestSoleVersion(testtools.TestCase):
    def test_no_version_is_the_only_one_where_another_service_may_have_begun_the_stream(self):
        here = KnownVersions(frozenset({'v1'}), math.inf)
        there = KnownVersions(frozenset({'v1'}), 0.0, frozenset({'x'}))
        self.assertEqual('v1', sole_version([here]).version)
        self.assertEqual(UnknownReason.SERVICES, sole_version([here, there]).unknown)


class TestLinkedServices(testtools.TestCase):
    def test_each_newly_linked_service_is_told_once_and_none_without_a_split_or_a_move(self):
        now = [0.0]
        links = LinkedServices(lambda: now[0])
        told: list[frozenset[str]] = []
        links.on_linked = told.append
        links.set_table(table(route('/', 'x'), route('/a/', 'y')))
        links.set_table(table(route('/', 'x', public=True), route('/a/', 'y'), route('/b/', 'x')))
        self.assertEqual([], told)
        links.set_table(table(route('/', 'x', 'z'), route('/a/', 'y')))
        links.set_table(table(route('/', 'z'), route('/a/', 'y')))
        self.assertEqual([{'x', 'z'}], told)

    def test_links_that_are_dropped_after_some_time_link_nothing(self):
        now = [0.0]
        links = LinkedServices(lambda: now[0])
        links.set_table(table(route('/', 'x', 'z'), route('/a/', 'y')))
        links.set_table(table(route('/', 'z'), route('/a/', 'y')))
        self.assertFalse(links.is_linked('y'))
        self.assertTrue(links.is_linked('x'))
        now[0] = REMEMBERED_SECONDS
        self.assertFalse(links.is_linked('x'))
