"""The ways that are compared: ours, its variants, and the baselines."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from seamhold_messages.work import Work
from seamhold_placement import Choice, choose
from seamhold_placement.bound import Candidate


def hash_alone(
    candidates: Sequence[Candidate], totals, work: Work, policy, hint=None
) -> Choice | None:
    """The first in rank order with a free slot."""
    for rank, engine in enumerate(candidates):
        if engine.load.requests < engine.slots:
            return Choice(engine.name, rank, True)
    return None


def _tokens(engine: Candidate) -> float:
    return engine.load.tokens / engine.weight


def least_loaded(
    candidates: Sequence[Candidate], totals, work: Work, policy, hint=None
) -> Choice | None:
    """The one with the fewest tokens of work."""
    free = [
        (_tokens(engine), rank)
        for rank, engine in enumerate(candidates)
        if engine.load.requests < engine.slots
    ]
    return Choice(candidates[min(free)[1]].name, min(free)[1], True) if free else None


class TwoRandom:
    """The lighter of two at random."""

    def __init__(self, seed: int):
        self._chance = random.Random(seed)

    def __call__(self, candidates, totals, work, policy, hint=None) -> Choice | None:
        """Pick, as `choose` does."""
        free = [
            (rank, engine)
            for rank, engine in enumerate(candidates)
            if engine.load.requests < engine.slots
        ]
        if not free:
            return None
        pair = [self._chance.choice(free) for _ in range(2)]
        rank, engine = min(pair, key=lambda item: _tokens(item[1]))
        return Choice(engine.name, rank, True)


@dataclass(frozen=True)
class Way:
    """One way to place calls.

    `knowledge` is where a box learns of others' work: `digests` from peers,
    `exact` for every call, as a granter per engine would know it, `reports`
    of the engines alone, `report_lag` seconds old.  `admit` is the multiple
    that admission holds to; `growth` and `floor` as in the settings.
    """

    name: str
    chooser: str = 'bound'
    knowledge: str = 'digests'
    admit: float = 1.25
    growth: float = 0.25
    floor: int = 2
    digest_seconds: float = 0.3
    report_lag: float = 1.0
    hints: bool = True
    rising: float = 10.0
    budget: int = 2048
    patience: float = 0.1

    def make_chooser(self, seed: int):
        """The rule, as a router takes it."""
        drawn = partial(choose, rng=random.Random(seed))
        rules = {'bound': drawn, 'hash': hash_alone, 'least': least_loaded}
        return rules.get(self.chooser) or TwoRandom(seed)


BASELINES = (
    Way('hash alone', 'hash', hints=False),
    Way('least loaded', 'least', hints=False),
    Way('two random', 'two', hints=False),
)
#: What the settings have by default, and how it came about.
CHOSEN = Way('chosen: digests, patience')
STEPS = (
    Way('no patience', patience=0.0),
    Way('no hint', hints=False),
    Way('no rise', rising=0.0),
    CHOSEN,
)
#: The same rule, with other knowledge of the load.
KNOWLEDGE = (
    Way('digests 0.15 s, no budget', digest_seconds=0.15, budget=10**9),
    Way('digests 0.6 s', digest_seconds=0.6),
    Way('digests 2 s', digest_seconds=2.0),
    Way('granter per engine', knowledge='exact'),
    Way('reports alone', knowledge='reports'),
)
#: A point of the frontier for each user: examples/*.yaml hold them.
POINTS = {
    'kusina': Way('kusina: reuse first', admit=1.35, patience=0.2),
    'port-louis': Way('port-louis: skew first', admit=1.2, patience=0.1),
}
FRONTIER = tuple(
    Way(f'admit {admit:g}, patience {patience:g}', admit=admit, patience=patience)
    for admit in (1.1, 1.15, 1.2, 1.25, 1.3, 1.35, 1.4, 1.45)
    for patience in (0.0, 0.1, 0.3)
)
