"""Assembles one box, runs it, and shuts it down gracefully."""

import os
import random
import signal
import threading

from seamhold_attempts.tickets import TicketStore
from seamhold_messages.fleet import Box
from seamhold_platform import ObjectKind, PlatformClient
from seamhold_routing import Router
from seamhold_settings import Tree
from seamhold_settings.schema import Control

from .budgets import RetryBudgets
from .call_handler import CallHandler
from .case_store import CaseStore
from .cases_follower import CasesFollower
from .claims import ClaimWriter
from .config import BoxConfig
from .context import Environment
from .decider import Decider
from .decisions import RefuseWaiting, SetBoxes, SetEngines, UseSettings
from .engine_uses import EngineUses
from .engines import EngineClient
from .entry import SPARE_THREADS, Entry, entry_application
from .gate import Gate
from .list_follower import ListFollower, box_from, engine_from
from .logs import logger, unnamed_object_log
from .metrics import Metrics
from .operators import Operators, operator_application
from .pages import make_server, quiet_cherrypy
from .peer_calls import PeerCalls
from .peer_handler import BoxPeerHandler
from .peering import Peering
from .queue_counts import QueueCounts
from .runner import Runner
from .settings_follower import SettingsFollower
from .settings_task import SettingsTask
from .status import ExitStatus
from .tickets import TicketTask
from .trials import Trials

OPERATOR_THREADS = 4
SIGNALS = (signal.SIGTERM, signal.SIGINT)


