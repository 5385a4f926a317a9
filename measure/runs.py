"""Executes many runs in parallel and summarizes each."""

import os
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from multiprocessing import get_context
from statistics import fmean

from .fakes import DEPLOYMENTS
from .policies import PlacementVariant
from .scenarios import SCENARIOS, SECONDS
from .simulation import Counts, Simulation

SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class Run:
    """The parameters of one run."""

    deployment: str
    scenario: str
    variant: PlacementVariant
    seed: int
    boxes: int = 8
    engines: int = 10
    scale: float = 1.0
    seconds: float = SECONDS


@dataclass(frozen=True)
class Figures:
    """The results of a run.

    `reuse` is the fraction, of the tokens that an engine had read before for the
    chat, that were found in a cache.  Skew is the load of the busiest engine over
    the mean.  `reading` is the time from a call's arrival to the end of reading
    its prompt, queueing included, in seconds.
    """

    reuse: float
    skew_calls_p50: float
    skew_calls_p99: float
    skew_calls_worst: float
    skew_tokens_p50: float
    skew_tokens_p99: float
    skew_tokens_worst: float
    refused: int
    spilled: float
    bytes_per_second: float
    bytes_per_message: float
    decision_us: float
    reading_mean: float
    reading_p95: float
    calls: int


def quantile(values: list[float], part: float) -> float:
    """Return the quantile `part` (0 to 1) of the values; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def compute_figures(counts: Counts, run: Run) -> Figures:
    """Compute the figures of one run."""
    return Figures(
        counts.reused / max(1, counts.reusable),
        quantile(counts.skew_calls, 0.5),
        quantile(counts.skew_calls, 0.99),
        quantile(counts.skew_calls, 1.0),
        quantile(counts.skew_tokens, 0.5),
        quantile(counts.skew_tokens, 0.99),
        quantile(counts.skew_tokens, 1.0),
        sum(counts.refused.values()),
        counts.spilled / max(1, counts.calls),
        counts.bytes / run.seconds / run.boxes,
        counts.bytes / max(1, counts.messages),
        counts.decision_seconds / max(1, counts.decisions) * 1e6,
        fmean(counts.reads or [0.0]),
        quantile(counts.reads, 0.95),
        counts.calls,
    )


def execute_run(run: Run) -> Figures:
    """Execute one run."""
    simulation = Simulation(
        run.variant,
        DEPLOYMENTS[run.deployment],
        run.seed,
        run.boxes,
        run.engines,
        run.scale,
    )
    SCENARIOS[run.scenario](simulation)
    return compute_figures(simulation.run(run.seconds), run)


def execute_runs(runs: list[Run]) -> list[Figures]:
    """Execute all runs in parallel, on all processors but one."""
    workers = max(1, (os.cpu_count() or 2) - 1)
    with get_context('fork').Pool(workers) as pool:
        return pool.map(execute_run, runs, chunksize=1)


def merge_seeds(figures: Iterable[Figures]) -> Figures:
    """Merge figures over seeds: means, but the maximum of `_worst` and sums of counts."""
    rows = [asdict(item) for item in figures]
    merged = {}
    for name in rows[0]:
        values = [row[name] for row in rows]
        if name.endswith('_worst'):
            merged[name] = max(values)
        elif name in ('refused', 'calls'):
            merged[name] = sum(values)
        else:
            merged[name] = fmean(values)
    return Figures(**merged)


def compare(cases: list[tuple[str, str, PlacementVariant]], **sizes) -> list[Figures]:
    """Return the figures of each case (deployment, scenario, variant) over all seeds."""
    runs = [
        Run(deployment, scenario, variant, seed, **sizes)
        for deployment, scenario, variant in cases
        for seed in SEEDS
    ]
    done = execute_runs(runs)
    count = len(SEEDS)
    return [merge_seeds(done[at : at + count]) for at in range(0, len(done), count)]
