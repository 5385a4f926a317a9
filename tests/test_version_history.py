"""The stored history of software versions: what is read of it, and what is written to it."""

import math

import msgspec
import testtools

from seamhold.decider import Decider
from seamhold.decisions import DeciderReport, GetVersionHistory, MergeVersions, SetEngines
from seamhold.metrics import Metrics
from seamhold.stored_versions import (
    HISTORY_NAME,
    SETTLED_SECONDS,
    SLACK_SECONDS,
    TOLERANCE_SECONDS,
    VERSIONS_MAX,
    StoredVersions,
    from_object,
    is_unsettled,
    merge_into,
    missing_versions,
    to_object,
)
from seamhold.version_store import VersionStore
from seamhold_membership import ListedVersion, ServiceVersions, VersionHistory
from seamhold_membership.versions import REMEMBERED_SECONDS
from seamhold_messages.fleet import Engine
from seamhold_platform import ObjectKind, PlatformClient, PlatformObject
from seamhold_routing import Router
from standins.platform import Platform

NOW = 1_764_720_000.0
V1, V2 = ('app', 'v1'), ('app', 'v2')
FROM_THE_START = StoredVersions(-math.inf, {V1: math.inf})
BOXES = ('box-1', 'box-2', 'box-3')
ROSTER = DeciderReport(0, BOXES, (), (), (), {})


def known(*versions: tuple[str, float], seconds: float = 0.0) -> VersionHistory:
    """Return what a box knows of versions of one service that have been gone for so long."""
    listed = tuple(ListedVersion('app', version, gone) for version, gone in versions)
    return VersionHistory(seconds, listed)


class TestReading(testtools.TestCase):
    def test_a_history_is_read_as_it_was_written(self):
        stored = StoredVersions(-math.inf, {V1: NOW - 60.0, V2: math.inf, ('llm', ''): math.inf})
        self.assertEqual(stored, from_object(to_object(stored)))
        since = StoredVersions(NOW, {V1: math.inf})
        self.assertEqual(since, from_object(to_object(since)))

    def test_clocks_that_differ_make_a_box_remember_longer_and_claim_less(self):
        stored = StoredVersions(NOW - 100.0, {V1: NOW - 60.0, V2: NOW + 3.0})
        read = stored.history(NOW)
        self.assertEqual(100.0 - SLACK_SECONDS, read.known_seconds)
        self.assertEqual([60.0 - SLACK_SECONDS, 0.0], [one.gone_seconds for one in read.versions])

    def test_of_two_entries_of_a_version_the_later_one_counts(self):
        item = to_object(FROM_THE_START)
        item.spec['services']['app']['versions'].append({'version': 'v1', 'left_unix_time': 1.0})
        self.assertEqual(FROM_THE_START, from_object(item))

    def test_an_invalid_history_claims_nothing(self):
        valid = to_object(FROM_THE_START).spec
        for spec in (
            {},
            {'services': valid['services']},
            valid | {'services': None},
            valid | {'complete_since_unix_time': 'x'},
            valid | {'complete_since_unix_time': -1.0},
            valid | {'complete_since_unix_time': math.nan},
            valid | {'complete_since_unix_time': math.inf},
        ):
            item = PlatformObject(HISTORY_NAME, spec)
            self.assertRaises((ValueError, msgspec.ValidationError), from_object, item)

    def test_an_invalid_entry_costs_itself_and_what_the_history_claims(self):
        valid = to_object(FROM_THE_START).spec
        for entry in (
            None,
            {'versions': [{}]},
            {'versions': [{'version': 'a\ud83d'}]},
            {'versions': [{'version': 'x' * 254}]},
            {'versions': [{'version': 'v1', 'left_unix_time': math.inf}]},
            {'versions': [{'version': 'v1'}] * (VERSIONS_MAX + 1)},
        ):
            services = valid['services'] | {'odd': entry}
            stored = from_object(PlatformObject(HISTORY_NAME, valid | {'services': services}))
            self.assertEqual(['odd'], [*stored.unreadable])
            self.assertEqual({V1: math.inf}, stored.left_at)
            self.assertFalse(stored.history(NOW).is_complete)


