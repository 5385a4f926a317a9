"""The placement variants that are compared: the chosen rule, its variants, and baselines."""

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
    """Choose the first engine in rank order with a free slot."""
    for rank, engine in enumerate(candidates):
        if engine.load.requests < engine.slots:
            return Choice(engine.name, rank, True)
    return None


def _tokens(engine: Candidate) -> float:
    return engine.load.tokens / engine.weight


def least_loaded(
    candidates: Sequence[Candidate], totals, work: Work, policy, hint=None
) -> Choice | None:
    """Choose the engine with the fewest tokens of work per weight."""
    free = [
        (_tokens(engine), rank)
        for rank, engine in enumerate(candidates)
        if engine.load.requests < engine.slots
    ]
    return Choice(candidates[min(free)[1]].name, min(free)[1], True) if free else None


class TwoRandom:
    """Chooses the less loaded of two random engines (power of two choices)."""

    def __init__(self, seed: int):
        self._rng = random.Random(seed)

    def __call__(self, candidates, totals, work, policy, hint=None) -> Choice | None:
        """Choose an engine, with the signature of `choose`."""
        free = [
            (rank, engine)
            for rank, engine in enumerate(candidates)
            if engine.load.requests < engine.slots
        ]
        if not free:
            return None
        pair = [self._rng.choice(free) for _ in range(2)]
        rank, engine = min(pair, key=lambda item: _tokens(item[1]))
        return Choice(engine.name, rank, True)


@dataclass(frozen=True)
class PlacementVariant:
    """One variant of placing calls.

    `load_source` is the source of other boxes' load: `digests` from peers,
    `exact` for every call, as a central grant per engine would have it, or
    `reports` of the engines alone, `report_lag` seconds old.  `admit` is the
    load multiple for admission; `growth` and `floor` are as in the settings.
    """

    name: str
    chooser: str = 'bound'
    load_source: str = 'digests'
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
        """Return the chooser function that a router uses."""
        seeded_choose = partial(choose, rng=random.Random(seed))
        rules = {'bound': seeded_choose, 'hash': hash_alone, 'least': least_loaded}
        return rules.get(self.chooser) or TwoRandom(seed)


BASELINES = (
    PlacementVariant('hash alone', 'hash', hints=False),
    PlacementVariant('least loaded', 'least', hints=False),
    PlacementVariant('two random', 'two', hints=False),
)
#: The default settings.
CHOSEN = PlacementVariant('chosen: digests, patience')
STEPS = (
    PlacementVariant('no patience', patience=0.0),
    PlacementVariant('no hint', hints=False),
    PlacementVariant('no rise', rising=0.0),
    CHOSEN,
)
#: The same rule with other sources of load information.
KNOWLEDGE = (
    PlacementVariant('digests 0.15 s, no budget', digest_seconds=0.15, budget=10**9),
    PlacementVariant('digests 0.6 s', digest_seconds=0.6),
    PlacementVariant('digests 2 s', digest_seconds=2.0),
    PlacementVariant('granter per engine', load_source='exact'),
    PlacementVariant('reports alone', load_source='reports'),
)
#: A point of the frontier for each deployment; examples/*.yaml use them.
POINTS = {
    'kusina': PlacementVariant('kusina: reuse first', admit=1.35, patience=0.2),
    'port-louis': PlacementVariant('port-louis: skew first', admit=1.2, patience=0.1),
}
FRONTIER = tuple(
    PlacementVariant(f'admit {admit:g}, patience {patience:g}', admit=admit, patience=patience)
    for admit in (1.1, 1.15, 1.2, 1.25, 1.3, 1.35, 1.4, 1.45)
    for patience in (0.0, 0.1, 0.3)
)
