"""What one box believes of the engines around it.

Three sources meet here: the platform's list, which lags; events from peers;
and what the box's own calls met.  `leaving` is sticky per incarnation: no
lagging list brings a leaving engine back, only a new start of it does.
"""

import math
from collections import Counter
from collections.abc import Container

from msgspec import Struct, field
from msgspec.structs import replace

from seamhold_messages.fleet import Engine, Phase
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Suspect

from .suspicion import Suspicion
from .unused import ServiceUse, UnusedReason, service_use

#: The phase of an engine that is unused for a reason; for any other it is a suspect.
PHASE_OF = {UnusedReason.LEAVING: Phase.LEAVING, UnusedReason.EVACUATED: Phase.EVACUATED}
#: Share of its weight a newly seen engine starts with, and the steps to 1.
RISING_STEPS = (0.25, 0.5, 0.75)


def without_other_writers(engines: list[Engine], known: Container[str]) -> list[Engine]:
    """The list without entries of other writers, as far as their starts tell.

    Where most engines of a service tell when they started, one that comes without it is
    none of them; where most do not, the platform does not have it.  One that is `known`
    stays: engines that learn to tell it are replaced one after the other.
    """
    listed = Counter(engine.service for engine in engines)
    told = Counter(engine.service for engine in engines if engine.started)
    return [
        engine
        for engine in engines
        if engine.started
        or engine.name in known
        or 2 * told[engine.service] <= listed[engine.service]
    ]


class _EngineState(Struct):
    engine: Engine
    since: float
    rising: bool = False
    #: Until then it bears few calls a second.
    cold_until: float = -math.inf
    suspicion: Suspicion = field(default_factory=Suspicion)


class Serving(Struct, frozen=True):
    """The engines of a service that may get work, until a time.

    `weights` draw chats: less for an engine that just came.  `cold` engines bear few
    calls a second; they are among `engines`.  `leaving` get no new work, for
    themselves or because their failure domain is evacuated, but still hold what
    they have read.  `avoided` get none either, since calls failed there, but live.
    `unused` tells why, for each listed engine that gets none.
    """

    engines: dict[str, Engine]
    weights: dict[str, float]
    until: float
    leaving: dict[str, Engine] = field(default_factory=dict)
    cold: frozenset[str] = frozenset()
    avoided: dict[str, Engine] = field(default_factory=dict)
    unused: dict[str, UnusedReason] = field(default_factory=dict)

    @property
    def idle(self) -> dict[str, Engine]:
        """The engines that are up and get no new work."""
        return self.leaving | self.avoided


