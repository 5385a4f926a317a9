"""Stored cases of requests that end engines: what is written and when it is removed."""

import math

import msgspec
import testtools

from seamhold.case_store import ENDS_MAX, CaseStore, from_object, to_object
from seamhold.decider import Decider
from seamhold.decisions import DeciderReport
from seamhold.metrics import Metrics
from seamhold_messages.errors import PlatformConflict
from seamhold_platform import ObjectKind, PlatformClient, PlatformObject
from seamhold_quarantine import Case, EngineEnd
from seamhold_quarantine.case import FIRST_REST_SECONDS, MEMORY_SECONDS
from seamhold_routing import Router
from standins.platform import Platform

KEPT_SECONDS = FIRST_REST_SECONDS + MEMORY_SECONDS
BOXES = ('box-1', 'box-2', 'box-3')
ROSTER = DeciderReport(0, BOXES, (), (), (), {})


def proven(request: str) -> Case:
    """Return the case of a request under which three engines ended, 10 s to 30 s ago."""
    ends = tuple(EngineEnd(number, number == 1, 10.0 * number) for number in range(1, 4))
    return Case(request, 7, 'kitchen', ends)


class TestInvalidCases(testtools.TestCase):
    """Cases of other writers: one that boxes could not send to each other is no case."""

    def test_a_case_that_cannot_be_sent_to_peers_is_invalid(self):
        valid = to_object(proven('odd'), 0.0).spec
        end = valid['ends'][0]
        for changes in (
            {'scope': 'f' * 17},
            {'scope': '-1'},
            {'scope': '\u0661'},
            {'workspace': 'x' * 254},
            {'clears': 2**80},
            {'clears': -1},
            {'cleared_unix_time': math.inf},
            {'ends': [end | {'engine': 'f' * 17}]},
            {'ends': [end | {'unix_time': math.nan}]},
            {'ends': [end] * (ENDS_MAX + 1)},
        ):
            item = PlatformObject('odd', valid | changes)
            self.assertRaises((ValueError, msgspec.ValidationError), from_object, item, 0.0)
        self.assertRaises(ValueError, from_object, PlatformObject('a\ud83d', valid), 0.0)
        self.assertEqual(proven('odd').ends, from_object(PlatformObject('odd', valid), 0.0).ends)


class TestCleaning(testtools.TestCase):
    """Without removal, objects of old cases accumulate, and each start of a box reads them."""

    def setUp(self):
        super().setUp()
        server = Platform()
        server.start()
        self.addCleanup(server.stop)
        self.store = PlatformClient(f'http://127.0.0.1:{server.port}')
        self.addCleanup(self.store.close)

    def keep(self, request: str, version: str = '') -> None:
        self.store.put(ObjectKind.QUARANTINE, to_object(proven(request), 0.0, version))

    def kept(self) -> list[str]:
        return [item.name for item in self.store.list(ObjectKind.QUARANTINE).objects]

    def clean_at(self, unix_time: float) -> None:
        """Run the removal at each box."""
        for box in BOXES:
            decider = Decider(Router(box, 'start'), lambda: 0.0)
            CaseStore(
                box, self.store, decider, lambda: ROSTER, lambda: unix_time, Metrics()
            ).clean()

    def test_an_expired_case_is_removed_by_one_box(self):
        self.keep('old')
        before = self.store.calls.copy()
        self.clean_at(KEPT_SECONDS - 11.0)
        self.assertEqual(['old'], self.kept())
        self.assertEqual(2, self.store.calls['list'] - before['list'])
        self.clean_at(KEPT_SECONDS)
        self.assertEqual([], self.kept())

    def test_the_task_continues_after_a_case_was_dropped_during_its_write(self):
        self.keep('dropped')
        decider = Decider(Router('box-1', 'start'), lambda: 0.0)
        cases = CaseStore('box-1', self.store, decider, lambda: ROSTER, lambda: 0.0, Metrics())
        replies = {'dropped': [proven('dropped'), None], 'kept': [proven('kept')]}
        self.patch(cases, 'merge_objects', lambda objects: None)
        self.patch(cases, '_case', lambda request: replies[request].pop(0))
        cases.start()
        self.addCleanup(cases.stop)
        cases.synchronize_soon('dropped')
        cases.synchronize('kept')
        self.assertEqual(['dropped', 'kept'], sorted(self.kept()))

    def test_an_unreadable_object_stays(self):
        item = to_object(proven('odd'), 0.0)
        self.store.put(ObjectKind.QUARANTINE, type(item)('odd', {'scope': 'x'}))
        self.clean_at(KEPT_SECONDS)
        self.assertEqual(['odd'], self.kept())

    def test_an_object_that_changed_since_it_was_read_stays(self):
        self.keep('changed')
        (item,) = self.store.list(ObjectKind.QUARANTINE).objects
        self.keep('changed', item.version)
        self.assertRaises(
            PlatformConflict,
            self.store.delete,
            ObjectKind.QUARANTINE,
            item.name,
            item.version,
        )
        self.assertEqual(['changed'], self.kept())
