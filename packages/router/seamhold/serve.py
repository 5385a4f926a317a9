"""Puts one box together, runs it, and stops it in good order."""

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
from .case_store import CaseStore
from .cases_follower import CasesFollower
from .claims import ClaimWriter
from .config import BoxConfig
from .context import Environment
from .decider import Decider
from .decisions import SetBoxes, SetEngines, UseSettings
from .desk import CallDesk
from .engine_uses import EngineUses
from .engines import EngineClient
from .entry import SPARE_THREADS, Entry, entry_application
from .gate import Gate
from .keeper import SettingsKeeper
from .list_follower import ListFollower, box_from, engine_from
from .logs import logger
from .metrics import Metrics
from .operators import Operators, operator_application
from .pages import make_server, quiet_cherrypy
from .peer_calls import PeerCalls
from .peer_handler import BoxPeerHandler
from .peering import Peering
from .runner import Runner
from .settings_follower import SettingsFollower
from .status import ExitStatus
from .tickets import TicketDesk
from .trials import Trials

OPERATOR_THREADS = 4
SIGNALS = (signal.SIGTERM, signal.SIGINT)


class BoxProcess:
    """One router box: its tasks, its three ports, and its end."""

    def __init__(self, config: BoxConfig, environment: Environment):
        self.config = config
        self.environment = environment
        self.incarnation = environment.fresh_id()
        self.metrics = Metrics(config.statsd)
        self._log = logger('box')
        self._stopping = threading.Event()
        self._stops_wanted = 0
        chance = random.Random(self.incarnation)
        clock = environment.monotonic
        self.platform = PlatformClient(config.platform_url)
        self.decider = Decider(Router(config.box, self.incarnation), clock)
        self.decider.on_engine_uses = EngineUses(self.metrics).note
        self.keeper = SettingsKeeper(self.metrics, self._settings_changed)
        self.claims = ClaimWriter(self.platform, environment, self.metrics, self._control)
        self.tickets = TicketDesk(TicketStore(config.box, self.incarnation), clock)
        self.budgets = RetryBudgets(clock)
        self.engines = EngineClient()
        self.peering = Peering(config, self.decider, self.keeper, environment, self.metrics, chance)
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
        self.desk = CallDesk(
            config.box,
            self.incarnation,
            self.keeper,
            runner,
            self.tickets,
            self.claims,
            peers,
            environment,
            self.metrics,
        )
        self.peer_handler = BoxPeerHandler(
            self.peering, self.decider, self.keeper, self.claims, self.desk.answer_relayed
        )
        self.followers = self._followers(chance)
        self.gate = Gate(config.threads)
        self._servers = self._make_servers()

    def _followers(self, chance: random.Random) -> list:
        lists = [
            ListFollower(
                ObjectKind.ENGINES,
                self.platform,
                self.metrics,
                chance,
                engine_from,
                lambda engines: self.decider.send(SetEngines(engines)),
            ),
            ListFollower(
                ObjectKind.BOXES,
                self.platform,
                self.metrics,
                chance,
                box_from,
                self._boxes_changed,
            ),
        ]
        settings = SettingsFollower(
            self.platform,
            self.metrics,
            chance,
            self.keeper,
            self.config.box,
            lambda: self.peering.roster.live_boxes,
        )
        cases = CasesFollower(
            self.config.box, self.platform, self.cases, self.peering, self.metrics, chance
        )
        return [settings, cases, *lists]

    def _make_servers(self) -> list:
        entry = Entry(
            self.desk, self.gate, self.environment, self.metrics, lambda: self.peering.ready
        )
        operators = Operators(
            self.config,
            self.incarnation,
            self.decider,
            self.keeper,
            self.peering,
            self.gate,
            self.metrics,
            self.ask_stop,
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
        self.budgets.boxes = len(boxes)
        self.peering.boxes_changed()

    def _control(self) -> Control:
        return self.keeper.snapshot.tree.fleet.control

    # Life and end.

    def start(self) -> None:
        """Start all tasks and listen; raises OSError if a port is taken."""
        quiet_cherrypy()
        for task in (self.decider, self.keeper, self.claims, self.tickets):
            task.start()
        self.peering.start(self.peer_handler)
        for follower in [*self.followers, self.cases]:
            follower.start()
        for server in self._servers:
            server.prepare()
            threading.Thread(target=server.serve, daemon=True).start()
        self._log.info('box.started', box=self.config.box, incarnation=self.incarnation)

    def ask_stop(self) -> None:
        """Begin a planned stop; a second ask cuts what is in flight."""
        self._stops_wanted += 1
        self._stopping.set()

    def wait(self) -> int:
        """Serve until a stop is asked for, then leave in good order.

        The number of calls that are cut: none, unless a second stop was
        asked for or the limit has passed.
        """
        self._stopping.wait()
        self._log.info('box.draining', calls=self.gate.active)
        self.gate.draining = True
        self.peering.tell_leaving()
        # The balancer needs a moment to see that this box is not ready.
        self._wait_unless_cut(self.config.drain_grace, until_empty=False)
        self.gate.close()
        self._wait_unless_cut(self.config.drain_limit, until_empty=True)
        cut = self.gate.active
        self._log.info('box.stopped', calls_cut=cut)
        if not cut:
            self._shut()
        return cut

    def _wait_unless_cut(self, seconds: float, until_empty: bool) -> None:
        ends = self.environment.monotonic() + seconds
        while self._stops_wanted < 2 and self.environment.monotonic() < ends:
            if self.gate.wait_empty(0.1) and until_empty:
                return
            if not until_empty:
                self.environment.sleep(0.05)

    def _shut(self) -> None:
        for server in self._servers:
            server.stop()
        for follower in [*self.followers, self.cases]:
            follower.stop()
        self.peer_handler.stop()
        self.peering.stop()
        for task in (self.claims, self.tickets, self.keeper, self.decider):
            task.stop()
        self.engines.close()
        self.platform.close()


def serve(config: BoxConfig, environment: Environment) -> None:
    """Run a box in this process until it is told to stop."""
    process = BoxProcess(config, environment)
    for number in SIGNALS:
        signal.signal(number, lambda *_: process.ask_stop())
    process.start()
    if process.wait():
        # Threads that still write would keep the process alive.
        os._exit(ExitStatus.ERROR)
