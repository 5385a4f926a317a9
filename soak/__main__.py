"""Plays the soak from the command line."""

import sys
from pathlib import Path

import fire

from .run import Plan, Verdict, play

SEEDS = Path(__file__).parent / 'seeds.txt'


def known_seeds() -> list[int]:
    """Seeds that once broke a promise (`seed: cause`); they are played again."""
    lines = filter(None, map(str.strip, SEEDS.read_text(encoding='utf-8').splitlines()))
    return [int(line.partition(':')[0]) for line in lines if not line.startswith('#')]


def show(verdict: Verdict) -> None:
    """A line for the run, and one for each promise it broke."""
    plan = verdict.plan
    troubles = ', '.join(f'{count} {kind}' for kind, count in sorted(verdict.troubles.items()))
    state = f'{len(verdict.violations)} BROKEN' if verdict.violations else 'ok'
    print(
        f'seed {plan.seed}: {state}; {verdict.calls} calls, {verdict.whole} whole, '
        f'{plan.boxes} boxes, {plan.engines} engines; {troubles}',
        flush=True,
    )
    for violation in verdict.violations:
        print(f'  {violation.promise}: {violation.detail}', flush=True)


def soak(
    seed: int = 1,
    runs: int = 1,
    seconds: float = 20.0,
    boxes: int = 3,
    engines: int = 3,
    callers: int = 12,
    known: bool = False,
) -> None:
    """Play runs from `seed` on, or with --known those that once broke a promise."""
    seeds = known_seeds() if known else range(seed, seed + runs)
    verdicts = []
    for number in seeds:
        verdict = play(Plan(number, seconds, boxes, engines, callers))
        show(verdict)
        verdicts.append(verdict)
    broken = sum(bool(verdict.violations) for verdict in verdicts)
    print(f'{len(verdicts)} runs, {broken} broken')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(soak)
