"""What a box assumes about engines.

The view combines three sources: the platform's list, which lags; events and reports from peers;
and the outcomes of the box's own calls.  `leaving` is sticky per incarnation: a lagging list
does not bring a leaving engine back, only a new start of the engine does.
"""

import math

from msgspec import Struct, field
from msgspec.structs import replace

from seamhold_messages.fleet import Engine, Phase
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Suspect

from .foreign_entries import without_foreign_entries
from .self_reports import BRITTLE_SECONDS, SelfReports
from .suspicion import Suspicion
from .unused import ServiceUse, UnusedReason, service_use

#: The phase of an engine by why it is unused; any other reason makes it a suspect.
PHASE_OF = {
    UnusedReason.LEAVING: Phase.LEAVING,
    UnusedReason.EVACUATED: Phase.EVACUATED,
    UnusedReason.RESTING: Phase.LIVE,
}
#: Why an engine gets no new work although no call to it failed.
UNUSED_BY_PLAN = frozenset({UnusedReason.LEAVING, UnusedReason.EVACUATED})
#: Slow start: the shares of its weight that a newly seen engine gets, step by step, before 1.
RISING_STEPS = (0.25, 0.5, 0.75)
#: A service without any new sign counts as brittle for at most this long after the last sign,
#: in seconds: by then a box that is cut off from the others is listed no longer.
KEEP_BRITTLE_SECONDS = 60.0


class _EngineState(Struct):
    engine: Engine
    first_seen: float
    rising: bool = False
    #: Until then the engine sustains only a few calls per second.
    cold_until: float = -math.inf
    suspicion: Suspicion = field(default_factory=Suspicion)


