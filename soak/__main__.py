"""The command line of the soak."""

import sys
from pathlib import Path

import fire

from .run import RunConfig, RunResult, run_once

SEEDS = Path(__file__).parent / 'seeds.txt'


def read_known_seeds() -> list[int]:
    """Return the seeds that violated an invariant in the past (`seed: cause` lines)."""
    lines = filter(None, map(str.strip, SEEDS.read_text(encoding='utf-8').splitlines()))
    return [int(line.partition(':')[0]) for line in lines if not line.startswith('#')]


def print_result(result: RunResult) -> None:
    """Print one line for the run and one for each violation."""
    config = result.config
    faults = ', '.join(f'{count} {kind}' for kind, count in sorted(result.faults.items()))
    state = f'{len(result.violations)} BROKEN' if result.violations else 'ok'
    print(
        f'seed {config.seed}: {state}; {result.calls} calls, {result.complete} whole, '
        f'{config.boxes} boxes, {config.engines} engines; {faults}',
        flush=True,
    )
    for violation in result.violations:
        print(f'  {violation.invariant}: {violation.detail}', flush=True)


def soak(
    seed: int = 1,
    runs: int = 1,
    seconds: float = 20.0,
    boxes: int = 3,
    engines: int = 3,
    callers: int = 12,
    known: bool = False,
) -> None:
    """Do runs from `seed` on, or with --known those that violated an invariant in the past."""
    seeds = read_known_seeds() if known else range(seed, seed + runs)
    results = []
    for number in seeds:
        result = run_once(RunConfig(number, seconds, boxes, engines, callers))
        print_result(result)
        results.append(result)
    broken = sum(bool(result.violations) for result in results)
    print(f'{len(results)} runs, {broken} broken')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(soak)
