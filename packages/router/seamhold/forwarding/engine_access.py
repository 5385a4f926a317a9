"""Whether this box itself reaches the engines of each service, as far as it has tried."""

import random
import socket
import threading
from collections.abc import Callable

from seamhold_membership import EngineReach
from seamhold_messages.fleet import Engine, Phase

from ..decider import Decider
from ..logs import logger
from ..metrics import Metrics
from ..probing import Liveness, liveness_at

#: Limit on connecting to an engine to find out whether the box reaches it, in seconds.
PROBE_SECONDS = 0.15
#: Pauses between such attempts, in seconds.
PROBE_PAUSE_SECONDS = 0.2
PROBE_PAUSE_MAX_SECONDS = 0.8
#: Bounds on finding out whether this box reaches any other engine: engines, and seconds.
COMPARED_ENGINES = 16
COMPARE_SECONDS = 0.3


class EngineAccess:
    """Tracks which services this box is cut off from, and finds out when it is."""

    def __init__(
        self,
        decider: Decider,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
    ):
        self._decider = decider
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._log = logger('engine-access')
        self._reach = EngineReach()
        self._lock = threading.Lock()
        self._listed: list[Engine] | None = None
        self._engines: dict[str, Engine] = {}
        self._suspected = threading.Event()
        self._stopped = threading.Event()
        self._prober = threading.Thread(target=self._probe_suspects, name='probe', daemon=True)
        decider.engine_reached_at = self._reach.reached_at

    def start(self) -> None:
        """Start the thread that finds out when engines are reachable again."""
        self._prober.start()

    def stop(self) -> None:
        """Stop that thread."""
        self._stopped.set()
        self._suspected.set()

    # What is known.

    def engine(self, name: str) -> Engine | None:
        """Return a listed engine."""
        return self._by_name().get(name)

    def _by_name(self) -> dict[str, Engine]:
        listed = self._decider.engines.items
        if listed is not self._listed:
            self._engines = {engine.name: engine for engine in listed or ()}
            self._listed = listed
        return self._engines

    def _service_of(self, name: str) -> str:
        engine = self.engine(name)
        return '' if engine is None else engine.service

    def _engines_of(self, service: str) -> list[Engine]:
        """Return the engines of a service that should take connections."""
        return [
            engine
            for engine in self._by_name().values()
            if engine.service == service and engine.phase not in (Phase.LEAVING, Phase.GONE)
        ]

    def is_cut_off(self, engine: str) -> bool:
        """Whether this box reaches no engine of the service of `engine`."""
        service = self._service_of(engine)
        with self._lock:
            if service not in self._reach.suspects:
                return False
            return self._reach.is_cut_off(service, len(self._engines_of(service)))

    def record_connected(self, engine: str) -> None:
        """Record that this box itself connected to an engine."""
        service = self._service_of(engine)
        with self._lock:
            was_suspected = service in self._reach.suspects
            self._reach.record_connected(service, self._clock())
            self._decider.engine_reached_at = self._reach.reached_at
        if was_suspected:
            self._log.info('engines.reached', service=service, engine=engine)

    def record_unreachable(self, engine: str) -> None:
        """Record that this box itself could not connect to an engine."""
        was_cut_off = self.is_cut_off(engine)
        service = self._service_of(engine)
        with self._lock:
            self._reach.record_unreachable(service, engine)
        if not was_cut_off and self.is_cut_off(engine):
            self._metrics.count('engines.cut_off')
            self._log.warning('engines.cut_off', service=service, engine=engine)
        self._suspected.set()

    # Finding out.

    def try_another(self, engine: str) -> None:
        """Connect to another engine of the service, after a connection to `engine` failed.

        The call that finds a cut would have to fail at two engines first otherwise, which is one
        too many where a service has few.
        """
        service = self._service_of(engine)
        with self._lock:
            failed = set(self._reach.unreachable(service))
        others = [other for other in self._engines_of(service) if other.name not in failed]
        if failed and others and not self.is_cut_off(engine):
            other = self._rng.choice(others)
            if not self._probe(other):
                self.record_unreachable(other.name)

    def reaches_others(self, engine: str) -> bool:
        """Whether this box reaches another engine now, or there is no other to tell by."""
        started_at = self._clock()
        others = [other for other in self._by_name().values() if other.name != engine]
        if not others:
            return True
        for other in self._rng.sample(others, min(COMPARED_ENGINES, len(others))):
            if self._reach.reached_at > started_at or self._probe(other):
                return True
            if self._clock() - started_at > COMPARE_SECONDS:
                return False
        return False

    def find_liveness(self, engine: str, address: str) -> Liveness:
        """Return whether the process of an engine at `address` is alive, as far as it shows here.

        A box that was just cut off may be refused by all engines.
        """
        if self.is_cut_off(engine):
            return Liveness.UNKNOWN
        liveness = liveness_at(address)
        if liveness is Liveness.ENDED and not self.reaches_others(engine):
            return Liveness.UNKNOWN
        return liveness

    def _probe(self, engine: Engine) -> bool:
        """Connect to an engine and close the connection; whether it took it."""
        host, _, port = engine.address.rpartition(':')
        try:
            socket.create_connection((host, int(port)), PROBE_SECONDS).close()
        except OSError:
            # Whatever the reason, the box did not reach the engine.
            return False
        self.record_connected(engine.name)
        return True

    def _probe_suspects(self) -> None:
        pause = PROBE_PAUSE_SECONDS
        while not self._stopped.is_set():
            self._suspected.wait()
            with self._lock:
                services = self._reach.suspects
            for service in services:
                engines = self._engines_of(service)
                if engines:
                    self._probe(self._rng.choice(engines))
            with self._lock:
                if not self._reach.suspects and not self._stopped.is_set():
                    self._suspected.clear()
                    pause = PROBE_PAUSE_SECONDS
                    continue
            self._stopped.wait(pause)
            pause = min(PROBE_PAUSE_MAX_SECONDS, 2 * pause)
