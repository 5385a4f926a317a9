"""Assembles and runs a box that forwards requests in a platform's dialect."""

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
from ..decisions import (
    GetReport,
    LiftCase,
    RefuseWaiting,
    SetBoxes,
    SetEngines,
    SetEvacuations,
    UseSettings,
)
from ..dialects import find_dialect
from ..engine_uses import EngineUses
from ..gate import Gate
from ..linked_services import LinkedServices
from ..logs import BoundedStream, logger, setup_logs
from ..metrics import Metrics
from ..peering import Peering
from ..ports import Dialect
from ..queue_counts import QueueCounts
from ..runner import Runner
from ..settings_task import SettingsTask
from ..status import ExitStatus
from ..stream_origins import StreamOrigins
from ..stream_records import StreamRecordStore
from ..stream_records_pull import StreamRecordsPull
from ..trials import Trials
from ..version_store import VersionStore
from .backends import BackendConnections
from .box_memory import box_memory_bytes
from .carrier import Carrier
from .engine_access import EngineAccess
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
from .response_buffers import ResponseBuffers
from .tunnels import Tunnels

SPARE_THREADS = 4
POLL_SECONDS = 0.05
STATUS_SECONDS = 1.0
#: The main thread wakes at this interval to run handlers of signals that another thread
#: received, in seconds.
SIGNAL_CHECK_SECONDS = 1.0
#: Limit on writing the last log lines before the process ends, in seconds.
LOG_DRAIN_SECONDS = 0.2
#: Idle connections are closed this long before the end of the drain grace, in seconds.
IDLE_CLOSE_SECONDS = 0.8
#: The share of the drain limit in which requests may still arrive; the rest is left to run them.
READING_SHARE = 0.5


class Order(StrEnum):
    """A request that the platform makes by a signal."""

    STOP = 'stop'
    RELOAD = 'reload'


