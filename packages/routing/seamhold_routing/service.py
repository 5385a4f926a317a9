"""Where the calls of one service go."""

from collections.abc import Collection, Sequence

from seamhold_limits import WaitQueue
from seamhold_membership import EngineView, Serving
from seamhold_messages.fleet import Engine
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Call, Placed, Work
from seamhold_placement import (
    Candidate,
    Chooser,
    ColdShares,
    HolderTable,
    LoadTable,
    Ranking,
    Totals,
    choose,
    choose_least_loaded,
)

from .plans import ServicePlan

#: An engine that refused a call because it is full is taken to be full for so
#: long: by then peers have told what they sent there.
FULL_SECONDS = 0.3
#: Ranks that may hold a chat of which no holder is known.  The second had the chat
#: before an engine joined that now ranks first, and takes what that cannot.  A guess
#: that is wrong costs the engine a look; one that is right spares reading.
LIKELY_HOLDERS = 2
#: Ranks among which a caller's hint may find an engine.
HINT_RANKS = 5


class RankedEngines(Sequence[Candidate]):
    """The engines for one chat, best first, worked out as they are read.

    Those that hold the chat come before the rank order.  Among these, and among
    the others once somebody holds it, those that are `near` come first.  A chat
    that nobody holds goes by rank alone, so that all boxes read it at one engine.
    """

    def __init__(
        self,
        chat: str,
        excluded: frozenset[str],
        ranking: Ranking,
        serving: Serving,
        loads: LoadTable,
        holders: Sequence[str] = (),
        near: Collection[str] = (),
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
        self._near = near
        self._full = full
        self._now = now
        self._names = self._in_order(ranking.first(chat))
        self._length = len(serving.engines) - sum(name in serving.engines for name in excluded)

    def _in_order(self, names: list[str]) -> list[str]:
        """`names` without those excluded, those that hold the chat first."""
        if self._excluded:
            names = [name for name in names if name not in self._excluded]
        if not self._holders:
            return names
        holders = [name for name in names if name in self._holders]
        holders += [name for name in self._holders if name not in names]
        others = [name for name in names if name not in self._holders]
        return self._near_first(holders) + self._near_first(others)

    def _near_first(self, names: list[str]) -> list[str]:
        return sorted(names, key=lambda name: name not in self._near)

    def place_of(self, hint: str) -> int | None:
        """The rank of the engine that a hint tells, if it is an early one.

        A hint names an engine and not a rank, since ranks shift as engines
        come and go; that it is looked for only among the chat's own early
        ranks leaves nothing to gain by making one up.
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
            self._names = self._in_order(self._ranking.order(self._chat))
        name = self._names[position]
        engine = self._serving.engines[name]
        load = self._loads.known_load(name)
        if name in self._full:
            load = Work(max(load.requests, engine.slots), load.tokens)
        holds, near = name in self._holders, name in self._near
        if self._loads.silent(name, self._now):
            untold = self._loads.unreported_at_silent(name)
        else:
            untold = self._loads.unreported(name)
        own = self._loads.own_calls(name)
        return Candidate(name, load, engine.slots, engine.weight, holds, near, untold, own)


def hint_for(engine: str) -> str:
    """What a caller hands back so that a chat finds this engine again."""
    return f'{hash32(engine):08x}'


class ServiceRouter:
    """Ranks, bounds and queues the calls of one service on one box."""

    def __init__(
        self,
        name: str,
        engines: EngineView,
        loads: LoadTable,
        holders: HolderTable,
        chooser: Chooser = choose,
        failure_domain: str = '',
        cold_shares: ColdShares | None = None,
    ):
        self.name = name
        self.plan = ServicePlan()
        self.queue = WaitQueue(self.plan.queue_calls)
        #: Ids of calls that wait for the engine that holds their cache.
        self.patient: list[str] = []
        self._engines = engines
        self._loads = loads
        self._holders = holders
        self._chooser = chooser
        self._failure_domain = failure_domain
        self._cold_shares = cold_shares or ColdShares('')
        self._ranking = Ranking()
        self._serving: Serving | None = None
        self._weight = 0.0
        #: Engines that are up and get no new work have sums of their own: they count for
        #: the bound.
        self._idle_group = f'{name}/idle'
        self._idle_weight = 0.0
        #: The serving engines in this box's failure domain.
        self._near: set[str] = set()
        #: Engines that refused a call as full, and until when that is believed.
        self._full: dict[str, float] = {}

    def use_plan(self, plan: ServicePlan) -> None:
        """Take over changed settings."""
        self.plan = plan
        self.queue.size = plan.queue_calls

    def any_engine(self, now: float, excluded: frozenset[str] = frozenset()) -> bool:
        """Whether some engine that is not excluded may get work."""
        serving = self._engines.serving(self.name, now)
        return any(name not in excluded for name in serving.engines)

    def may_take_later(self, call: Call, full_engine: str, now: float) -> bool:
        """Whether some engine that is left for the call may take it later.

        `full_engine`, '' for none, refused the call as full: it is one of these.
        """
        if self.any_engine(now, call.excluded):
            return True
        return bool(full_engine) and self.any_engine(now, call.excluded - {full_engine})

    def note_full(self, engine: str, now: float) -> None:
        """An engine refused a call because all its slots are taken."""
        self._full[engine] = now + FULL_SECONDS

    def _full_engines(self, now: float) -> set[str]:
        if self._full:
            self._full = {name: until for name, until in self._full.items() if now < until}
        return set(self._full)

    def _spared(self, serving: Serving, now: float) -> frozenset[str]:
        """Cold engines that may get nothing more from this box now."""
        per_second = self.plan.cold_per_second
        if not serving.cold or not per_second:
            return frozenset()
        return frozenset(
            name
            for name in serving.cold
            if not self._cold_shares.allows(serving.engines[name].incarnation, per_second, now)
        )

    def note_sent(self, engine: str, now: float) -> None:
        """A call goes to `engine`."""
        serving = self._look(now)
        if engine in serving.cold:
            self._cold_shares.record_sent(serving.engines[engine].incarnation, now)

    def _look(self, now: float) -> Serving:
        """The engines that serve now; what hangs on them is kept up."""
        serving = self._engines.serving(self.name, now)
        if serving is not self._serving:
            self._serving = serving
            self._ranking.set_weights(serving.weights)
            self._loads.set_group(self.name, serving.engines)
            self._loads.set_group(self._idle_group, serving.idle)
            self._weight = sum(engine.weight for engine in serving.engines.values())
            self._idle_weight = sum(engine.weight for engine in serving.idle.values())
            self._near = {
                name
                for name, engine in serving.engines.items()
                if engine.failure_domain == self._failure_domain
            }
        return serving

    def place(self, call: Call, now: float) -> Placed | None:
        """An engine for the call, or None while all are full.

        The caller notes the work in the load table.
        """
        serving = self._look(now)
        holders = self._holders.engines_holding(call.chat, now) if call.sticky else []
        candidates = RankedEngines(
            call.chat,
            call.excluded | self._spared(serving, now),
            self._ranking,
            serving,
            self._loads,
            holders,
            self._near,
            self._full_engines(now),
            now,
        )
        totals = Totals(
            self._weight,
            self._loads.total(self.name),
            self._idle_weight,
            self._loads.total(self._idle_group),
            self._loads.own_total(self.name),
        )
        hint = candidates.place_of(call.hint)
        if call.sticky:
            choice = self._chooser(candidates, totals, call.work, self.plan.bound, hint)
        else:
            choice = choose_least_loaded(candidates, call.work, self._near)
        if choice is None:
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
        )

    @staticmethod
    def _other_holder(
        holders: list[str], likely: list[str], chosen: str, serving: Serving
    ) -> Engine | None:
        """An engine that `chosen` may fetch from, None if it holds all.

        Where no holder is known, those that rank first are the likeliest.
        """
        if chosen in holders:
            return None
        for name in [*holders, *likely]:
            engine = serving.engines.get(name) or serving.leaving.get(name)
            if engine is not None and name != chosen:
                return engine
        return None
