"""Definitions that the models share."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from minicheck import Protocol

#: Transitions, each a label and the state after it.
Steps = Iterable[tuple[str, Any]]


@dataclass(frozen=True)
class Spec:
    """A model and the variants that must fail.

    `broken_variants` maps each broken mechanism to the invariant that must detect it.
    """

    name: str
    initial: Any
    transitions: Callable[[Any, str], Steps]
    invariants: dict[str, Callable[[dict], bool]]
    broken_variants: dict[str, str]

    def protocol(self, variant: str = '') -> Protocol:
        """Return the model, or one of its broken variants, as a minicheck protocol."""
        return Protocol(
            name=self.name,
            candidate=False,
            fields=self.initial._fields,
            initial=self.initial,
            transitions=lambda state: list(self.transitions(state, variant)),
            invariants=self.invariants,
        )