class ForwardingBox:
    """One box: its tasks, its servers, and its shutdown."""

    def __init__(self, config: BoxConfig, environment: Environment, dialect: Dialect):
        self.config = config
        self.environment = environment
        self.dialect = dialect
        self.incarnation = environment.new_id()
        self.metrics = Metrics(config.statsd)
        self._closed = False
        self._log = logger('box')
        # Signal handlers may put into a SimpleQueue at any point.  They must not set an
        # Event or log: the thread that they interrupt may hold the lock.
        self._orders: queue.SimpleQueue[Order] = queue.SimpleQueue()
        rng = random.Random(self.incarnation)
        clock = environment.monotonic
        self.store = dialect.store(config.platform_url)
        router = Router(config.box, self.incarnation, failure_domain=config.failure_domain)
        router.slots.wait_for_peers()
        self.decider = Decider(router, clock, config.evacuations)
        self.settings_task = SettingsTask(self.metrics, self._settings_changed)
        self.budgets = RetryBudgets(clock)
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
        self.access = EngineAccess(self.decider, clock, self.metrics, rng)
        tunnels = Tunnels(
            config.failure_domain, self.decider, self.peering, clock, self.metrics, rng
        )
        self.backends = BackendConnections(dialect.backends, clock, self.access, tunnels)
        self.cases = CaseStore(
            config.box,
            self.store,
            self.decider,
            lambda: self.peering.roster,
            environment.unix_time,
            self.metrics,
        )
        self.version_store = VersionStore(
            config.box,
            self.store,
            self.decider,
            lambda: self.peering.roster,
            environment.unix_time,
            self.metrics,
            config.first_start,
        )
        trials = Trials(
            config.box, self.decider, self.peering, self.cases, environment, self.metrics
        )
        versions = self.decider.versions
        self.links = LinkedServices(clock)
        self.records = StreamRecordStore(
            config.box, self.peering, versions, self.links, clock, self.metrics
        )
        self.records_pull = StreamRecordsPull(
            config.box, self.peering, self.records, clock, self.metrics
        )
        self.peering.on_roster = self.records_pull.roster_updated
        self.origins = StreamOrigins(
            config.box, self.peering, self.records, versions, self.links, clock, self.metrics
        )
        self.links.on_linked = self.records.services_mixed
        self.decider.on_mixed_versions = self.records.services_mixed
        self.decider.on_changed_versions = self.records.engines_changed
        self.runner = Runner(
            self.decider,
            self.backends,
            self.budgets,
            environment,
            self.metrics,
            trials,
            self.records,
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
        self.decider.on_counts = QueueCounts(self.metrics).record
        self.gate = Gate(config.threads)
        first_state = FirstState(
            self._has_state, self.peering.wait_ready, lambda: self.decider.store_lost, clock
        )
        self.entry = ForwardingEntry(
            dialect.callers,
            self.runner,
            self.gate,
            environment,
            self.metrics,
            first_state.available,
            self.origins,
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
        self.followers = self._followers(rng)
        self.buffers = self._response_buffers()
        self.server = ForwardingServer(
            config.listen, config.threads + SPARE_THREADS, self.entry, self.buffers
        )
        reports = Reports(
            dialect.ready_path, self._is_ready, self._status, self.metrics, self._lift
        )
        self.report_server = ReportServer(config.operator_listen, reports)

    def _response_buffers(self) -> ResponseBuffers | None:
        """Return the buffers of responses, None if the box file gives them no memory."""
        share = self.config.response_buffer_share
        if not share:
            return None
        total = int(share * (self.config.memory_bytes or box_memory_bytes()))
        return ResponseBuffers(
            total,
            self.gate,
            self.environment.monotonic,
            lambda: self.server.timeout,
            self.metrics,
        )

    def _followers(self, rng: random.Random) -> list:
        watch = StoreWatch(self.decider, self._has_state)
        tree = TreeFollower(
            self.store,
            self.metrics,
            rng,
            watch,
            self.settings_task,
            self.dialect.tree_name,
            self.dialect.tree,
            self.config.fleet_defaults(),
        )
        source = ListSource(self.store, self.metrics, rng, watch, self.peering.request_lists)
        engines = VersionedListFollower(
            ObjectKind.ENGINES,
            source,
            self.dialect.engine,
            self._engines_changed,
            lambda: self.decider.engines.items,
            is_update_for_engine,
        )
        # Polling is enough: peers detect a silent box before its list entry changes.
        boxes = PolledListFollower(
            ObjectKind.BOXES,
            source,
            self.dialect.box,
            lambda boxes, version: self.decider.send(SetBoxes(boxes, version)),
            lambda: self.decider.boxes.items,
        )
        cases = CasesFollower(
            self.config.box, self.store, self.cases, self.peering, self.metrics, rng
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
        self.server.head_seconds = bounds.head_seconds
        self.server.max_request_header_size = bounds.head_bytes
        self.entry.body_bytes = bounds.body_bytes
        table = RouteTable(tree)
        # What begins or is taken up by the new routes must find the services linked.
        self.links.set_table(table)
        self.entry.table = table
        self.entry.settings_version = self.settings_task.snapshot.total
        self.budgets.use(tree.fleet.control)
        self.decider.send(UseSettings(tree))

    def _engines_changed(self, engines: list[Engine], version: int) -> None:
        self.decider.send(SetEngines(engines, version))

    def _boxes_changed(self, boxes: list[Box]) -> None:
        self.budgets.set_boxes(len({self.config.box, *(box.name for box in boxes)}))
        self.registration.update_listed(boxes)
        self.peering.update_peers()

    def _has_state(self) -> bool:
        return self.peering.ready

    def _is_ready(self) -> bool:
        return self.peering.ready and not self.gate.draining

    def _lift(self, request: str) -> bool:
        return self.decider.query(LiftCase(request)).result(STATUS_SECONDS)

    def _confirmed_ages(self) -> dict[str, float]:
        """Return the age in seconds of what this box itself reads from the store, by kind."""
        ages = {follower.kind: follower.confirmed_age() for follower in self.followers}
        return {str(kind): round(age, 3) for kind, age in ages.items() if age is not None}

    def _status(self) -> dict:
        report = self.decider.query(GetReport()).result(STATUS_SECONDS)
        self.metrics.gauge('calls_in_flight', report.in_flight)
        self.metrics.gauge('unnamed_objects', self.store.unnamed)
        return {
            'box': self.config.box,
            'ready': self._is_ready(),
            'settings': self.settings_task.snapshot.total,
            'settings_left_out': list(self.settings_task.snapshot.left_out),
            'in_flight': report.in_flight,
            'live_boxes': list(report.live_boxes),
            'engines': [to_builtins(engine) for engine in report.engines],
            'quarantine': [to_builtins(case) for case in report.quarantine],
            'knowledge': to_builtins(report.knowledge) | {'confirmed': self._confirmed_ages()},
            'counts': report.counts,
        }

    def start(self) -> None:
        """Start all tasks and listen; raises OSError if a port is in use."""
        for task in (self.decider, self.settings_task, self.entry.watch, self.entry.read_deadlines):
            task.start()
        if self.buffers is not None:
            self.buffers.start()
        for follower in self.followers:
            follower.start()
        self.peering.start(
            ForwardingPeerHandler(
                self.decider,
                self.settings_task,
                self.peering.holdings,
                Carrier(self.access, self.gate, self.metrics),
                self.records,
                self.records_pull,
                self.origins,
            )
        )
        self.access.start()
        self.registration.start()
        self.cases.start()
        self.version_store.start()
        self.held.start()
        for server in (self.report_server, self.server):
            server.prepare()
            threading.Thread(target=server.serve, daemon=True).start()
        # Objects loaded at the start live as long as the process: never collect them.
        gc.freeze()
        gc.enable()
        self._log.info('box.started', box=self.config.box, incarnation=self.incarnation)

    def request_stop(self) -> None:
        """Begin a planned stop; safe to call from a signal handler."""
        self.gate.draining = True
        self._orders.put(Order.STOP)

    def request_reload(self) -> None:
        """Record the signal that the box file changed; its ports apply only after a restart."""
        self._orders.put(Order.RELOAD)

    def _next_order(self) -> Order:
        while True:
            try:
                return self._orders.get(timeout=SIGNAL_CHECK_SECONDS)
            except queue.Empty:
                # The handler of a signal that another thread received runs now.
                continue

    def wait(self) -> int:
        """Serve until a stop is requested, then drain.

        Returns the number of calls that are cut because drain_limit has passed.
        """
        while self._next_order() is not Order.STOP:
            self._log.info('box.reload_asked')
        self._log.info('box.stop_asked', calls=self.gate.active)
        self.peering.send_leaving()
        # The load balancer first needs time to see that this box is not ready.  Idle
        # connections are closed while requests are still accepted.
        closing = min(IDLE_CLOSE_SECONDS, self.config.drain_grace)
        self.environment.sleep(self.config.drain_grace - closing)
        self.server.expire_idle()
        self.environment.sleep(closing)
        self.gate.close()
        self.decider.send(RefuseWaiting())
        self._drain(READING_SHARE * self.config.drain_limit)
        # What arrives later would be cut as it runs.
        self.entry.read_deadlines.end_all()
        self._drain((1 - READING_SHARE) * self.config.drain_limit)
        cut = self.gate.active
        self._log.info('box.stopped', calls_cut=cut)
        return cut

    def _drain(self, seconds: float) -> None:
        """Wait at most `seconds` until no call is in progress."""
        ends = self.environment.monotonic() + seconds
        while not self._is_done() and self.environment.monotonic() < ends:
            pass

    def _is_done(self) -> bool:
        """Whether no call is in progress and no response is left to send; waits POLL_SECONDS."""
        if not self.gate.wait_empty(POLL_SECONDS):
            return False
        if self.buffers is None or not self.buffers.slow_callers:
            return True
        self.environment.sleep(POLL_SECONDS)
        return False

    def close(self) -> None:
        """Stop all tasks and close all connections, in a process that outlives the box.

        Each box has about fifteen threads, which would otherwise run until the process ends.
        """
        if self._closed:
            return
        self._closed = True
        for server in (self.server, self.report_server):
            server.stop()
        watches = (self.entry.watch, self.entry.read_deadlines)
        parts = (self.access, self.cases, self.version_store, self.held, self.registration)
        if self.buffers is not None:
            parts += (self.buffers,)
        for part in (*self.followers, *parts, *watches):
            part.stop()
        self.peering.stop()
        for task in (self.settings_task, self.decider):
            task.stop()
        self.backends.close()
        self.store.close()


def serve(config: BoxConfig, environment: Environment) -> None:
    """Run a box in this process until a signal requests a stop."""
    logs = BoundedStream(environment.stdout)
    setup_logs(logs, config.log_level)
    box = ForwardingBox(config, environment, find_dialect(config.dialect))
    signal.signal(signal.SIGTERM, lambda *_: box.request_stop())
    signal.signal(signal.SIGINT, lambda *_: box.request_stop())
    signal.signal(signal.SIGHUP, lambda *_: box.request_reload())
    box.start()
    box.wait()
    logs.drain(LOG_DRAIN_SECONDS)
    # A normal exit would wait for threads that still wait on connections.
    os._exit(ExitStatus.SUCCESS)