class TestMerging(testtools.TestCase):
    def test_nothing_is_written_that_is_there(self):
        own = known(('v1', 0.0), seconds=5.0)
        self.assertEqual(FROM_THE_START, merge_into(FROM_THE_START, own, NOW))

    def test_a_box_that_knows_less_loses_nothing(self):
        merged = merge_into(FROM_THE_START, known(('v2', 0.0), seconds=5.0), NOW)
        self.assertEqual(StoredVersions(-math.inf, {V1: math.inf, V2: math.inf}), merged)

    def test_a_box_that_knows_the_first_start_says_so(self):
        stored = StoredVersions(NOW - 100.0, {V1: math.inf})
        merged = merge_into(stored, known(('v1', 0.0), seconds=math.inf), NOW)
        self.assertEqual(FROM_THE_START, merged)

    def test_what_a_box_read_and_writes_again_does_not_move(self):
        versions = ServiceVersions()
        stored = StoredVersions(NOW - 100.0, {V1: NOW - 60.0})
        for seconds in (0.0, 20.0, 40.0):
            own = versions.history(seconds)
            versions.merge(missing_versions(stored.history(NOW + seconds), own), seconds)
            own = versions.history(seconds)
            self.assertEqual(stored, merge_into(stored, own, NOW + seconds))

    def test_a_version_that_just_left_counts_as_listed_for_some_time(self):
        own = known(('v1', SETTLED_SECONDS - 1.0), seconds=math.inf)
        self.assertEqual(FROM_THE_START, merge_into(FROM_THE_START, own, NOW))
        self.assertTrue(is_unsettled(FROM_THE_START, own))
        own = known(('v1', SETTLED_SECONDS), seconds=math.inf)
        merged = merge_into(FROM_THE_START, own, NOW)
        self.assertEqual({V1: NOW - SETTLED_SECONDS}, merged.left_at)
        self.assertFalse(is_unsettled(merged, own))

    def test_a_version_that_left_again_or_came_back_is_written(self):
        stored = StoredVersions(-math.inf, {V1: NOW - 600.0})
        later = merge_into(stored, known(('v1', 500.0)), NOW)
        self.assertEqual({V1: NOW - 500.0}, later.left_at)
        self.assertEqual({V1: math.inf}, merge_into(stored, known(('v1', 0.0)), NOW).left_at)

    def test_a_version_is_dropped_when_no_stream_of_it_can_be_taken_up(self):
        oldest = NOW - REMEMBERED_SECONDS - SLACK_SECONDS
        stored = StoredVersions(-math.inf, {V1: oldest, V2: oldest + 1.0})
        self.assertEqual({V2: oldest + 1.0}, merge_into(stored, known(), NOW).left_at)

    def test_a_version_that_left_in_the_future_is_not_kept_for_good(self):
        stored = StoredVersions(-math.inf, {V1: math.inf, V2: NOW + 1e9})
        merged = merge_into(stored, known(('v1', 0.0)), NOW)
        self.assertEqual({V1: math.inf, V2: NOW + SLACK_SECONDS}, merged.left_at)
        later = NOW + REMEMBERED_SECONDS + 3 * SLACK_SECONDS
        self.assertEqual({V1}, set(merge_into(merged, known(('v1', 0.0)), later).left_at))

    def test_an_unreadable_entry_is_overwritten_and_claimed_by_nobody_who_missed_it(self):
        stored = StoredVersions(-math.inf, {V1: math.inf}, {'odd': 'invalid'})
        merged = merge_into(stored, known(('v1', 0.0), seconds=50.0), NOW)
        self.assertEqual(StoredVersions(NOW - 50.0, {V1: math.inf}), merged)

    def test_too_many_versions_make_the_history_incomplete(self):
        own = known(*((f'v{number}', 0.0) for number in range(VERSIONS_MAX + 1)), seconds=math.inf)
        merged = merge_into(StoredVersions(), own, NOW)
        self.assertEqual((VERSIONS_MAX, NOW), (len(merged.left_at), merged.complete_since))

    def test_a_claim_that_hardly_differs_stays(self):
        stored = StoredVersions(NOW - 100.0, {V1: math.inf})
        own = known(('v1', 0.0), seconds=100.0 + TOLERANCE_SECONDS)
        self.assertEqual(stored, merge_into(stored, own, NOW))
        own = known(('v1', 0.0), seconds=101.0 + TOLERANCE_SECONDS)
        self.assertLess(merge_into(stored, own, NOW).complete_since, NOW - 100.0)


class TestWriting(testtools.TestCase):
    def setUp(self):
        super().setUp()
        server = Platform()
        server.start()
        self.addCleanup(server.stop)
        self.store = PlatformClient(f'http://127.0.0.1:{server.port}')
        self.addCleanup(self.store.close)

    def box(self, name: str, version: str, seconds: float = 0.0) -> VersionStore:
        """Return the task of a box that lists one version, and has seen all for so long."""
        decider = Decider(Router(name, 'start'), lambda: 0.0)
        decider.send(MergeVersions(VersionHistory(seconds)))
        decider.send(SetEngines([Engine('i-1', 'app', 'i-1:80', version=version)]))
        return VersionStore(name, self.store, decider, lambda: ROSTER, lambda: NOW, Metrics())

    def stored(self) -> StoredVersions:
        return from_object(self.store.get(ObjectKind.VERSIONS, HISTORY_NAME))

    def test_two_boxes_that_write_at_once_lose_nothing(self):
        boxes = [self.box('box-1', 'v1', math.inf), self.box('box-2', 'v2')]
        for box in boxes:
            box._read()
        # Both have read that there is no object, and write as the box that ranks first does.
        for box in boxes:
            box._rank = lambda: 0
            box._write_missing()
        self.assertEqual(StoredVersions(-math.inf, {V1: math.inf, V2: math.inf}), self.stored())
        own = boxes[1]._decider.query(GetVersionHistory()).result()
        self.assertEqual(math.inf, own.known_seconds)

    def test_a_box_that_does_not_rank_first_reads_before_it_writes(self):
        first, second = self.box('box-1', 'v1', math.inf), self.box('box-2', 'v1')
        for box, rank in ((first, 0), (second, 1)):
            box._read()
            box._rank = lambda rank=rank: rank
        calls = self.store.calls.copy()
        for box in (first, second):
            box._write_missing()
        self.assertEqual({'put': 1, 'get': 1}, dict(self.store.calls - calls))
