"""Prompt parts under which engines end: what is blamed, what is refused, what is cleared."""

import testtools
from msgspec.structs import replace

from seamhold.case_store import from_object, to_object
from seamhold_quarantine import (
    EndReport,
    EngineEnd,
    Quarantine,
    RecentRuns,
    RequestIdentity,
    Standing,
    TrialRequest,
    TrialResult,
    Verdict,
)
from seamhold_quarantine.identity import PARTS_MAX
from seamhold_quarantine.quarantine import CASES_MAX

SHARED, BAD = 'shared', 'bad'


def identity(number: int, *parts: str, workspace: str = 'kitchen') -> RequestIdentity:
    """Return one of several requests that differ in path and body."""
    return RequestIdentity(workspace, 'cooks.example', 'POST', f'/{number}', b'%d' % number, parts)


def digest(part: str) -> str:
    return identity(0, part).features[1].digest


class Box(testtools.TestCase):
    """One box's quarantine, to which ends under whole requests are reported."""

    def setUp(self):
        super().setUp()
        self.quarantine = Quarantine()

    def end(self, engine: int, request: RequestIdentity, on_trial: bool = False) -> None:
        names = request.feature_digests
        blamed = self.quarantine.most_suspect(names, 0.0) if on_trial else ()
        for feature in request.features:
            tried = feature.digest in blamed
            partners = frozenset(blamed) - {feature.digest} if tried else frozenset()
            end = EngineEnd(engine, tried, partners=partners)
            report = EndReport(feature.digest, feature.scope, request.workspace, end, feature.part)
            self.quarantine.record_end(report, 0.0)

    def standing(self, request: RequestIdentity) -> Standing:
        names = request.feature_digests
        blamed = self.quarantine.most_suspect(names, 0.0)
        if not blamed:
            return Standing.CLEAR
        return self.quarantine.standing(blamed[0], 0.0, names)

    def succeed(self, request: RequestIdentity) -> None:
        for name in request.feature_digests:
            result = TrialResult(name, '', True, request.feature_digests)
            self.quarantine.record_trial_result(result, 1.0)


