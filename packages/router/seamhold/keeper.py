"""The task that owns the settings in force on this box.

Versions come from the platform or from peers, in any order; the pure state
in `seamhold_settings.versions` decides.  Other tasks read a snapshot, which
is replaced whole and never changed.
"""

import threading
from collections.abc import Callable

from msgspec import Struct

from seamhold_settings import ActiveSettings, Candidate, OfferResult, Tree

from .metrics import Metrics
from .tasks import Ask, Task

#: How long an offer may take to be answered.
OFFER_SECONDS = 5.0


class SettingsSnapshot(Struct, frozen=True):
    """What is in force: the tree, and what peers compare."""

    tree: Tree
    total: int
    fingerprint: int
    ready: bool


class Offer(Ask):
    """Versions that the platform or a peer told; answered by an OfferResult each."""

    candidates: list[Candidate]
    source: str


class WantNewer(Ask):
    """Asks for the objects that are ahead of `known`."""

    known: dict[str, int]


class WantKnown(Ask):
    """Asks for the revision of every object in force."""


class SettingsReport(Struct, frozen=True):
    """What the status page shows of the settings."""

    revisions: dict[str, int]
    edits: dict[str, str]
    rejected: dict[str, str]


class WantSettingsReport(Ask):
    """Asks for a SettingsReport."""


class SettingsKeeper(Task):
    """Owns the settings in force and tells when they change."""

    name = 'settings'

    def __init__(self, metrics: Metrics, on_change: Callable[[Tree], None]):
        super().__init__()
        self._state = ActiveSettings()
        self._metrics = metrics
        self._on_change = on_change
        self.ready = threading.Event()
        self.snapshot = self._take_snapshot()
        self.handlers = {
            Offer: self._offer,
            WantNewer: lambda message: self._state.newer_than(message.known),
            WantKnown: lambda message: self._state.revisions(),
            WantSettingsReport: self._report,
        }

    def _take_snapshot(self) -> SettingsSnapshot:
        state = self._state
        return SettingsSnapshot(state.tree, state.revision_sum(), state.fingerprint(), state.ready)

    def _offer(self, message: Offer) -> list[OfferResult]:
        steps = [self._state.offer(candidate) for candidate in message.candidates]
        for candidate, step in zip(message.candidates, steps, strict=True):
            self._note(candidate, step, message.source)
        if OfferResult.TAKEN in steps:
            self.snapshot = self._take_snapshot()
            self._on_change(self.snapshot.tree)
            if self.snapshot.ready:
                self.ready.set()
        return steps

    def _note(self, candidate: Candidate, step: OfferResult, source: str) -> None:
        if step is OfferResult.SAME:
            return
        self._metrics.count(f'settings.{step}')
        self.log.info(
            'settings.offer',
            step=step,
            source=source,
            object=candidate.name,
            revision=candidate.revision,
            edit=candidate.edit_id,
        )

    def _report(self, _: WantSettingsReport) -> SettingsReport:
        edits = {name: held.edit_id for name, held in self._state.objects.items()}
        return SettingsReport(self._state.revisions(), edits, dict(self._state.rejected))