class BoxProcess:
    """One router box: its tasks, its three ports, and its shutdown."""

    def __init__(self, config: BoxConfig, environment: Environment):
        self.config = config
        self.environment = environment
        self.incarnation = environment.new_id()
        self.metrics = Metrics(config.statsd)
        self._log = logger('box')
        self._stopping = threading.Event()
        self._stop_requests = 0
        rng = random.Random(self.incarnation)
        clock = environment.monotonic
        self.platform = PlatformClient(
            config.platform_url, on_unnamed=unnamed_object_log('platform'), clock=clock
        )
        router = Router(config.box, self.incarnation)
        router.slots.wait_for_peers()
        self.decider = Decider(router, clock)
        self.decider.on_engine_uses = EngineUses(self.metrics).record
        self.decider.on_counts = QueueCounts(self.metrics).record
        self.settings_task = SettingsTask(self.metrics, self._settings_changed)
        self.claims = ClaimWriter(self.platform, environment, self.metrics, self._control)
        self.tickets = TicketTask(TicketStore(config.box, self.incarnation), clock)
        self.budgets = RetryBudgets(clock)
        self.engines = EngineClient()
        self.peering = Peering(
            config,
            self.decider,
            self.settings_task,
            environment,
            self.metrics,
            rng,
            self.budgets,
            self.incarnation,
        )
        self.cases = CaseStore(
            config.box,
            self.platform,
            self.decider,
            lambda: self.peering.roster,
            environment.unix_time,
            self.metrics,
        )
        trials = Trials(
            config.box, self.decider, self.peering, self.cases, environment, self.metrics
        )
        runner = Runner(self.decider, self.engines, self.budgets, environment, self.metrics, trials)
        peers = PeerCalls(config.box, self.peering, self.claims, self.metrics)
        self.call_handler = CallHandler(
            config.box,
            self.incarnation,
            self.settings_task,
            runner,
            self.tickets,
            self.claims,
            peers,
            environment,
            self.metrics,
        )
        self.peer_handler = BoxPeerHandler(
            self.peering,
            self.decider,
            self.settings_task,
            self.claims,
            self.call_handler.answer_relayed,
        )
        self.followers = self._followers(rng)
        self.gate = Gate(config.threads)
        self._servers = self._make_servers()

    def _followers(self, rng: random.Random) -> list:
        lists = [
            ListFollower(
                ObjectKind.ENGINES,
                self.platform,
                self.metrics,
                rng,
                engine_from,
                lambda engines: self.decider.send(SetEngines(engines)),
            ),
            ListFollower(
                ObjectKind.BOXES,
                self.platform,
                self.metrics,
                rng,
                box_from,
                self._boxes_changed,
            ),
        ]
        settings = SettingsFollower(
            self.platform,
            self.metrics,
            rng,
            self.settings_task,
            self.config.box,
            lambda: self.peering.roster.live_boxes,
            lambda: ObjectKind.SETTINGS in self.decider.lagging,
        )
        cases = CasesFollower(
            self.config.box, self.platform, self.cases, self.peering, self.metrics, rng
        )
        return [settings, cases, *lists]

    def _make_servers(self) -> list:
        entry = Entry(
            self.call_handler, self.gate, self.environment, self.metrics, lambda: self.peering.ready
        )
        operators = Operators(
            self.config,
            self.incarnation,
            self.decider,
            self.settings_task,
            self.peering,
            self.gate,
            self.metrics,
            self.request_stop,
        )
        return [
            make_server(
                self.config.listen,
                entry_application(entry),
                self.config.threads + SPARE_THREADS,
                self.config.reuse_port,
            ),
            make_server(
                self.config.operator_listen, operator_application(operators), OPERATOR_THREADS
            ),
        ]

    def _settings_changed(self, tree: Tree) -> None:
        self.budgets.use(tree.fleet.control)
        self.decider.send(UseSettings(tree))

    def _boxes_changed(self, boxes: list[Box]) -> None:
        self.decider.send(SetBoxes(boxes))
        self.budgets.set_boxes(len({self.config.box, *(box.name for box in boxes)}))
        self.peering.update_peers()

    def _control(self) -> Control:
        return self.settings_task.snapshot.tree.fleet.control

    # Start and stop.

    def start(self) -> None:
        """Start all tasks and listen; raises OSError if a port is in use."""
        quiet_cherrypy()
        for task in (self.decider, self.settings_task, self.claims, self.tickets):
            task.start()
        self.peering.start(self.peer_handler)
        for follower in [*self.followers, self.cases]:
            follower.start()
        for server in self._servers:
            server.prepare()
            threading.Thread(target=server.serve, daemon=True).start()
        self._log.info('box.started', box=self.config.box, incarnation=self.incarnation)

    def request_stop(self) -> None:
        """Start a planned stop; a second request cuts the calls in flight."""
        self._stop_requests += 1
        self._stopping.set()

    def wait(self) -> int:
        """Serve until a stop is requested, then shut down gracefully.

        Returns the number of calls that were cut: 0, unless a second stop was
        requested or `drain_limit` has passed.
        """
        self._stopping.wait()
        self._log.info('box.draining', calls=self.gate.active)
        self.gate.draining = True
        self.peering.send_leaving()
        # The load balancer needs time to notice that this box is not ready.
        self._wait_unless_cut(self.config.drain_grace, until_empty=False)
        self.gate.close()
        self.decider.send(RefuseWaiting())
        self._wait_unless_cut(self.config.drain_limit, until_empty=True)
        cut = self.gate.active
        self._log.info('box.stopped', calls_cut=cut)
        if not cut:
            self._close()
        return cut

    def _wait_unless_cut(self, seconds: float, until_empty: bool) -> None:
        deadline = self.environment.monotonic() + seconds
        while self._stop_requests < 2 and self.environment.monotonic() < deadline:
            if self.gate.wait_empty(0.1) and until_empty:
                return
            if not until_empty:
                self.environment.sleep(0.05)

    def _close(self) -> None:
        for server in self._servers:
            server.stop()
        for follower in [*self.followers, self.cases]:
            follower.stop()
        self.peer_handler.stop()
        self.peering.stop()
        for task in (self.claims, self.tickets, self.settings_task, self.decider):
            task.stop()
        self.engines.close()
        self.platform.close()


def serve(config: BoxConfig, environment: Environment) -> None:
    """Run a box in this process until a signal or an operator stops it."""
    process = BoxProcess(config, environment)
    for number in SIGNALS:
        signal.signal(number, lambda *_: process.request_stop())
    process.start()
    if process.wait():
        # Threads that still send answers would keep the process alive.
        os._exit(ExitStatus.ERROR)
