"""The settings tree: schema, inheritance, versions, and operators' edits."""

import io
import random
import time
from typing import Any

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold import settings_follower
from seamhold.context import Environment
from seamhold.core import run
from seamhold.editing import SettingsEditor
from seamhold.metrics import Metrics
from seamhold.settings_follower import SettingsFollower
from seamhold.settings_task import OfferSettings, SettingsTask
from seamhold.status import ExitStatus
from seamhold_messages.errors import PlatformUnavailable, SettingsConflict, SettingsInvalid
from seamhold_platform import ObjectKind, PlatformClient, PlatformObject, client
from seamhold_routing.plans import plan_for
from seamhold_settings import ActiveSettings, Candidate, OfferResult, load_tree, resolve
from seamhold_settings.envelope import REVISION_MAX, Edit, Envelope, first_version
from standins.platform import Platform

TREE = """
fleet:
  policy: {deadline: 30}
  services:
    chat: {kind: model, models: [m], policy: {retries: 1}}
    pay: {kind: plain}
workspaces:
  kitchen:
    policy: {deadline: 20}
    services:
      chat:
        policy: {priority: 0}
        routes:
          assess: {policy: {repeatable: false}}
          assess/draft: {policy: {repeatable: true, deadline: 5}}
      pay: {}
"""


class TestTree(testtools.TestCase):
    def test_each_level_inherits_and_can_override(self):
        tree = load_tree(TREE)
        plain = resolve(tree, 'kitchen', 'chat').policy
        self.assertEqual(
            (20, 1, 0, True), (plain.deadline, plain.retries, plain.priority, plain.repeatable)
        )
        self.assertFalse(resolve(tree, 'kitchen', 'chat', 'assess').policy.repeatable)
        draft = resolve(tree, 'kitchen', 'chat', 'assess/draft/7')
        self.assertEqual(('assess/draft', 5), (draft.route, draft.policy.deadline))
        self.assertIsNone(resolve(tree, 'kitchen', 'other'))
        self.assertIsNone(resolve(tree, 'garden', 'chat'))

    def test_errors_name_the_path(self):
        cases = {
            'fleet: {polcy: {}}': 'fleet.polcy',
            'fleet: {policy: {deadline: -1}}': 'fleet.policy.deadline',
            'fleet: {policy: {deadline: soon}}': 'fleet.policy.deadline',
            'workspaces: {w: {services: {nope: {}}}}': 'workspaces.w.services.nope',
            'workspaces: {w: {keys: [plain]}}': 'workspaces.w.keys.0',
            'fleet: {services: {s: {kind: model}}}': 'fleet.services.s',
            'fleet: {placement: {load_multiple: 1.2, admit_multiple: 1.3}}': 'fleet.placement',
            'fleet: [': 'not YAML',
            '- a': '(top)',
        }
        for text, path in cases.items():
            error = self.assertRaises(SettingsInvalid, load_tree, text)
            self.assertIn(path, error.detail)

    def test_admission_can_be_a_share_of_the_guaranteed_multiple(self):
        for guaranteed in (1.2, 2.0):
            text = f'fleet: {{placement: {{load_multiple: {guaranteed}, admit_share: 0.85}}}}'
            placement = load_tree(text).fleet.placement
            self.assertAlmostEqual(0.85 * guaranteed, placement.admitted_multiple)
            self.assertAlmostEqual(
                0.85 * guaranteed, plan_for(load_tree(text), 's').bound.admit_multiple
            )
        text = 'fleet: {placement: {load_multiple: 1.2, admit_share: 1.1}}'
        self.assertRaises(SettingsInvalid, load_tree, text)

    def test_a_key_belongs_to_one_workspace(self):
        key = 'sha256:' + '0' * 64
        text = f'workspaces: {{a: {{keys: ["{key}"]}}, b: {{keys: ["{key}"]}}}}'
        self.assertRaises(SettingsInvalid, load_tree, text)


def versions(count):
    edits = [f'e{number}' for number in range(1, count + 1)]
    return [
        Candidate('fleet', number, f'e{number}', {}, False, tuple(edits[: number - 1]))
        for number in range(1, count + 1)
    ]