class EngineView:
    """Engines by name with the phase this box gives them.

    `rising_seconds` is how long an engine takes to its full weight after it
    joins; `suspect_seconds` is how long this box avoids an engine after its
    own calls failed there, doubled for each time in a row.  Of the engines of a service
    that live no more than `max_ejection_share` is avoided, or one.  Until
    `outage_until` an engine that drops off the list keeps serving: entries
    lapse while the platform is away, and engines that live write them anew.
    `cold_seconds` is, by service, how long an engine bears less after a start.
    """

    def __init__(self, rising_seconds: float = 10.0, suspect_seconds: float = 2.0):
        self.rising_seconds = rising_seconds
        self.suspect_seconds = suspect_seconds
        self.max_ejection_share = 1.0
        self.outage_until = -math.inf
        self.cold_seconds: dict[str, float] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._states: dict[str, _EngineState] = {}
        #: Engines that dropped off the list in an outage of the platform.
        self._unlisted: set[str] = set()
        self._leaving: dict[str, str] = {}
        self._listed_once = False
        self._serving: dict[str, Serving] = {}

    def set_list(self, engines: list[Engine], now: float) -> None:
        """Take over the platform's list; it may be behind."""
        self._serving.clear()
        engines = without_other_writers(engines, self._states)
        names = {engine.name for engine in engines}
        self._drop(self._replaced(engines, names))
        self._unlisted = set(self._states) - names
        self.drop_unlisted(now)
        for engine in engines:
            self._set_engine(engine, now)
        self._listed_once = True

    def drop_unlisted(self, now: float) -> list[str]:
        """Forget the engines that are off the list, unless an outage explains it.

        Gives their names.
        """
        if not self._unlisted or now < self.outage_until:
            return []
        dropped = sorted(self._unlisted)
        self._drop(dropped)
        self._unlisted.clear()
        self._serving.clear()
        return dropped

    def _drop(self, names: list[str]) -> None:
        for name in names:
            del self._states[name]
            self._leaving.pop(name, None)

    def _replaced(self, engines: list[Engine], names: set[str]) -> list[str]:
        """The engines at whose addresses another has come: no outage excuses them."""
        addresses = {engine.address for engine in engines if engine.name not in self._states}
        return [
            name
            for name, state in self._states.items()
            if name not in names and state.engine.address in addresses
        ]

    def _set_engine(self, engine: Engine, now: float) -> None:
        held = self._states.get(engine.name)
        if engine.phase is Phase.LEAVING:
            self._leaving[engine.name] = engine.incarnation
        if held and held.engine.incarnation == engine.incarnation:
            if engine.cold_seconds != held.engine.cold_seconds:
                held.cold_until = now + engine.cold_seconds
            held.engine = engine
            return
        # All engines of the first list rise together, which is no rise.
        state = _EngineState(engine, now, rising=self._listed_once)
        state.cold_until = now + engine.cold_seconds
        self._states[engine.name] = state

    def set_evacuated(self, domains: frozenset[str], now: float) -> None:
        """Take over which failure domains are evacuated.

        The engines of one that is so no more come back cold, all at once: each is
        taken to be cold from now on, as after a start, until the list says more.
        """
        for state in self._states.values():
            if state.engine.failure_domain in self._evacuated - domains:
                cold_seconds = self.cold_seconds.get(state.engine.service, 0.0)
                state.cold_until = max(state.cold_until, now + cold_seconds)
        self._evacuated = domains
        self._serving.clear()

    def leaving(self, name: str, incarnation: str) -> None:
        """An engine said in so many words, or a peer told so, that it takes no new work."""
        self._leaving[name] = incarnation
        self._serving.clear()

    def failed(self, name: str, now: float, evidence: float = 1.0, answered: bool = False) -> bool:
        """One of this box's calls failed; True if that makes the engine suspect.

        `evidence` is 1 where one call is proof enough; `answered` tells that somebody answers
        at its address all the same.
        """
        state = self._states.get(name)
        if state is None:
            return False
        if not state.suspicion.failed(now, evidence, answered, self.suspect_seconds):
            return False
        self._serving.clear()
        return True

    def answered(self, name: str) -> None:
        """One of this box's calls was answered whole."""
        state = self._states.get(name)
        if state is None:
            return
        if state.suspicion.answered():
            self._serving.clear()

    def eject(self, name: str, now: float) -> bool:
        """The engine fails far more often than its siblings; True if that is new.

        It is avoided for `suspect_seconds`, and longer each time it comes back
        and fails again.
        """
        state = self._states.get(name)
        if state is None or not state.suspicion.eject(now, self.suspect_seconds):
            return False
        self._serving.clear()
        return True

    def suspicion(self, name: str, now: float) -> int:
        """What marks the engine's start if this box's own calls found it failing lately.

        0 if they did not.
        """
        state = self._states.get(name)
        if state is None or not state.suspicion.is_told(now):
            return 0
        return hash32(state.engine.incarnation)

    def reported_failing(self, suspect: Suspect, box: str, now: float) -> bool:
        """Peer `box` told that its calls to the engine fail; True if that is new."""
        state = self._states.get(suspect.engine)
        if state is None or hash32(state.engine.incarnation) != suspect.incarnation_key:
            return False
        is_new = state.suspicion.reported(box, now)
        if is_new:
            self._serving.clear()
        return is_new

    def phase(self, name: str, now: float) -> Phase:
        """The phase this box gives the engine."""
        state = self._states.get(name)
        if state is None or state.engine.phase is Phase.GONE:
            return Phase.GONE
        reason = self._unused_reason(state, now)
        return Phase.LIVE if reason is None else PHASE_OF.get(reason, Phase.SUSPECT)

    def _beyond_ejection_limit(
        self, found: dict[str, Engine], suspects: dict[str, Engine]
    ) -> list[str]:
        """The suspects to use all the same: those whose time is up first.

        Each sign by itself is weak and several add up: without a limit a service whose
        engines all fail a little loses most of them, and the rest is filled above what is
        promised (the panic threshold of the load balancers in the field).  Engines that
        refuse connections are not alive and no part of this.
        """
        suspicions = {name: self._states[name].suspicion for name in suspects}
        alive = [name for name, suspicion in suspicions.items() if not suspicion.unreachable]
        limit = max(1, int(self.max_ejection_share * (len(found) + len(alive))))
        alive.sort(key=lambda name: max(suspicions[name].ends))
        return alive[: max(0, len(alive) - limit)]

    def _unused_reason(self, state: _EngineState, now: float) -> UnusedReason | None:
        """Why a listed engine gets no new work, None if it may get some."""
        engine = state.engine
        if self._leaving.get(engine.name) == engine.incarnation:
            return UnusedReason.LEAVING
        if engine.failure_domain in self._evacuated:
            return UnusedReason.EVACUATED
        return state.suspicion.reason(now)

    def _weight(self, state: _EngineState, now: float) -> float:
        if not state.rising or self.rising_seconds <= 0:
            return state.engine.weight
        age = (now - state.since) / self.rising_seconds
        if age >= 1.0:
            state.rising = False
            return state.engine.weight
        step = RISING_STEPS[min(int(age * len(RISING_STEPS)), len(RISING_STEPS) - 1)]
        return state.engine.weight * step

    def get(self, name: str) -> Engine | None:
        """The engine as listed."""
        state = self._states.get(name)
        return state.engine if state else None

    def at(self, address: str) -> Engine | None:
        """The engine that is listed at an address, None for none."""
        states = self._states.values()
        return next((one.engine for one in states if one.engine.address == address), None)

    def of_service(self, service: str) -> list[str]:
        """The names of a service's engines that take new work or may again."""
        return [
            name
            for name, state in self._states.items()
            if state.engine.service == service
            and self._leaving.get(name) != state.engine.incarnation
        ]

    def use(self, service: str, now: float) -> ServiceUse:
        """How many of a service's engines get new work, and why others do not."""
        serving = self.serving(service, now)
        return service_use(service, len(serving.engines), serving.unused.values())

    def phases(self, now: float) -> dict[str, Phase]:
        """The phase this box gives each listed engine."""
        return {name: self.phase(name, now) for name in self._states}

    def all(self, now: float) -> list[Engine]:
        """Every listed engine with the phase this box gives it."""
        return [
            replace(state.engine, phase=self.phase(name, now))
            for name, state in self._states.items()
        ]

    def serving(self, service: str, now: float) -> Serving:
        """Engines of `service` that may get new work.

        If all are suspect, the suspects serve: a wrong suspicion must not
        stop a service.  An evacuation is no suspicion: where it leaves none,
        none serves.  The same object is given until something changes.
        """
        kept = self._serving.get(service)
        if kept is None or now >= kept.until:
            kept = self._serving[service] = self._work_out(service, now)
        return kept

    def _work_out(self, service: str, now: float) -> Serving:
        found: dict[str, Engine] = {}
        suspects: dict[str, Engine] = {}
        leaving: dict[str, Engine] = {}
        reasons: dict[str, UnusedReason] = {}
        until = math.inf
        for name, state in self._states.items():
            if state.engine.service != service or state.engine.phase is Phase.GONE:
                continue
            reason = self._unused_reason(state, now)
            if reason is None:
                found[name] = state.engine
            else:
                reasons[name] = reason
                out = leaving if reason in PHASE_OF else suspects
                out[name] = state.engine
            until = min(until, self._next_change(state, now))
        found |= {name: suspects[name] for name in self._beyond_ejection_limit(found, suspects)}
        engines = found or suspects
        weights = {name: self._weight(self._states[name], now) for name in engines}
        cold = frozenset(name for name in engines if now < self._states[name].cold_until)
        avoided = {
            name: engine
            for name, engine in suspects.items()
            if name not in engines and not self._states[name].suspicion.unreachable
        }
        unused = {name: reason for name, reason in reasons.items() if name not in engines}
        return Serving(engines, weights, until, leaving, cold, avoided, unused)

    def _next_change(self, state: _EngineState, now: float) -> float:
        """When time alone may change how an engine is treated."""
        times = [*state.suspicion.ends, state.cold_until]
        if state.rising:
            step = self.rising_seconds / len(RISING_STEPS)
            times += [state.since + step * number for number in range(1, len(RISING_STEPS) + 1)]
        return min((time for time in times if time > now), default=math.inf)
