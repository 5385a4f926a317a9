"""Many runs side by side, and what each came to."""

import os
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from multiprocessing import get_context
from statistics import fmean

from .drive import Drive, Tally
from .fakes import DEPLOYMENTS
from .policies import Way
from .scenarios import SCENARIOS, SECONDS

SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class Run:
    """One run to do."""

    deployment: str
    scenario: str
    way: Way
    seed: int
    boxes: int = 8
    engines: int = 10
    scale: float = 1.0
    seconds: float = SECONDS


@dataclass(frozen=True)
class Figures:
    """What a run came to.

    `reuse` is the part of the tokens that an engine had read before for the
    chat and that were found in a cache.  Skew is the busiest engine over the
    mean.  `reading` is the time from a call's arrival to the end of reading
    its prompt, the wait for a place included, in seconds.
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
    """The value below which `part` of all lie; 0 where there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def figures_of(tally: Tally, run: Run) -> Figures:
    """The figures of one run."""
    return Figures(
        tally.reused / max(1, tally.reusable),
        quantile(tally.skew_calls, 0.5),
        quantile(tally.skew_calls, 0.99),
        quantile(tally.skew_calls, 1.0),
        quantile(tally.skew_tokens, 0.5),
        quantile(tally.skew_tokens, 0.99),
        quantile(tally.skew_tokens, 1.0),
        sum(tally.refused.values()),
        tally.spilled / max(1, tally.calls),
        tally.bytes / run.seconds / run.boxes,
        tally.bytes / max(1, tally.messages),
        tally.decision_seconds / max(1, tally.decisions) * 1e6,
        fmean(tally.reads or [0.0]),
        quantile(tally.reads, 0.95),
        tally.calls,
    )


def do(run: Run) -> Figures:
    """One run, from start to end."""
    drive = Drive(
        run.way,
        DEPLOYMENTS[run.deployment],
        run.seed,
        run.boxes,
        run.engines,
        run.scale,
    )
    SCENARIOS[run.scenario](drive)
    return figures_of(drive.run(run.seconds), run)


def do_all(runs: list[Run]) -> list[Figures]:
    """All runs, as many at once as there are processors but one."""
    workers = max(1, (os.cpu_count() or 2) - 1)
    with get_context('fork').Pool(workers) as pool:
        return pool.map(do, runs, chunksize=1)


def over_seeds(figures: Iterable[Figures]) -> Figures:
    """Means over seeds; worst samples stay the worst, refusals add up."""
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


def compare(cases: list[tuple[str, str, Way]], **sizes) -> list[Figures]:
    """Figures of each case (deployment, scenario, way) over all seeds."""
    runs = [
        Run(deployment, scenario, way, seed, **sizes)
        for deployment, scenario, way in cases
        for seed in SEEDS
    ]
    done = do_all(runs)
    count = len(SEEDS)
    return [over_seeds(done[at : at + count]) for at in range(0, len(done), count)]