class TestBlame(Box):
    def test_requests_that_share_a_part_add_up(self):
        self.end(1, identity(1, BAD))
        self.assertIs(Standing.CLEAR, self.standing(identity(9, BAD)))
        self.end(2, identity(2, BAD))
        self.assertIs(Standing.SUSPECT, self.standing(identity(9, BAD)))
        self.end(3, identity(3, BAD), on_trial=True)
        self.assertIs(Standing.QUARANTINED, self.standing(identity(9, BAD)))
        self.assertIs(Standing.CLEAR, self.standing(identity(9, SHARED)))

    def test_another_workspace_is_not_blamed(self):
        for engine in range(4):
            self.end(engine, identity(engine, BAD), on_trial=engine > 1)
        self.assertIs(Standing.CLEAR, self.standing(identity(9, BAD, workspace='office')))

    def test_a_part_in_all_of_them_is_refused_only_beside_the_others(self):
        for engine in range(4):
            self.end(engine, identity(engine, SHARED, BAD), on_trial=engine > 1)
        self.assertIs(Standing.QUARANTINED, self.standing(identity(9, SHARED, BAD)))
        self.assertIs(Standing.SUSPECT, self.standing(identity(9, SHARED)))
        self.succeed(identity(9, SHARED))
        self.assertIs(Standing.CLEAR, self.standing(identity(9, SHARED)))
        self.assertIs(Standing.QUARANTINED, self.standing(identity(9, SHARED, BAD)))

    def test_a_trial_without_the_partner_proves_the_part(self):
        for engine in range(3):
            self.end(engine, identity(engine, SHARED, BAD), on_trial=engine > 1)
        self.assertIs(Standing.SUSPECT, self.standing(identity(9, BAD)))
        self.end(9, identity(9, BAD), on_trial=True)
        self.assertIs(Standing.QUARANTINED, self.standing(identity(10, BAD)))
        self.assertIs(Standing.CLEAR, self.standing(identity(10, SHARED)), 'the ends are explained')

    def test_a_success_clears_a_part_and_leaves_the_other_suspect(self):
        for engine in range(2):
            self.end(engine, identity(engine, SHARED, BAD))
        self.succeed(identity(9, SHARED))
        self.assertIs(Standing.CLEAR, self.standing(identity(10, SHARED)))
        self.assertEqual(
            (digest(BAD),),
            self.quarantine.most_suspect(identity(10, SHARED, BAD).feature_digests, 0.0),
        )

    def test_a_request_on_trial_waits_for_another_with_the_same_part(self):
        for engine in range(2):
            self.end(engine, identity(engine, BAD))
        first, second = (
            TrialRequest(digest(BAD), str(number), 5.0, identity(number, BAD).feature_digests)
            for number in (3, 4)
        )
        self.assertIs(Verdict.RUN_ALONE, self.quarantine.request_trial(first, 0.0).verdict)
        self.assertIs(Verdict.WAIT, self.quarantine.request_trial(second, 0.0).verdict)

    def test_parts_are_found_by_their_scope(self):
        for engine in range(2):
            self.end(engine, identity(engine, BAD))
        self.assertIn(identity(9, SHARED, BAD).scopes[2], self.quarantine.scopes)
        self.assertTrue(self.quarantine.scopes.isdisjoint(identity(9, SHARED).scopes))

    def test_partners_converge_whatever_the_order_of_merges(self):
        ends = [
            EngineEnd(7, True, partners=frozenset('ab')),
            EngineEnd(7, True, partners=frozenset('bc')),
            EngineEnd(7),
        ]
        boxes = []
        for order in (ends, ends[::-1], [ends[1], ends[2], ends[0]]):
            box = Quarantine()
            for end in [*order, EngineEnd(8)]:
                box.record_end(EndReport('r', 1, 'kitchen', end), 0.0)
            boxes.append(box)
        self.assertEqual(1, len({box.fingerprint for box in boxes}))
        (case,) = boxes[0].shared_cases(0.0)
        merged = {end.engine: end.partners for end in case.ends}
        self.assertEqual(frozenset('b'), merged[7])

    def test_a_case_of_a_part_survives_the_store(self):
        for engine in range(3):
            self.end(engine, identity(engine, SHARED, BAD), on_trial=engine > 1)
        (case,) = (one for one in self.quarantine.shared_cases(0.0) if one.part == BAD)
        self.assertEqual(digest(BAD), case.request)
        self.assertEqual(case, from_object(to_object(case, 100.0), 100.0))

    def test_ends_a_minute_apart_add_up(self):
        for number in range(3):
            at = 60.0 * number
            end = EngineEnd(number, on_trial=number == 2)
            self.quarantine.record_end(EndReport(digest(BAD), 1, 'kitchen', end, BAD), at)
        self.assertIs(Standing.QUARANTINED, self.quarantine.standing(digest(BAD), 121.0))

    def test_a_flood_of_fresh_parts_pushes_out_no_other_workspaces_case(self):
        for engine in range(3):
            self.end(engine, identity(engine, BAD), on_trial=engine > 1)
        for number in range(2 * CASES_MAX):
            flood = identity(number, f'fresh-{number}', workspace='office')
            self.end(number, flood)
        self.assertIs(Standing.QUARANTINED, self.standing(identity(9, BAD)))
        self.assertLessEqual(len(self.quarantine._cases), CASES_MAX)


class TestIdentityOfParts(testtools.TestCase):
    def test_a_part_is_not_mistaken_for_a_request_or_another_part(self):
        names = {feature.digest for feature in identity(1, 'a', 'b', 'ab').features}
        self.assertEqual(4, len(names))

    def test_a_flood_of_parts_is_cut(self):
        many = identity(1, *map(str, range(10 * PARTS_MAX)))
        self.assertEqual(1 + PARTS_MAX, len(many.features))
        self.assertEqual(len(many.features), len(many.scopes))

    def test_a_repeated_part_counts_once(self):
        self.assertEqual(2, len(identity(1, 'a', 'a').features))


class TestRecentParts(testtools.TestCase):
    def test_a_part_that_just_succeeded_elsewhere_is_excused(self):
        runs = RecentRuns()
        runs.record_success(identity(1, SHARED), 1.0)
        excused = runs.excused_features(identity(2, SHARED, BAD), 2.0)
        self.assertEqual([SHARED], [feature.part for feature in excused])
        self.assertEqual([], runs.excused_features(replace(identity(2), workspace='office'), 2.0))
