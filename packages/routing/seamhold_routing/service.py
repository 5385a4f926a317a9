"""Placement of one service's calls on one box."""

from collections.abc import Collection, Mapping, Sequence

from seamhold_attempts.retry import REFUSALS, Outcome
from seamhold_limits import SlotShares, WaitQueue
from seamhold_membership import EngineView, Serving
from seamhold_messages.fleet import Engine
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Call, Placed, Work
from seamhold_placement import (
    Candidate,
    Choice,
    Chooser,
    ColdShares,
    ConcurrencyLimits,
    HolderTable,
    LoadTable,
    Ranking,
    Totals,
    choose,
    choose_least_loaded,
)
from seamhold_placement.prediction import Basis
from seamhold_placement.speed_trust import SpeedTrust
from seamhold_placement.speeds import SpeedTable

from .exchange import brittle_engine
from .plans import ServicePlan
from .predictions import ServicePredictions

#: An engine that refused a call as full is assumed to be full for this long.  By then peers
#: have reported the calls they sent to it.
FULL_SECONDS = 0.3
#: Number of first-ranked engines to fetch a chat's cache from when no holder is known.  The
#: second one held the chat before the engine that now ranks first joined, and takes the calls
#: that the first cannot.  A wrong guess costs the engine a lookup; a right one saves
#: processing the prompt again.
LIKELY_HOLDERS = 2
#: A caller's hint is only looked up among this many first-ranked engines.
HINT_RANKS = 5


class RankedEngines(Sequence[Candidate]):
    """The candidate engines for one chat, best first, computed lazily.

    Engines that hold the chat come before all others.  If there are any, `local` engines come
    first both among the holders and among the others.  Without a holder the order is by rank
    alone, which makes all boxes send the chat to the same engine.
    """

    def __init__(
        self,
        chat: str,
        excluded: frozenset[str],
        ranking: Ranking,
        serving: Serving,
        loads: LoadTable,
        holders: Sequence[str] = (),
        local: Collection[str] = (),
        full: Collection[str] = (),
        now: float = 0.0,
    ):
        self._chat = chat
        self._excluded = excluded
        self._ranking = ranking
        self._serving = serving
        self._loads = loads
        self._holders = [
            name for name in holders if name in serving.engines and name not in excluded
        ]
        self._local = local
        self._full = full
        self._now = now
        self._names = self._holders_first(ranking.first(chat))
        self._length = len(serving.engines) - sum(name in serving.engines for name in excluded)

    def _holders_first(self, names: list[str]) -> list[str]:
        """Return `names` without the excluded ones, holders of the chat first."""
        if self._excluded:
            names = [name for name in names if name not in self._excluded]
        if not self._holders:
            return names
        holders = [name for name in names if name in self._holders]
        holders += [name for name in self._holders if name not in names]
        others = [name for name in names if name not in self._holders]
        return self._local_first(holders) + self._local_first(others)

    def _local_first(self, names: list[str]) -> list[str]:
        return sorted(names, key=lambda name: name not in self._local)

    def rank_of_hint(self, hint: str) -> int | None:
        """Return the rank of the hinted engine, None if it is not among the first ranks.

        A hint names an engine rather than a rank, because ranks shift as engines join and
        leave.  It is only looked up among the chat's own first ranks, which makes a forged
        hint useless.
        """
        if not hint:
            return None
        for position, name in enumerate(self._names[:HINT_RANKS]):
            if hint_for(name) == hint:
                return position
        return None

    def __len__(self) -> int:
        return self._length

    def __getitem__(self, position: int) -> Candidate:
        if position >= self._length:
            raise IndexError(position)
        if position >= len(self._names):
            self._names = self._holders_first(self._ranking.order(self._chat))
        name = self._names[position]
        engine = self._serving.engines[name]
        load = self._loads.known_load(name)
        if name in self._full:
            load = Work(max(load.requests, engine.slots), load.tokens)
        holds, local = name in self._holders, name in self._local
        if self._loads.silent(name, self._now):
            unreported = self._loads.unreported_at_silent(name)
        else:
            unreported = self._loads.unreported(name)
        own = self._loads.own_calls(name)
        return Candidate(name, load, engine.slots, engine.weight, holds, local, unreported, own)


