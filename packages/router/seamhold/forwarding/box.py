"""Puts together a box that forwards requests in a platform's dialect."""

import gc
import os
import queue
import random
import signal
import threading
from enum import StrEnum

from msgspec import to_builtins

from seamhold_messages.fleet import Box, Engine, is_update_for_engine
from seamhold_platform import ObjectKind
from seamhold_routing import Router
from seamhold_settings import Tree
from seamhold_settings.forwarding import RouteTable

from ..budgets import RetryBudgets
from ..case_store import CaseStore
from ..cases_follower import CasesFollower
from ..config import BoxConfig
from ..context import Environment
from ..decider import Decider
from ..decisions import GetReport, LiftCase, SetBoxes, SetEngines, SetEvacuations, UseSettings
from ..dialects import find_dialect
from ..engine_uses import EngineUses
from ..gate import Gate
from ..logs import BoundedStream, logger, setup_logs
from ..metrics import Metrics
from ..peering import Peering
from ..ports import Dialect
from ..runner import Runner
from ..settings_task import SettingsTask
from ..status import ExitStatus
from ..trials import Trials
from .backends import BackendConnections
from .entry import ForwardingEntry, ForwardingServer
from .first_state import FirstState
from .followers import (
    EvacuationsFollower,
    ListSource,
    PolledListFollower,
    StoreWatch,
    TreeFollower,
    VersionedListFollower,
)
from .held import HeldReader
from .peer_handler import ForwardingPeerHandler
from .registration import Registration
from .reports import Reports, ReportServer

SPARE_THREADS = 4
POLL_SECONDS = 0.05
STATUS_SECONDS = 1.0
#: How often the thread that waits for signals looks whether another took one, in seconds.
SIGNAL_LOOK_SECONDS = 1.0
#: How long the last lines of the logs may take to be written, in seconds.
LOGS_SECONDS = 0.2
#: The last part of the grace in which idle connections are closed.
IDLE_CLOSE_SECONDS = 0.8


class Order(StrEnum):
    """What the platform asks of the process, by signals."""

    STOP = 'stop'
    RELOAD = 'reload'