class Serving(Struct, frozen=True):
    """The engines of a service that may get new work; valid until the time `until`.

    `weights` are the weights for the ranking of engines by chat, lower for an engine in slow
    start.  `cold` engines, a subset of `engines`, sustain only a few calls per second.  `leaving`
    engines get no new work, because they stop or their failure domain is evacuated, but still
    hold the prompts that they have processed.  `avoided` engines get none because calls to them
    failed or because they asked for rest, but are up.  `unused` gives the reason for each listed
    engine that gets no new work.
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
        """The engines that are up but get no new work."""
        return self.leaving | self.avoided


class EngineView:
    """Engines by name, with the phase that this box assigns to them.

    `rising_seconds` is the duration of the slow start after an engine joins.  `suspect_seconds`
    is how long this box avoids an engine after its own calls failed there, doubled for each
    further time in a row.  At most the share `max_ejection_share` of a service's live engines is
    avoided, but at least one may be.  Until `outage_until` an engine that drops off the list keeps
    serving: entries lapse while the platform is unavailable, and live engines write them again.
    `cold_seconds` is, by service, how long an engine has reduced capacity after a start.
    """

    def __init__(self, rising_seconds: float = 10.0, suspect_seconds: float = 2.0):
        self.rising_seconds = rising_seconds
        self.suspect_seconds = suspect_seconds
        self.max_ejection_share = 1.0
        self.outage_until = -math.inf
        self.cold_seconds: dict[str, float] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._states: dict[str, _EngineState] = {}
        #: Engines that dropped off the list during an outage of the platform.
        self._unlisted: set[str] = set()
        self._self_reports = SelfReports()
        #: Until when services count as brittle because peers said so.
        self._brittle_services: dict[str, float] = {}
        #: Until when services count as brittle because this box has calls that may not run there.
        self._kept_brittle: dict[str, float] = {}
        self._has_list = False
        self._serving_cache: dict[str, Serving] = {}

    def set_list(self, engines: list[Engine], now: float) -> None:
        """Apply the platform's list, which may lag."""
        self._serving_cache.clear()
        self._self_reports.forget(now)
        engines = without_foreign_entries(engines, self._states)
        names = {engine.name for engine in engines}
        self._drop(self._replaced(engines, names), now)
        self._unlisted = set(self._states) - names
        self.drop_unlisted(now)
        for engine in engines:
            self._set_engine(engine, now)
        self._has_list = True

    def drop_unlisted(self, now: float) -> list[str]:
        """Drop the engines that are off the list, unless an outage explains it.

        Returns their names.
        """
        if not self._unlisted or now < self.outage_until:
            return []
        dropped = sorted(self._unlisted)
        self._drop(dropped, now)
        self._unlisted.clear()
        self._serving_cache.clear()
        return dropped

    def _drop(self, names: list[str], now: float) -> None:
        for name in names:
            del self._states[name]
            self._self_reports.set_unlisted(name, now)

    def _replaced(self, engines: list[Engine], names: set[str]) -> list[str]:
        """Return the engines whose address a new engine has: an outage does not explain them."""
        addresses = {engine.address for engine in engines if engine.name not in self._states}
        return [
            name
            for name, state in self._states.items()
            if name not in names and state.engine.address in addresses
        ]

    def _set_engine(self, engine: Engine, now: float) -> None:
        self._self_reports.set_listed(engine.name)
        existing = self._states.get(engine.name)
        if engine.phase is Phase.LEAVING:
            self._self_reports.mark_leaving(engine.name, engine.incarnation)
        if existing and existing.engine.incarnation == engine.incarnation:
            if engine.cold_seconds != existing.engine.cold_seconds:
                existing.cold_until = now + engine.cold_seconds
            existing.engine = engine
            return
        # A slow start of all engines of the first list at once would shift no load.
        state = _EngineState(engine, now, rising=self._has_list)
        state.cold_until = now + engine.cold_seconds
        self._states[engine.name] = state

    def set_evacuated(self, domains: frozenset[str], now: float) -> None:
        """Apply the set of evacuated failure domains.

        When an evacuation ends, all engines of the domain come back cold at once: each is
        assumed cold from now on, as after a start, until the list says otherwise.
        """
        for state in self._states.values():
            if state.engine.failure_domain in self._evacuated - domains:
                cold_seconds = self.cold_seconds.get(state.engine.service, 0.0)
                state.cold_until = max(state.cold_until, now + cold_seconds)
        self._evacuated = domains
        self._serving_cache.clear()

    def mark_leaving(self, name: str, incarnation: str, now: float) -> None:
        """Record that an engine takes no new work, as it or a peer reported explicitly.

        The engine may not be listed, or no longer.
        """
        self._self_reports.mark_leaving(name, incarnation)
        if name not in self._states:
            self._self_reports.set_unlisted(name, now)
        self._serving_cache.clear()

    def mark_resting(self, name: str, seconds: float, now: float) -> None:
        """Record that an engine wants no requests from this box for so long."""
        self._self_reports.mark_resting(name, seconds, now)
        self._serving_cache.clear()

    def mark_brittle(self, name: str, brittle: bool, now: float) -> None:
        """Record whether an engine says that it falls over if it turns away many calls."""
        self._self_reports.mark_brittle(name, brittle, now)
        state = self._states.get(name)
        if not brittle and state is not None:
            self._brittle_services.pop(state.engine.service, None)
            self._kept_brittle.pop(state.engine.service, None)

    def keep_brittle(self, service: str, now: float) -> None:
        """Record that calls for a brittle service wait, are refused, or run without an answer.

        A box without room there receives no answers, so the lack of a sign means nothing.
        """
        if self.is_brittle(service, now):
            latest = self._brittle_until(service) + KEEP_BRITTLE_SECONDS
            self._kept_brittle[service] = min(now + BRITTLE_SECONDS, latest)

    def mark_service_brittle(self, service_key: int, until: float) -> None:
        """Record that peers know a service as brittle; its name is given by its hash."""
        for service in {state.engine.service for state in self._states.values()}:
            if hash32(service) == service_key:
                known = self._brittle_services.get(service, -math.inf)
                self._brittle_services[service] = max(known, until)

    def is_brittle(self, service: str, now: float) -> bool:
        """Return whether an engine of the service said lately that it is brittle.

        The engines of a service become brittle together, and the box may not have heard from
        all of them.
        """
        until = max(self._brittle_until(service), self._kept_brittle.get(service, -math.inf))
        return now < until

    def _brittle_until(self, service: str) -> float:
        reports = self._self_reports
        said = [
            reports.brittle_until(name)
            for name in reports.brittle
            if (state := self._states.get(name)) is not None and state.engine.service == service
        ]
        return max([self._brittle_services.get(service, -math.inf), *said])

    def brittle_services(self, now: float) -> dict[str, float]:
        """Return the services that are brittle, with the seconds until their last sign ends."""
        if not self._brittle_services and not self._self_reports.brittle:
            return {}
        services = sorted({state.engine.service for state in self._states.values()})
        return {
            service: max(0.0, self._brittle_until(service) - now)
            for service in services
            if self.is_brittle(service, now)
        }

    def rest_left(self, service: str, now: float) -> float | None:
        """Return the seconds until the first resting engine of a service takes work again.

        None if none rests.
        """
        ends = [
            self._self_reports.rest_ends(name)
            for name, reason in self.serving(service, now).unused.items()
            if reason is UnusedReason.RESTING
        ]
        return min(ends) - now if ends else None

    def takes_work(self, name: str, incarnation: str, now: float) -> bool:
        """Return whether this start of an engine accepts new work, as far as it has said."""
        return self._self_reports.takes_work(name, incarnation, now)

    def record_failure(
        self, name: str, now: float, evidence: float = 1.0, answered: bool = False
    ) -> bool:
        """Record a failed call of this box; True if it makes the engine suspect.

        `evidence` is 1 if one call is proof enough; `answered` is whether a process answered
        at the engine's address nevertheless.
        """
        state = self._states.get(name)
        if state is None:
            return False
        if not state.suspicion.record_failure(now, evidence, answered, self.suspect_seconds):
            return False
        self._serving_cache.clear()
        return True

    def record_answer(self, name: str) -> None:
        """Record that one of this box's calls was answered completely."""
        state = self._states.get(name)
        if state is None:
            return
        if state.suspicion.record_answer():
            self._serving_cache.clear()

    def eject(self, name: str, now: float) -> bool:
        """Avoid an engine as an outlier; False if it already is, or is not listed.

        It is avoided for `suspect_seconds`, and longer each time it comes back and fails again.
        """
        state = self._states.get(name)
        if state is None or not state.suspicion.eject(now, self.suspect_seconds):
            return False
        self._serving_cache.clear()
        return True

    def suspect_incarnation_key(self, name: str, now: float) -> int:
        """Return the engine's incarnation key if own calls made it suspect recently, else 0."""
        state = self._states.get(name)
        if state is None or not state.suspicion.is_reported(now):
            return 0
        return hash32(state.engine.incarnation)

    def record_peer_suspicion(self, suspect: Suspect, box: str, now: float) -> bool:
        """Record that peer `box` suspects an engine; True if that is new."""
        state = self._states.get(suspect.engine)
        if state is None or hash32(state.engine.incarnation) != suspect.incarnation_key:
            return False
        is_new = state.suspicion.record_report(box, now)
        if is_new:
            self._serving_cache.clear()
        return is_new

    def phase(self, name: str, now: float) -> Phase:
        """Return the phase that this box assigns to an engine."""
        state = self._states.get(name)
        if state is None or state.engine.phase is Phase.GONE:
            return Phase.GONE
        reason = self._unused_reason(state, now)
        return Phase.LIVE if reason is None else PHASE_OF.get(reason, Phase.SUSPECT)

    def _beyond_ejection_limit(
        self, usable: dict[str, Engine], suspects: dict[str, Engine]
    ) -> list[str]:
        """Return the suspects to use nevertheless, those whose suspicion expires first.

        Each suspicion rests on weak evidence, but several add up: without a limit, a service
        whose engines all fail a few calls loses most of them, and the rest are loaded above the
        guaranteed bound (load balancers have a panic threshold for this).  Engines that refuse
        connections are not alive and are left out of the count.
        """
        suspicions = {name: self._states[name].suspicion for name in suspects}
        alive = [name for name, suspicion in suspicions.items() if not suspicion.unreachable]
        limit = max(1, int(self.max_ejection_share * (len(usable) + len(alive))))
        alive.sort(key=lambda name: max(suspicions[name].expiry_times))
        return alive[: max(0, len(alive) - limit)]

    def _unused_reason(self, state: _EngineState, now: float) -> UnusedReason | None:
        """Return why a listed engine gets no new work, None if it may get some."""
        engine = state.engine
        if self._self_reports.is_leaving(engine.name, engine.incarnation):
            return UnusedReason.LEAVING
        if engine.failure_domain in self._evacuated:
            return UnusedReason.EVACUATED
        if now < self._self_reports.rest_ends(engine.name):
            return UnusedReason.RESTING
        return state.suspicion.reason(now)

    def _weight(self, state: _EngineState, now: float) -> float:
        if not state.rising or self.rising_seconds <= 0:
            return state.engine.weight
        age = (now - state.first_seen) / self.rising_seconds
        if age >= 1.0:
            state.rising = False
            return state.engine.weight
        step = RISING_STEPS[min(int(age * len(RISING_STEPS)), len(RISING_STEPS) - 1)]
        return state.engine.weight * step

    def get(self, name: str) -> Engine | None:
        """Return the engine as listed, None if it is not."""
        state = self._states.get(name)
        return state.engine if state else None

    def engine_at(self, address: str) -> Engine | None:
        """Return the engine that is listed at an address, None if there is none."""
        states = self._states.values()
        return next((state.engine for state in states if state.engine.address == address), None)

    def of_service(self, service: str) -> list[str]:
        """Return the names of a service's engines, except those that are leaving."""
        return [
            name
            for name, state in self._states.items()
            if state.engine.service == service
            and not self._self_reports.is_leaving(name, state.engine.incarnation)
        ]

    def service_use(self, service: str, now: float) -> ServiceUse:
        """Return how many of a service's engines get new work, and why the others do not."""
        serving = self.serving(service, now)
        return service_use(service, len(serving.engines), serving.unused.values())

    def phases(self, now: float) -> dict[str, Phase]:
        """Return the phase that this box assigns to each listed engine."""
        return {name: self.phase(name, now) for name in self._states}

    def all(self, now: float) -> list[Engine]:
        """Return every listed engine, with the phase that this box assigns to it."""
        return [
            replace(state.engine, phase=self.phase(name, now))
            for name, state in self._states.items()
        ]

    def serving(self, service: str, now: float) -> Serving:
        """Return the engines of `service` that may get new work.

        If all engines are suspect, the suspects serve: a wrong suspicion must not stop a
        service.  An evacuation is not a suspicion: if it leaves no engine, none serves.  The
        same object is returned until something changes.
        """
        cached = self._serving_cache.get(service)
        if cached is None or now >= cached.until:
            cached = self._serving_cache[service] = self._compute_serving(service, now)
        return cached

    def _compute_serving(self, service: str, now: float) -> Serving:
        usable: dict[str, Engine] = {}
        suspects: dict[str, Engine] = {}
        leaving: dict[str, Engine] = {}
        resting: dict[str, Engine] = {}
        reasons: dict[str, UnusedReason] = {}
        until = math.inf
        for name, state in self._states.items():
            if state.engine.service != service or state.engine.phase is Phase.GONE:
                continue
            reason = self._unused_reason(state, now)
            if reason is None:
                usable[name] = state.engine
            else:
                reasons[name] = reason
                group = leaving if reason in UNUSED_BY_PLAN else suspects
                if reason is UnusedReason.RESTING:
                    group = resting
                group[name] = state.engine
            until = min(until, self._next_change(state, now))
        usable |= {name: suspects[name] for name in self._beyond_ejection_limit(usable, suspects)}
        engines = usable or suspects
        weights = {name: self._weight(self._states[name], now) for name in engines}
        cold = frozenset(name for name in engines if now < self._states[name].cold_until)
        avoided = {
            name: engine
            for name, engine in suspects.items()
            if name not in engines and not self._states[name].suspicion.unreachable
        }
        avoided |= resting
        unused = {name: reason for name, reason in reasons.items() if name not in engines}
        return Serving(engines, weights, until, leaving, cold, avoided, unused)

    def _next_change(self, state: _EngineState, now: float) -> float:
        """Return when the treatment of an engine may next change by time alone."""
        times = [*state.suspicion.expiry_times, state.cold_until]
        times.append(self._self_reports.rest_ends(state.engine.name))
        if state.rising:
            step = self.rising_seconds / len(RISING_STEPS)
            times += [
                state.first_seen + step * number for number in range(1, len(RISING_STEPS) + 1)
            ]
        return min((time for time in times if time > now), default=math.inf)