def _other_versions(engines: Mapping[str, Engine], version: str | None) -> frozenset[str]:
    """Return the engines whose software version is not `version`, none if that is None."""
    if version is None:
        return frozenset()
    return frozenset(name for name, engine in engines.items() if engine.version != version)


def hint_for(engine: str) -> str:
    """Return the hint that a caller sends back to have a chat placed at `engine` again."""
    return f'{hash32(engine):08x}'


class ServiceRouter:
    """Places the calls of one service on one box: ranks engines, bounds load, queues calls."""

    def __init__(
        self,
        name: str,
        engines: EngineView,
        loads: LoadTable,
        holders: HolderTable,
        chooser: Chooser = choose,
        failure_domain: str = '',
        cold_shares: ColdShares | None = None,
        slots: SlotShares | None = None,
        predictions: ServicePredictions | None = None,
    ):
        self.name = name
        self.plan = ServicePlan()
        self.queue = WaitQueue(self.plan.queue_calls)
        #: Ids of calls that wait for the engine that holds their cache.
        self.waiting_for_holder: list[str] = []
        #: Ids of calls that wait for room at the engines of their software version.
        self.waiting_for_version: list[str] = []
        self._engines = engines
        self._loads = loads
        self._holders = holders
        self._chooser = chooser
        self._failure_domain = failure_domain
        self._cold_shares = cold_shares or ColdShares('')
        self._slots = slots or SlotShares('')
        self._ranking = Ranking()
        self._serving: Serving | None = None
        self._weight = 0.0
        #: Engines that are up but get no new work count for the bound; their load is summed
        #: in a group of its own.
        self._idle_group = f'{name}/idle'
        self._idle_weight = 0.0
        #: The serving engines in this box's failure domain.
        self._local: set[str] = set()
        #: Engines that refused a call as full, with the time until which they count as full.
        self._full: dict[str, float] = {}
        self._concurrency = ConcurrencyLimits()
        #: Whether the last engine that began to answer this box reported no load.
        self._load_unreported = False
        self.predictions = predictions or ServicePredictions(SpeedTable(), SpeedTrust())

    def use_plan(self, plan: ServicePlan) -> None:
        """Apply changed settings."""
        self.plan = plan
        self.queue.size = plan.queue_calls

    def any_engine(
        self, now: float, excluded: frozenset[str] = frozenset(), version: str | None = None
    ) -> bool:
        """Return whether any engine that is not excluded may get work of this box."""
        engines = self._engines.serving(self.name, now).engines
        excluded |= _other_versions(engines, version)
        if not self._engines.is_brittle(self.name, now):
            return any(name not in excluded for name in engines)
        return any(
            name not in excluded and self._brittle_share(engine) for name, engine in engines.items()
        )

    def may_take_later(self, call: Call, full_engine: str, now: float) -> bool:
        """Return whether any engine may take the call now or later.

        Counts `full_engine`, which refused the call as full, although the call excludes it;
        '' for none.
        """
        if self.any_engine(now, call.excluded, call.version):
            return True
        without_full = call.excluded - {full_engine}
        return bool(full_engine) and self.any_engine(now, without_full, call.version)

    def record_full(self, engine: str, now: float) -> None:
        """Record that an engine refused a call because all its slots are taken."""
        self._full[engine] = now + FULL_SECONDS

    def _full_engines(self, now: float) -> set[str]:
        if self._full:
            self._full = {name: until for name, until in self._full.items() if now < until}
        return set(self._full)

    def _without_share(self, serving: Serving, now: float) -> set[str]:
        """Return the brittle engines that have as many calls of this box as they may have.

        Their slots are divided between the boxes (see `SlotShares`): each knows its own calls at
        once, and those of the others too late to keep a brittle engine from turning calls away.
        """
        if not self._engines.is_brittle(self.name, now):
            return set()
        return {
            name
            for name, engine in serving.engines.items()
            if self._loads.own_calls(name)
            >= self._slots.room(brittle_engine(engine), self._equal_share(engine))
        }

    def _brittle_share(self, engine: Engine) -> int:
        """Return how many calls this box may have at an engine while it is brittle."""
        return self._slots.share(brittle_engine(engine), self._equal_share(engine))

    def _equal_share(self, engine: Engine) -> int:
        return self._cold_shares.share(engine.incarnation or engine.name, engine.slots)

    @property
    def calls(self) -> int:
        """The number of this box's calls that run at the engines or wait for one."""
        waiting = len(self.waiting_for_holder) + len(self.waiting_for_version)
        return self._loads.own_total(self.name) + len(self.queue) + waiting

    def _throttled(self, serving: Serving, now: float) -> frozenset[str]:
        """Return the cold engines that may get no more calls from this box now."""
        per_second = self.plan.cold_per_second
        if not serving.cold or not per_second:
            return frozenset()
        return frozenset(
            name
            for name in serving.cold
            if not self._cold_shares.allows(serving.engines[name].incarnation, per_second, now)
        )

    @property
    def learns_concurrency(self) -> bool:
        """Whether concurrency limits replace the reported load of this service's engines."""
        return self.plan.learned_concurrency and self._load_unreported

    def _choose_by_limits(
        self, candidates: RankedEngines, full: Collection[str], now: float
    ) -> Choice | None:
        """Pick the engine with the shortest expected response time within its limit.

        An engine in another failure domain is rated as if it had one more call.  One whose
        answer to this box is overdue comes last: with its slots taken by calls that hang, it
        would hold each further one until its deadline.
        """
        best = None
        for position, engine in enumerate(candidates):
            if engine.name in full or engine.own_calls >= engine.slots:
                continue
            if not self._concurrency.of(engine.name, engine.slots).allows(now):
                continue
            calls = engine.own_calls + (not engine.local)
            seconds = self._concurrency.rating(engine.name, calls, now)
            rating = (self._loads.silent(engine.name, now), seconds)
            if best is None or rating < best[0]:
                best = (rating, position, engine.name)
        return None if best is None else Choice(best[2], best[1], False)

    def record_response(
        self, engine: str, seconds: float, objective: float | None, now: float
    ) -> None:
        """Record that `engine` began to answer a call `seconds` after it was sent."""
        self._load_unreported = self._loads.reading_age(engine, now) is None
        self._concurrency.record_response(engine, seconds, objective, now)

    def record_attempt_end(
        self, engine: str, outcome: Outcome, waited: float | None, call: Call, now: float
    ) -> None:
        """Record how an attempt ended; `waited` is None if its answer had begun."""
        if outcome in REFUSALS:
            self._concurrency.record_rejection(engine, now)
        elif waited is not None:
            self._concurrency.record_overdue(engine, waited, call.objective, now)
        self._concurrency.record_end(engine)

    @property
    def concurrency_limit(self) -> float:
        """The sum of this box's concurrency limits at the engines, 0 if none is used."""
        return self._concurrency.total if self.learns_concurrency else 0.0

    def record_sent(self, call: Call, placed: Placed, now: float) -> Basis | None:
        """Record that a call was sent to an engine.

        Return what its response time will be compared with, None if predictions are not used.
        """
        serving = self._refresh(now)
        engine = placed.engine
        if engine in serving.engines:
            self._concurrency.record_sent(engine, serving.engines[engine].slots, now)
        if engine in serving.cold:
            self._cold_shares.record_sent(serving.engines[engine].incarnation, now)
        if not self._predicts(serving, now):
            return None
        return self.predictions.basis(call, placed, engine in self._local, now)

    def _predicts(self, serving: Serving, now: float) -> bool:
        """Whether calls go to the engines with the shortest predicted time."""
        if not self.plan.predicted_placement:
            return False
        return self.predictions.reports_speed(serving.engines, now)

    def _refresh(self, now: float) -> Serving:
        """Return the engines that serve now; update ranking, groups and weights on a change."""
        serving = self._engines.serving(self.name, now)
        if serving is not self._serving:
            self._serving = serving
            self._ranking.set_weights(serving.weights)
            self._loads.set_group(self.name, serving.engines)
            self._loads.set_group(self._idle_group, serving.idle)
            self._concurrency.retain(
                {*serving.engines, *serving.unused},
                {name: engine.slots for name, engine in serving.engines.items()},
            )
            self._weight = sum(engine.weight for engine in serving.engines.values())
            self._idle_weight = sum(engine.weight for engine in serving.idle.values())
            self._local = {
                name
                for name, engine in serving.engines.items()
                if engine.failure_domain == self._failure_domain
            }
        return serving

    def place(self, call: Call, now: float) -> Placed | None:
        """Choose an engine for the call, None if all are full.

        The caller must add the call to the load table.
        """
        serving = self._refresh(now)
        other_versions = _other_versions(serving.engines, call.version)
        holders = self._holders.engines_holding(call.chat, now) if call.sticky else []
        full = self._full_engines(now) | self._without_share(serving, now)
        candidates = RankedEngines(
            call.chat,
            call.excluded | other_versions | self._throttled(serving, now),
            self._ranking,
            serving,
            self._loads,
            holders,
            self._local,
            full,
            now,
        )
        totals = Totals(
            self._weight,
            self._loads.total(self.name),
            self._idle_weight,
            self._loads.total(self._idle_group),
            self._loads.own_total(self.name),
        )
        hint = candidates.rank_of_hint(call.hint)
        predicted = None
        if self._predicts(serving, now):
            predicted = self.predictions.choose(
                candidates, totals, call, self.plan.bound, hint, now
            )
        if predicted is not None:
            choice: Choice | None = predicted
        elif call.sticky:
            choice = self._chooser(candidates, totals, call.work, self.plan.bound, hint)
        elif self.learns_concurrency:
            choice = self._choose_by_limits(candidates, full, now)
        else:
            choice = choose_least_loaded(candidates, call.work, self._local)
        if choice is None:
            return None
        if call.sticky and other_versions and not choice.in_bound:
            # The engines of the other versions may be idle, so the fleet need not be full.
            return None
        engine = serving.engines[choice.name]
        spilled = call.sticky and choice.rank != (hint or 0) and choice.name not in holders
        source = None
        if call.sticky:
            likely = self._ranking.first(call.chat)[:LIKELY_HOLDERS]
            source = self._other_holder(holders, likely, choice.name, serving)
        load = self._loads.estimate(choice.name).requests
        mean = totals.load.requests / len(serving.engines)
        all_calls = totals.load.requests + totals.idle_load.requests
        mean_of_all = all_calls / (len(serving.engines) + len(serving.idle))
        return Placed(
            call.id,
            choice.name,
            engine.address,
            choice.rank,
            spilled,
            engine.incarnation,
            source.address if source else '',
            source.name if source else '',
            len(holders),
            load,
            round(mean, 2),
            self._loads.reading_age(choice.name, now),
            round(mean_of_all, 2),
            self._loads.silent(choice.name, now),
            len(serving.engines),
            len(serving.idle),
            engine.version,
            self._concurrency.limit_at(choice.name) if self.learns_concurrency else None,
            choice.name in holders or (hint is not None and choice.rank == hint),
            None if predicted is None else predicted.seconds,
            None if predicted is None else predicted.faster_at_holder,
        )

    @staticmethod
    def _other_holder(
        holders: list[str], likely: list[str], chosen: str, serving: Serving
    ) -> Engine | None:
        """Return another engine that `chosen` may fetch the chat's cache from.

        Known holders are preferred to the engines in `likely`.  Returns None if `chosen` is a
        holder itself, or if no other engine is available.
        """
        if chosen in holders:
            return None
        for name in [*holders, *likely]:
            engine = serving.engines.get(name) or serving.leaving.get(name)
            if engine is not None and name != chosen:
                return engine
        return None
