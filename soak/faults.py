"""Random faults, sequential and overlapping, drawn from one seed."""

import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.fleet import FleetError
from standins.proxy import Mode

from .fleet import SoakFleet

PAUSE_SECONDS = (0.1, 1.2)
DURATION_SECONDS = (0.3, 3.5)
STOP_SECONDS = 25.0
LEAVING_BEFORE_KILL_SECONDS = 5.0
ENGINE_FAULTS = (
    {'fail_500': True},
    {'die_before_first': True},
    {'die_after_tokens': 3},
    {'end_without_done': True},
    {'refuse': True},
    {'first_token_seconds': 1.0},
)
HEALTHY_ENGINE = {
    'fail_500': False,
    'die_before_first': False,
    'die_after_tokens': -1,
    'end_without_done': False,
    'refuse': False,
    'first_token_seconds': 0.0,
}
PLATFORM_FAULTS = (
    {'down': True},
    {'slow': 0.3},
    {'lose_answers': 3},
    {'list_lag': 1.0},
    {'frozen_watch': True},
    {'writes_per_second': 1},
)
HEALTHY_PLATFORM = {
    'down': False,
    'slow': 0.0,
    'lose_answers': 0,
    'list_lag': 0.0,
    'frozen_watch': False,
    'writes_per_second': 100,
}
FAULT_MODES = tuple(mode for mode in Mode if mode is not Mode.PASS)


@dataclass
class Fault:
    """One injected fault; times in unix seconds."""

    kind: str
    subject: str
    started: float
    ended: float = 0.0
    detail: str = ''

    def overlaps(self, started: float, ended: float, slack: float = 0.0) -> bool:
        """Whether the fault overlaps the interval, widened by `slack` seconds on both sides."""
        over = self.ended or float('inf')
        return self.started - slack < ended and started < over + slack


@dataclass
class FaultInjector:
    """Injects random faults and undoes each of them."""

    fleet: SoakFleet
    seed: int
    injected: list[Fault] = field(default_factory=list)
    settings_version: int = 1
    accepted: list[tuple[int, float]] = field(default_factory=list)

    def __post_init__(self):
        self._rng = random.Random(self.seed)
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._busy_targets: set[str] = set()
        self._lock = threading.Lock()
        self._kinds: list[Callable[[Fault, float], None]] = [
            self._kill_box,
            self._stop_box,
            self._freeze,
            self._kill_engine,
            self._engine_leaves,
            self._engine_fails,
            self._engine_link,
            self._platform_link,
            self._platform_fails,
            self._change_settings,
        ]

    def run(self, seconds: float) -> None:
        """Inject faults for `seconds`, several at once, and wait for them to end."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self._stopped.wait(self._rng.uniform(*PAUSE_SECONDS))
            kind = self._rng.choice(self._kinds)
            duration = self._rng.uniform(*DURATION_SECONDS)
            thread = threading.Thread(target=self._inject, args=(kind, duration), daemon=True)
            self._threads.append(thread)
            thread.start()
        for thread in self._threads:
            thread.join(STOP_SECONDS)

    def _inject(self, kind: Callable, duration: float) -> None:
        fault = Fault(kind.__name__.strip('_'), '', time.time())
        try:
            kind(fault, duration)
        except FleetError as error:
            fault.detail = str(error)
        fault.ended = time.time()
        with self._lock:
            if fault.subject in self._busy_targets:
                self._busy_targets.discard(fault.subject)

    def _claim_target(self, fault: Fault, names: list[str]) -> bool:
        """Choose a process that no other fault affects; return False if there is none."""
        with self._lock:
            free = [name for name in names if name not in self._busy_targets]
            if not free:
                return False
            fault.subject = self._rng.choice(free)
            self._busy_targets.add(fault.subject)
            self.injected.append(fault)
        fault.started = time.time()
        return True

    def _kill_box(self, fault: Fault, duration: float) -> None:
        if not self._claim_target(fault, self.fleet.boxes):
            return
        self.fleet.kill(fault.subject)
        time.sleep(duration)
        self._run_box(fault.subject)

    def _stop_box(self, fault: Fault, duration: float) -> None:
        if not self._claim_target(fault, self.fleet.boxes):
            return
        status = self.fleet.terminate(fault.subject, STOP_SECONDS)
        fault.detail = f'exit {status}'
        time.sleep(duration / 4)
        self._run_box(fault.subject)

    def _run_box(self, name: str) -> None:
        self.fleet.run_box(name, self.fleet.processes[name].config)

    def _freeze(self, fault: Fault, duration: float) -> None:
        names = [*self.fleet.boxes, *self.fleet.engines, 'platform']
        if not self._claim_target(fault, names):
            return
        self.fleet.signal(fault.subject, signal.SIGSTOP)
        time.sleep(duration)
        self.fleet.signal(fault.subject, signal.SIGCONT)

    def _kill_engine(self, fault: Fault, duration: float) -> None:
        if not self._claim_target(fault, self.fleet.engines):
            return
        self.fleet.kill(fault.subject)
        time.sleep(duration)
        self.fleet.start_soak_engine(fault.subject)

    def _engine_leaves(self, fault: Fault, duration: float) -> None:
        """List an engine as leaving, kill it, and start a new one under its name."""
        if not self._claim_target(fault, self.fleet.engines):
            return
        self.fleet.update_engine(fault.subject, phase='leaving')
        fault.detail = str(time.time())
        time.sleep(LEAVING_BEFORE_KILL_SECONDS + duration)
        self.fleet.kill(fault.subject)
        self.fleet.start_soak_engine(fault.subject)

    def _engine_fails(self, fault: Fault, duration: float) -> None:
        if not self._claim_target(fault, self.fleet.engines):
            return
        faults = self._rng.choice(ENGINE_FAULTS)
        fault.detail = str(faults)
        self.fleet.faults(fault.subject, **faults)
        time.sleep(duration)
        self.fleet.faults(fault.subject, **HEALTHY_ENGINE)

    def _platform_fails(self, fault: Fault, duration: float) -> None:
        """Inject a fault into the platform itself, for all boxes at once."""
        if not self._claim_target(fault, ['platform']):
            return
        faults = self._rng.choice(PLATFORM_FAULTS)
        fault.detail = str(faults)
        self.fleet.faults('platform', **faults)
        time.sleep(duration)
        self.fleet.faults('platform', **HEALTHY_PLATFORM)

    def _engine_link(self, fault: Fault, duration: float) -> None:
        if self._claim_target(fault, self.fleet.engines):
            self._inject_link_fault(fault, self.fleet.engine_links, duration)

    def _platform_link(self, fault: Fault, duration: float) -> None:
        if self._claim_target(fault, self.fleet.boxes):
            self._inject_link_fault(fault, self.fleet.platform_links, duration)

    def _inject_link_fault(self, fault: Fault, links: dict, duration: float) -> None:
        mode = self._rng.choice(FAULT_MODES)
        fault.detail = mode
        link = links[fault.subject]
        link.set_mode(mode, self._rng.uniform(0.05, 0.5))
        time.sleep(duration)
        link.set_mode(Mode.PASS)

    def _change_settings(self, fault: Fault, duration: float) -> None:
        with self._lock:
            if 'settings' in self._busy_targets:
                return
            self._busy_targets.add('settings')
            fault.subject = 'settings'
            self.injected.append(fault)
        self.settings_version += 1
        # A version that is refused during an outage raises FleetError and is not recorded.
        self.accepted.append(
            (self.settings_version, self.fleet.change_settings(self.settings_version))
        )
