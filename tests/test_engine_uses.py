"""Logs and gauges of engines that get no new calls."""

import io
import json

import testtools

from seamhold.engine_uses import EngineUses
from seamhold.logs import setup_logs
from seamhold.metrics import Metrics
from seamhold_membership import EngineView, UnusedReason
from seamhold_messages.fleet import Engine, Phase
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Suspect

SERVICE = 'llm'


def view_of(*phases: Phase) -> EngineView:
    view = EngineView()
    names = [f'e{number}' for number in range(len(phases))]
    view.set_list(
        [
            Engine(name, SERVICE, f'{name}:1', name, '1', phase=phase)
            for name, phase in zip(names, phases, strict=True)
        ],
        0.0,
    )
    return view


class TestUnusedEngines(testtools.TestCase):
    def test_each_reason_is_counted(self):
        view = view_of(Phase.LEAVING, *[Phase.LIVE] * 7)
        view.set_evacuated(frozenset({'e1'}), 0.0)
        view.record_failure('e2', 0.0)
        view.record_failure('e3', 0.0, 0.5)
        view.record_failure('e3', 0.0, 0.5)
        view.eject('e4', 0.0)
        for box in ('a', 'b', 'c'):
            view.record_peer_suspicion(Suspect('e5', hash32('1')), box, 0.0)
        view.mark_resting('e6', 5.0, 0.0)
        use = view.service_use(SERVICE, 0.1)
        self.assertEqual(1, use.used)
        self.assertEqual(dict.fromkeys(UnusedReason, 1), use.unused)

    def test_suspects_that_serve_for_lack_of_other_engines_are_in_use(self):
        view = view_of(Phase.LIVE)
        view.record_failure('e0', 0.0)
        self.assertEqual(
            (1, {}), (view.service_use(SERVICE, 0.1).used, view.service_use(SERVICE, 0.1).unused)
        )


class TestEngineUseReports(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.logs = io.StringIO()
        setup_logs(self.logs)
        self.metrics = Metrics()
        self.uses = EngineUses(self.metrics)

    def record(self, *phases: Phase) -> None:
        self.uses.record([view_of(*phases).service_use(SERVICE, 0.0)])

    def test_a_service_is_logged_once_above_a_third_unused_and_once_when_below_again(self):
        for _ in range(2):
            self.record(Phase.LEAVING, Phase.LEAVING, Phase.LIVE)
        self.record(Phase.LEAVING, Phase.LIVE, Phase.LIVE)
        lines = [json.loads(line) for line in self.logs.getvalue().splitlines()]
        self.assertEqual([True, False], [line['above_share'] for line in lines])
        self.assertEqual((1, {'leaving': 2}), (lines[0]['used'], lines[0]['unused']))

    def test_the_metrics_page_has_a_gauge_for_each_reason(self):
        self.record(Phase.LEAVING, Phase.LIVE)
        page = self.metrics.page().decode()
        self.assertIn('seamhold_engines{service="llm",use="in_use"} 1.0', page)
        self.assertIn('seamhold_engines{service="llm",use="leaving"} 1.0', page)
        self.assertIn('seamhold_engines{service="llm",use="outlier"} 0.0', page)