class TestActiveSettings(testtools.TestCase):
    @given(st.permutations(versions(6)), st.permutations(versions(6)))
    def test_updates_in_any_order_converge_and_never_go_back(self, first, second):
        fingerprints = []
        for order in (first, second):
            state = ActiveSettings()
            last = 0
            for candidate in order:
                state.offer(candidate)
                self.assertGreaterEqual(state.revisions()['fleet'], last)
                last = state.revisions()['fleet']
            fingerprints.append(state.fingerprint())
        self.assertEqual(fingerprints[0], fingerprints[1])

    def test_an_invalid_version_keeps_the_last_valid_one_active(self):
        state = ActiveSettings()
        state.offer(Candidate('fleet', 1, 'a', {'policy': {'deadline': 9}}))
        self.assertIs(OfferResult.INVALID, state.offer(Candidate('fleet', 2, 'b', {'nope': 1})))
        self.assertEqual(9, state.tree.fleet.policy.deadline)
        self.assertIn('nope', state.rejected['fleet'])
        self.assertIs(OfferResult.TAKEN, state.offer(Candidate('fleet', 3, 'c', {})))
        self.assertEqual({}, state.rejected)

    def test_an_edit_that_is_no_ancestor_of_the_active_one_is_a_branch(self):
        state = ActiveSettings()
        state.offer(Candidate('fleet', 3, 'c', {}, False, ('a', 'b')))
        self.assertIs(OfferResult.OLDER, state.offer(Candidate('fleet', 2, 'b', {}, False, ('a',))))
        self.assertIs(
            OfferResult.BRANCH, state.offer(Candidate('fleet', 2, 'x', {}, False, ('a',)))
        )


class TestRepair(testtools.TestCase):
    def test_a_newer_version_from_a_peer_is_written_back_to_the_platform(self):
        server = Platform().start()
        self.addCleanup(server.stop)
        platform = PlatformClient(f'http://127.0.0.1:{server.port}')
        editor = SettingsEditor(platform, Environment(), 'cook')
        editor.apply(load_tree(TREE))
        older = platform.get(ObjectKind.SETTINGS, 'fleet')
        first = editor.read()['fleet'].envelope
        edit = Edit('newer', 0.0, 'cook')
        newer = first.next_version(edit, first.value | {'policy': {'deadline': 12}})
        settings_task = SettingsTask(Metrics(), lambda tree: None)
        settings_task.start()
        self.addCleanup(settings_task.stop)
        settings_task.query(OfferSettings([newer.candidate()], 'box-2')).result(5)
        follower = SettingsFollower(
            platform, Metrics(), random.Random(1), settings_task, 'box-1', lambda: ('box-1',)
        )
        follower.on_list([older])
        repaired = editor.read()['fleet'].envelope
        self.assertEqual(
            (2, 'newer', 12),
            (repaired.revision, repaired.edits[-1].id, repaired.value['policy']['deadline']),
        )


class ClientOfLostAnswer(PlatformClient):
    """A client whose first watch gets no answer and ends with its read timeout."""

    watches = 0

    def watch(self, kind, version, seconds=client.WATCH_SECONDS):
        self.watches += 1
        if self.watches == 1:
            time.sleep(seconds + client.WATCH_SLACK_SECONDS)
            raise PlatformUnavailable('watch: read timed out')
        yield from super().watch(kind, version, seconds)


class TestUnansweredWatch(testtools.TestCase):
    #: Within this time of an edit it is in force, in seconds.
    IN_FORCE_SECONDS = 3.0

    def test_edit_is_in_force_soon_after_a_watch_that_was_not_answered(self):
        server = Platform().start()
        self.addCleanup(server.stop)
        platform = ClientOfLostAnswer(f'http://127.0.0.1:{server.port}')
        editor = SettingsEditor(platform, Environment(), 'cook')
        editor.apply(load_tree(TREE))
        settings_task = SettingsTask(Metrics(), lambda tree: None)
        settings_task.start()
        self.addCleanup(settings_task.stop)
        follower = SettingsFollower(
            platform, Metrics(), random.Random(1), settings_task, 'box-1', lambda: ('box-1',)
        )
        follower.start()
        self.addCleanup(follower.stop)
        self.assertTrue(settings_task.ready.wait(5))
        time.sleep(0.3)
        editor.set('fleet.policy.deadline', 44)
        deadline = time.monotonic() + self.IN_FORCE_SECONDS
        while settings_task.snapshot.tree.fleet.policy.deadline != 44:
            self.assertLess(time.monotonic(), deadline, 'the edit is not in force in time')
            time.sleep(0.02)

    def test_watchers_begin_their_watches_at_different_times(self):
        boxes = ('box-1', 'box-2', 'box-3', 'box-4')
        task = SettingsTask(Metrics(), lambda tree: None)
        task.ready.set()
        followers = [
            SettingsFollower(None, Metrics(), random.Random(1), task, box, lambda: boxes)
            for box in boxes
        ]
        watchers = [follower for follower in followers if follower.should_follow()]
        self.patch(settings_follower.time, 'time', lambda: 300.0)
        waits = [follower.next_watch_seconds() for follower in watchers]
        self.assertEqual([1.0, 2.0, 3.0], sorted(waits))


