"""Checks every model, and that every broken variant is caught."""

import sys

from minicheck import check_safety

from . import claims, drain, evacuation, leaving, quarantine, settings, tickets
from .base import Spec

SPECS = (
    tickets.SPEC,
    claims.SPEC,
    settings.SPEC,
    leaving.SPEC,
    drain.SPEC,
    evacuation.SPEC,
    quarantine.SPEC,
)
STATES_MAX = 400_000


def trace(found: dict) -> str:
    """A counterexample as the steps that lead to it."""
    return ' > '.join(step['label'] for step in found['counterexample'][1:])


def check(spec: Spec) -> int:
    """Check a model and its variants; how many things were wrong."""
    wrong = 0
    result = check_safety(spec.protocol(), max_states=STATES_MAX)
    for name, found in result['properties'].items():
        holds = found['holds'] is True
        wrong += not holds
        print(f'{spec.name}: {name}: {"holds" if holds else "FAILS"}')
        if found['holds'] is False:
            print(f'  {trace(found)}')
    print(f'{spec.name}: {result["reachable_states"]} states')
    for variant, invariant in spec.broken.items():
        found = check_safety(spec.protocol(variant), max_states=STATES_MAX)
        caught = found['properties'][invariant]
        wrong += caught['holds'] is not False
        if caught['holds'] is False:
            print(f'{spec.name}, {variant}: caught by "{invariant}"')
            print(f'  {trace(caught)}')
        else:
            print(f'{spec.name}, {variant}: NOT CAUGHT')
    return wrong


def main() -> int:
    """The exit status: 0 if all is as it should be."""
    wrong = sum(check(spec) for spec in SPECS)
    print(f'{len(SPECS)} models, {wrong} wrong')
    return 1 if wrong else 0


if __name__ == '__main__':
    sys.exit(main())