class ForwardingBox:
    """One box: its tasks, its ports, and its end."""

    def __init__(self, config: BoxConfig, environment: Environment, dialect: Dialect):
        self.config = config
        self.environment = environment
        self.dialect = dialect
        self.incarnation = environment.new_id()
        self.metrics = Metrics(config.statsd)
        self._closed = False
        self._log = logger('box')
        # Signal handlers may put into this queue wherever they break in; an event's
        # lock, or a line for the logs, might be in the hands of the thread they break.
        self._orders: queue.SimpleQueue[Order] = queue.SimpleQueue()
        chance = random.Random(self.incarnation)
        clock = environment.monotonic
        self.store = dialect.store(config.platform_url)
        router = Router(config.box, self.incarnation, failure_domain=config.failure_domain)
        self.decider = Decider(router, clock, config.evacuations)
        self.settings_task = SettingsTask(self.metrics, self._settings_changed)
        self.budgets = RetryBudgets(clock)
        self.backends = BackendConnections(dialect.backends, clock)
        self.peering = Peering(
            config, self.decider, self.settings_task, environment, self.metrics, chance
        )
        self.cases = CaseStore(
            config.box,
            self.store,
            self.decider,
            lambda: self.peering.roster,
            environment.unix_time,
            self.metrics,
        )
        trials = Trials(
            config.box, self.decider, self.peering, self.cases, environment, self.metrics
        )
        self.runner = Runner(
            self.decider, self.backends, self.budgets, environment, self.metrics, trials
        )
        self.registration = Registration(
            Box(config.box, config.peer_listen, config.failure_domain),
            dialect,
            self.store,
            self.metrics,
            clock,
            lambda: self.peering.roster.live_boxes,
        )
        self.decider.on_boxes = self._boxes_changed
        self.decider.on_engine_uses = EngineUses(self.metrics).record
        self.gate = Gate(config.threads)
        first_state = FirstState(
            self._has_state, self.peering.wait_ready, lambda: self.decider.store_lost, clock
        )
        self.entry = ForwardingEntry(
            dialect.callers, self.runner, self.gate, environment, self.metrics, first_state.here
        )
        self.held = HeldReader(
            config.box,
            dialect.backends,
            self.decider,
            lambda: self.settings_task.snapshot.tree,
            self.peering.wait_ready,
            self.peering.holdings,
            lambda: self.peering.roster.live_boxes,
        )
        self.followers = self._followers(chance)
        self.server = ForwardingServer(config.listen, config.threads + SPARE_THREADS, self.entry)
        reports = Reports(
            dialect.ready_path, self._is_ready, self._status, self.metrics, self._lift
        )
        self.report_server = ReportServer(config.operator_listen, reports)

    def _followers(self, chance: random.Random) -> list:
        watch = StoreWatch(self.decider, self._has_state)
        tree = TreeFollower(
            self.store,
            self.metrics,
            chance,
            watch,
            self.settings_task,
            self.dialect.tree,
            self.config.fleet_defaults(),
        )
        source = ListSource(self.store, self.metrics, chance, watch, self.peering.request_lists)
        engines = VersionedListFollower(
            ObjectKind.ENGINES,
            source,
            self.dialect.engine,
            self._engines_changed,
            lambda: self.decider.engines.items,
            is_update_for_engine,
        )
        # Peers notice each other's silence before the list does.
        boxes = PolledListFollower(
            ObjectKind.BOXES,
            source,
            self.dialect.box,
            lambda boxes, version: self.decider.send(SetBoxes(boxes, version)),
            lambda: self.decider.boxes.items,
        )
        cases = CasesFollower(
            self.config.box, self.store, self.cases, self.peering, self.metrics, chance
        )
        followers = [tree, engines, boxes, cases]
        if self.config.evacuations:
            followers.append(self._evacuations_follower(source))
        return followers

    def _evacuations_follower(self, source: ListSource) -> EvacuationsFollower:
        return EvacuationsFollower(
            ObjectKind.EVACUATIONS,
            source,
            self.dialect.evacuation,
            lambda listed, version: self.decider.send(SetEvacuations(listed, version)),
            lambda: self.decider.evacuations.items,
        )

    def _settings_changed(self, tree: Tree) -> None:
        bounds = tree.fleet.caller_bounds
        self.server.timeout = bounds.idle_seconds
        self.server.max_request_header_size = bounds.head_bytes
        self.entry.body_bytes = bounds.body_bytes
        self.entry.table = RouteTable(tree)
        self.entry.settings_version = self.settings_task.snapshot.total
        self.budgets.use(tree.fleet.control)
        self.decider.send(UseSettings(tree))

    def _engines_changed(self, engines: list[Engine], version: int) -> None:
        self.decider.send(SetEngines(engines, version))

    def _boxes_changed(self, boxes: list[Box]) -> None:
        self.budgets.boxes = len(boxes)
        self.registration.boxes_changed(boxes)
        self.peering.update_peers()

    def _has_state(self) -> bool:
        return self.peering.ready

    def _is_ready(self) -> bool:
        return self.peering.ready and not self.gate.draining

    def _lift(self, request: str) -> bool:
        return self.decider.query(LiftCase(request)).result(STATUS_SECONDS)

    def _status(self) -> dict:
        report = self.decider.query(GetReport()).result(STATUS_SECONDS)
        self.metrics.gauge('calls_in_flight', report.in_flight)
        return {
            'box': self.config.box,
            'ready': self._is_ready(),
            'settings': self.settings_task.snapshot.total,
            'in_flight': report.in_flight,
            'live_boxes': list(report.live_boxes),
            'engines': [to_builtins(engine) for engine in report.engines],
            'quarantine': [to_builtins(case) for case in report.quarantine],
            'knowledge': to_builtins(report.knowledge),
            'counts': report.counts,
        }

    # Life and end.

    def start(self) -> None:
        """Start all tasks and listen; raises OSError if a port is taken."""
        for task in (self.decider, self.settings_task, self.entry.watch):
            task.start()
        for follower in self.followers:
            follower.start()
        self.peering.start(
            ForwardingPeerHandler(self.decider, self.settings_task, self.peering.holdings)
        )
        self.registration.start()
        self.cases.start()
        self.held.start()
        for server in (self.report_server, self.server):
            server.prepare()
            threading.Thread(target=server.serve, daemon=True).start()
        # What was loaded at the start lives as long as the process.
        gc.freeze()
        gc.enable()
        self._log.info('box.started', box=self.config.box, incarnation=self.incarnation)

    def request_stop(self) -> None:
        """Begin a planned stop; called by signal handlers too."""
        self.gate.draining = True
        self._orders.put(Order.STOP)

    def note_settings_signal(self) -> None:
        """The box file changed; what it says of ports holds until a restart."""
        self._orders.put(Order.RELOAD)

    def _next_order(self) -> Order:
        while True:
            try:
                return self._orders.get(timeout=SIGNAL_LOOK_SECONDS)
            except queue.Empty:
                # A signal that another thread took runs its handler now.
                continue

    def wait(self) -> int:
        """Serve until a stop is asked for, then leave in good order.

        The number of calls that are cut when the time for it is over.
        """
        while self._next_order() is not Order.STOP:
            self._log.info('box.reload_asked')
        self._log.info('box.stop_asked', calls=self.gate.active)
        self.peering.send_leaving()
        # The balancer needs a moment to see that this box is not ready; then
        # callers that keep connections are sent away while nothing is refused.
        closing = min(IDLE_CLOSE_SECONDS, self.config.drain_grace)
        self.environment.sleep(self.config.drain_grace - closing)
        self.server.expire_idle()
        self.environment.sleep(closing)
        self.gate.close()
        ends = self.environment.monotonic() + self.config.drain_limit
        while not self.gate.wait_empty(POLL_SECONDS) and self.environment.monotonic() < ends:
            pass
        cut = self.gate.active
        self._log.info('box.stopped', calls_cut=cut)
        return cut

    def close(self) -> None:
        """End all tasks and connections, in a process that goes on without this box.

        Each box has some fifteen threads, which would wake for as long as the process lives.
        """
        if self._closed:
            return
        self._closed = True
        for server in (self.server, self.report_server):
            server.stop()
        for part in (*self.followers, self.cases, self.held, self.registration, self.entry.watch):
            part.stop()
        self.peering.stop()
        for task in (self.settings_task, self.decider):
            task.stop()
        self.backends.close()
        self.store.close()


def serve(config: BoxConfig, environment: Environment) -> None:
    """Run a box in this process until it is told to stop."""
    logs = BoundedStream(environment.stdout)
    setup_logs(logs, config.log_level)
    box = ForwardingBox(config, environment, find_dialect(config.dialect))
    signal.signal(signal.SIGTERM, lambda *_: box.request_stop())
    signal.signal(signal.SIGINT, lambda *_: box.request_stop())
    signal.signal(signal.SIGHUP, lambda *_: box.note_settings_signal())
    box.start()
    box.wait()
    logs.drain(LOGS_SECONDS)
    # Threads wait on connections that nobody needs any more.
    os._exit(ExitStatus.SUCCESS)