class TestEditing(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.server = Platform().start()
        self.addCleanup(self.server.stop)
        self.url = f'http://127.0.0.1:{self.server.port}'
        self.platform = PlatformClient(self.url)
        self.editor = SettingsEditor(self.platform, Environment(), 'cook')
        self.editor.apply(load_tree(TREE))

    def run_command(self, *arguments):
        environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
        status = run(environment, ['settings', *arguments, '--platform', self.url])
        return status, environment.stdout.getvalue(), environment.stderr.getvalue()

    def test_applying_again_writes_nothing(self):
        applied = self.editor.apply(load_tree(TREE))
        self.assertFalse(any(item.changed for item in applied))

    def test_set_get_and_history(self):
        status, _, _ = self.run_command('set', 'workspaces.kitchen.weight', '3')
        self.assertEqual(ExitStatus.SUCCESS, status)
        self.assertEqual('3', self.run_command('get', 'workspaces.kitchen.weight')[1].strip())
        self.assertEqual(2, len(self.run_command('history', 'workspace.kitchen')[1].splitlines()))

    def test_an_invalid_value_is_rejected_before_it_is_written(self):
        cases = (
            ('fleet.policy.deadline', 'never'),
            ('fleet.nope', '1'),
            ('workspaces.kitchen.services.nope', '{}'),
            ('kitchen', '1'),
        )
        for path, value in cases:
            status, _, error = self.run_command('set', path, value)
            self.assertEqual(ExitStatus.INVALID, status, path)
            self.assertIn('settings_invalid', error)
        self.assertEqual(1, self.editor.read()['fleet'].envelope.revision)

    def test_a_conflict_shows_the_difference(self):
        class LateEditor(SettingsEditor):
            def read(self):
                stored = super().read()
                other.set('fleet.policy.deadline', 44)
                return stored

        other = self.editor
        late = LateEditor(self.platform, Environment(), 'officer')
        error = self.assertRaises(SettingsConflict, late.set, 'fleet.policy.deadline', 55)
        self.assertIn('cook changed it first', error.detail)
        self.assertIn('44', error.detail)

    def test_pruned_objects_stay_deleted(self):
        tree = load_tree(TREE.partition('workspaces:')[0])
        self.editor.apply(tree, prune=True)
        self.assertEqual({}, self.editor.read_tree().workspaces)
        state = ActiveSettings()
        for held in self.editor.read().values():
            state.offer(held.envelope.candidate())
        self.assertEqual({}, state.tree.workspaces)

    def test_exit_statuses_of_commands(self):
        self.assertEqual(ExitStatus.INVALID, self.run_command('check', 'no-such-file')[0])
        self.assertEqual(ExitStatus.INVALID, self.run_command('get', 'fleet.nope')[0])
        self.server.set_faults({'down': True})
        self.assertEqual(ExitStatus.UNAVAILABLE, self.run_command('get')[0])
        environment = Environment(stdout=io.StringIO(), stderr=io.StringIO(), variables={})
        self.assertEqual(ExitStatus.USAGE, run(environment, ['settings', 'get']))
        self.assertIn('--platform', environment.stderr.getvalue())

    def test_an_object_that_is_not_a_settings_object(self):
        self.platform.put(ObjectKind.SETTINGS, PlatformObject('workspace.x', {'nope': 1}))
        status, _, error = self.run_command('get')
        self.assertEqual(ExitStatus.INVALID, status)
        self.assertIn('workspace.x', error)


class TestStoredObjects(testtools.TestCase):
    """Settings objects of other writers in the platform."""

    def test_an_object_that_cannot_be_sent_to_peers_is_invalid(self):
        valid = first_version('fleet', Edit('e', 1.0, 'me'), {'a': 1}).to_spec()
        invalid: tuple[dict[str, Any], ...] = (
            {'revision': REVISION_MAX + 1},
            {'revision': '1'},
            {'edits': [{'id': 7, 'at': 1.0, 'author': 'me'}]},
            {'edits': []},
            {'edits': None},
            {'value': 'text'},
        )
        for changes in invalid:
            self.assertRaises(SettingsInvalid, Envelope.from_spec, 'fleet', valid | changes)
        largest = Envelope.from_spec('fleet', valid | {'revision': REVISION_MAX})
        self.assertEqual((REVISION_MAX, {'a': 1}), (largest.revision, largest.value))
