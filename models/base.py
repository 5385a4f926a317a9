"""What the models share."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from minicheck import Protocol

#: A transition: its label and the state after it.
Steps = Iterable[tuple[str, Any]]


@dataclass(frozen=True)
class Spec:
    """A model and the variants of it that must fail.

    `broken` maps what is broken to the invariant that must catch it.
    """

    name: str
    initial: Any
    transitions: Callable[[Any, str], Steps]
    invariants: dict[str, Callable[[dict], bool]]
    broken: dict[str, str]

    def protocol(self, variant: str = '') -> Protocol:
        """The model, or a broken variant of it."""
        return Protocol(
            name=self.name,
            candidate=False,
            fields=self.initial._fields,
            initial=self.initial,
            transitions=lambda state: list(self.transitions(state, variant)),
            invariants=self.invariants,
        )
