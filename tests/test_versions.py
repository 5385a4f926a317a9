"""Which software versions a box knows, and since when; streams without a record."""

import math

import testtools

from seamhold_membership import (
    KnownVersions,
    ListedVersion,
    ServiceVersions,
    SoleVersion,
    UnknownReason,
    VersionHistory,
    sole_version,
)
from seamhold_membership.versions import REMEMBERED_SECONDS
from seamhold_messages.fleet import Engine

V1 = frozenset({'v1'})
V2 = frozenset({'v2'})
LONG = REMEMBERED_SECONDS


def engine(name: str, version: str) -> Engine:
    return Engine(name, 'llm', f'{name}:80', version=version)


class TestSoleVersion(testtools.TestCase):
    def assert_unknown(self, reason: UnknownReason, *known: KnownVersions) -> None:
        self.assertEqual(SoleVersion(unknown=reason), sole_version(known))

    def test_a_box_that_just_started_cannot_tell_that_there_was_one_version(self):
        self.assert_unknown(UnknownReason.TOO_RECENT, KnownVersions(V1, 1.0))

    def test_one_box_that_missed_nothing_is_enough(self):
        known = (KnownVersions(V1, 1.0), KnownVersions(V1, LONG), KnownVersions())
        self.assertEqual(SoleVersion('v1'), sole_version(known))

    def test_a_second_version_counts_whoever_has_seen_it(self):
        for other in (KnownVersions(V2, 1.0), KnownVersions(V1 | V2, 0.0)):
            self.assert_unknown(UnknownReason.SEVERAL, KnownVersions(V1, math.inf), other)

    def test_a_service_without_a_version_leaves_a_stream_unknown(self):
        self.assert_unknown(UnknownReason.NONE, KnownVersions(known_seconds=math.inf))


class TestServiceVersions(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.versions = ServiceVersions()

    def test_a_box_without_a_list_has_seen_nothing_and_one_with_a_list_from_then_on(self):
        self.assertEqual(0.0, self.versions.known_seconds(5.0))
        self.versions.set_list([engine('a', 'v1')], 5.0)
        self.versions.set_list([engine('a', 'v1')], 8.0)
        self.assertEqual(4.0, self.versions.known_seconds(9.0))

    def test_a_history_from_before_the_start_is_added(self):
        self.versions.set_list([engine('b', 'v2')], 100.0)
        gone = ListedVersion('llm', 'v1', gone_seconds=20.0)
        listed = ListedVersion('llm', 'v2')
        self.versions.merge(VersionHistory(500.0, (gone, listed)), 101.0)
        self.assertEqual({'v1', 'v2'}, self.versions.known['llm'])
        self.assertEqual({'llm'}, self.versions.mixed)
        self.assertEqual(500.0, self.versions.known_seconds(101.0))
        self.assertEqual(
            (ListedVersion('llm', 'v1', 21.0), listed), self.versions.history(102.0).versions
        )

    def test_a_history_counts_as_complete_only_once_its_versions_can_be_read(self):
        known_seconds: list[float] = []
        publish = self.versions.forget

        def forget(now: float) -> None:
            known_seconds.append(self.versions.known_seconds(now))
            publish(now)

        self.patch(self.versions, 'forget', forget)
        self.versions.merge(VersionHistory(math.inf, (ListedVersion('llm', 'v1'),)), 1.0)
        self.assertEqual([0.0], known_seconds)
        self.assertEqual(math.inf, self.versions.known_seconds(1.0))

    def test_a_version_of_the_history_that_is_not_listed_counts_as_gone_since_then(self):
        self.versions.merge(VersionHistory(math.inf, (ListedVersion('llm', 'v1'),)), 1.0)
        self.versions.set_list([], 2.0)
        self.versions.forget(1.0 + REMEMBERED_SECONDS - 1)
        self.assertEqual(V1, self.versions.known['llm'])
        self.versions.forget(1.0 + REMEMBERED_SECONDS)
        self.assertEqual({}, self.versions.known)

    def test_what_a_peer_missed_shortens_no_history(self):
        self.versions.merge(VersionHistory(math.inf), 1.0)
        self.versions.merge(VersionHistory(0.0), 2.0)
        self.assertEqual(math.inf, self.versions.known_seconds(3.0))

    def test_changes_count_versions_that_come_and_leave_and_not_engines(self):
        self.versions.set_list([engine('a', 'v1')], 0.0)
        self.versions.set_list([engine('a', 'v1'), engine('b', 'v1')], 1.0)
        self.assertEqual(1, self.versions.changes)
        self.versions.set_list([engine('c', 'v2')], 2.0)
        self.assertEqual(3, self.versions.changes)
