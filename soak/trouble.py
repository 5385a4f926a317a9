"""Random troubles, in series and overlapping, from one seed."""

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
LASTS_SECONDS = (0.3, 3.5)
STOP_SECONDS = 25.0
LEAVES_SECONDS = 5.0
ENGINE_FAULTS = (
    {'fail_500': True},
    {'die_before_first': True},
    {'die_after_tokens': 3},
    {'end_without_done': True},
    {'refuse': True},
    {'first_token_seconds': 1.0},
)
GOOD_ENGINE = {
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
GOOD_PLATFORM = {
    'down': False,
    'slow': 0.0,
    'lose_answers': 0,
    'list_lag': 0.0,
    'frozen_watch': False,
    'writes_per_second': 100,
}
BROKEN_MODES = tuple(mode for mode in Mode if mode is not Mode.PASS)


@dataclass
class Trouble:
    """One trouble that was made; times are in unix seconds."""

    kind: str
    subject: str
    began: float
    ended: float = 0.0
    detail: str = ''

    def touches(self, began: float, ended: float, slack: float = 0.0) -> bool:
        """Whether it lasted at some moment between two times."""
        over = self.ended or float('inf')
        return self.began - slack < ended and began < over + slack


@dataclass
class Troubles:
    """Makes troubles until it is stopped, and heals everything then."""

    fleet: SoakFleet
    seed: int
    made: list[Trouble] = field(default_factory=list)
    settings: int = 1
    accepted: list[tuple[int, float]] = field(default_factory=list)

    def __post_init__(self):
        self._chance = random.Random(self.seed)
        self._stopped = threading.Event()
        self._under_way: list[threading.Thread] = []
        self._busy: set[str] = set()
        self._lock = threading.Lock()
        self._kinds: list[Callable[[Trouble, float], None]] = [
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

    def play(self, seconds: float) -> None:
        """Make troubles for so long; several may last at once."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            self._stopped.wait(self._chance.uniform(*PAUSE_SECONDS))
            kind = self._chance.choice(self._kinds)
            lasts = self._chance.uniform(*LASTS_SECONDS)
            thread = threading.Thread(target=self._make, args=(kind, lasts), daemon=True)
            self._under_way.append(thread)
            thread.start()
        for thread in self._under_way:
            thread.join(STOP_SECONDS)

    def _make(self, kind: Callable, lasts: float) -> None:
        trouble = Trouble(kind.__name__.strip('_'), '', time.time())
        try:
            kind(trouble, lasts)
        except FleetError as error:
            trouble.detail = str(error)
        trouble.ended = time.time()
        with self._lock:
            if trouble.subject in self._busy:
                self._busy.discard(trouble.subject)

    def _take(self, trouble: Trouble, names: list[str]) -> bool:
        """Choose a process that no other trouble ends at the moment."""
        with self._lock:
            free = [name for name in names if name not in self._busy]
            if not free:
                return False
            trouble.subject = self._chance.choice(free)
            self._busy.add(trouble.subject)
            self.made.append(trouble)
        trouble.began = time.time()
        return True

    def _kill_box(self, trouble: Trouble, lasts: float) -> None:
        if not self._take(trouble, self.fleet.boxes):
            return
        self.fleet.kill(trouble.subject)
        time.sleep(lasts)
        self._run_box(trouble.subject)

    def _stop_box(self, trouble: Trouble, lasts: float) -> None:
        if not self._take(trouble, self.fleet.boxes):
            return
        status = self.fleet.terminate(trouble.subject, STOP_SECONDS)
        trouble.detail = f'exit {status}'
        time.sleep(lasts / 4)
        self._run_box(trouble.subject)

    def _run_box(self, name: str) -> None:
        self.fleet.run_box(name, self.fleet.processes[name].config)

    def _freeze(self, trouble: Trouble, lasts: float) -> None:
        names = [*self.fleet.boxes, *self.fleet.engines, 'platform']
        if not self._take(trouble, names):
            return
        self.fleet.signal(trouble.subject, signal.SIGSTOP)
        time.sleep(lasts)
        self.fleet.signal(trouble.subject, signal.SIGCONT)

    def _kill_engine(self, trouble: Trouble, lasts: float) -> None:
        if not self._take(trouble, self.fleet.engines):
            return
        self.fleet.kill(trouble.subject)
        time.sleep(lasts)
        self.fleet.start_soak_engine(trouble.subject)

    def _engine_leaves(self, trouble: Trouble, lasts: float) -> None:
        """Listed as leaving, then ended, then a new one under its name."""
        if not self._take(trouble, self.fleet.engines):
            return
        self.fleet.update_engine(trouble.subject, phase='leaving')
        trouble.detail = str(time.time())
        time.sleep(LEAVES_SECONDS + lasts)
        self.fleet.kill(trouble.subject)
        self.fleet.start_soak_engine(trouble.subject)

    def _engine_fails(self, trouble: Trouble, lasts: float) -> None:
        if not self._take(trouble, self.fleet.engines):
            return
        faults = self._chance.choice(ENGINE_FAULTS)
        trouble.detail = str(faults)
        self.fleet.faults(trouble.subject, **faults)
        time.sleep(lasts)
        self.fleet.faults(trouble.subject, **GOOD_ENGINE)

    def _platform_fails(self, trouble: Trouble, lasts: float) -> None:
        """The store itself misbehaves, for all boxes at once."""
        if not self._take(trouble, ['platform']):
            return
        faults = self._chance.choice(PLATFORM_FAULTS)
        trouble.detail = str(faults)
        self.fleet.faults('platform', **faults)
        time.sleep(lasts)
        self.fleet.faults('platform', **GOOD_PLATFORM)

    def _engine_link(self, trouble: Trouble, lasts: float) -> None:
        if self._take(trouble, self.fleet.engines):
            self._break_link(trouble, self.fleet.engine_links, lasts)

    def _platform_link(self, trouble: Trouble, lasts: float) -> None:
        if self._take(trouble, self.fleet.boxes):
            self._break_link(trouble, self.fleet.platform_links, lasts)

    def _break_link(self, trouble: Trouble, links: dict, lasts: float) -> None:
        mode = self._chance.choice(BROKEN_MODES)
        trouble.detail = mode
        link = links[trouble.subject]
        link.set_mode(mode, self._chance.uniform(0.05, 0.5))
        time.sleep(lasts)
        link.set_mode(Mode.PASS)

    def _change_settings(self, trouble: Trouble, lasts: float) -> None:
        with self._lock:
            if 'settings' in self._busy:
                return
            self._busy.add('settings')
            trouble.subject = 'settings'
            self.made.append(trouble)
        self.settings += 1
        # One that is refused while the platform is away binds nobody.
        self.accepted.append((self.settings, self.fleet.change_settings(self.settings)))
