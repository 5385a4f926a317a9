"""Checks every model and that every broken variant is detected."""

import sys

from minicheck import check_safety

from . import claims, drain, evacuation, leaving, quarantine, settings, tickets, watching
from .base import Spec

SPECS = (
    tickets.SPEC,
    claims.SPEC,
    settings.SPEC,
    leaving.SPEC,
    drain.SPEC,
    evacuation.SPEC,
    quarantine.SPEC,
    watching.SPEC,
)
STATES_MAX = 400_000


def format_trace(found: dict) -> str:
    """Format a counterexample as the steps that lead to it."""
    return ' > '.join(step['label'] for step in found['counterexample'][1:])


def check_spec(spec: Spec) -> int:
    """Check a model and its variants; return the number of errors."""
    errors = 0
    result = check_safety(spec.protocol(), max_states=STATES_MAX)
    for name, found in result['properties'].items():
        holds = found['holds'] is True
        errors += not holds
        print(f'{spec.name}: {name}: {"holds" if holds else "FAILS"}')
        if found['holds'] is False:
            print(f'  {format_trace(found)}')
    print(f'{spec.name}: {result["reachable_states"]} states')
    for variant, invariant in spec.broken_variants.items():
        found = check_safety(spec.protocol(variant), max_states=STATES_MAX)
        caught = found['properties'][invariant]
        errors += caught['holds'] is not False
        if caught['holds'] is False:
            print(f'{spec.name}, {variant}: caught by "{invariant}"')
            print(f'  {format_trace(caught)}')
        else:
            print(f'{spec.name}, {variant}: NOT CAUGHT')
    return errors


def main() -> int:
    """Check all models; return the exit status, 0 if there are no errors."""
    errors = sum(check_spec(spec) for spec in SPECS)
    print(f'{len(SPECS)} models, {errors} wrong')
    return 1 if errors else 0


if __name__ == '__main__':
    sys.exit(main())
