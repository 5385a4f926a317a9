"""Where the calls of one service go."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from seamhold_limits import WaitQueue
from seamhold_membership import EngineView
from seamhold_messages.work import Call, Placed, Work
from seamhold_placement import BoundPolicy, LoadTable, Ranking, choose
from seamhold_placement.bound import Candidate, Choice

#: Picks one of the candidates, which come in rank order, or none.
Chooser = Callable[[Sequence[Candidate], Work, BoundPolicy, int | None], Choice | None]


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """What the settings say of placing one service's calls.

    `patience` is how long a call waits for the engine that holds its cache
    before it goes to another, in seconds.
    """

    bound: BoundPolicy = field(default_factory=BoundPolicy)
    queue_calls: int = 64
    patience: float = 0.0


class ServiceRouter:
    """Ranks, bounds and queues the calls of one service on one box."""

    def __init__(self, name: str, engines: EngineView, loads: LoadTable, chooser: Chooser = choose):
        self.name = name
        self.plan = ServicePlan()
        self.queue = WaitQueue(self.plan.queue_calls)
        self._engines = engines
        self._loads = loads
        self._chooser = chooser
        self._ranking = Ranking()
        self.patient: list[str] = []

    def use_plan(self, plan: ServicePlan) -> None:
        """Take over changed settings."""
        self.plan = plan
        self.queue.size = plan.queue_calls

    def any_engine(self, now: float, excluded: frozenset[str] = frozenset()) -> bool:
        """Whether some engine that is not excluded may get work."""
        serving = self._engines.serving(self.name, now)
        return any(name not in excluded for name in serving)

    def place(self, call: Call, now: float) -> Placed | None:
        """An engine for the call, or None while all are full.

        The caller notes the work in the load table.
        """
        serving = self._engines.serving(self.name, now)
        self._ranking.set_weights(self._engines.rising_weights(serving, now))
        candidates = [
            Candidate(name, self._loads.estimate(name), serving[name].slots, serving[name].weight)
            for name in self._ranking.order(call.chat)
            if name not in call.excluded
        ]
        choice = self._chooser(candidates, call.work, self.plan.bound, call.hint)
        if choice is None:
            return None
        spilled = choice.rank > 0
        return Placed(call.id, choice.name, serving[choice.name].address, choice.rank, spilled)
