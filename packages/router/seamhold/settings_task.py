"""The task that owns the settings in force on this box.

Versions come from the platform or from peers, in any order; the state machine in
`seamhold_settings.versions` decides which one applies.  Other tasks read an immutable
snapshot, which is replaced as a whole.
"""

import threading
from collections.abc import Callable

from msgspec import Struct

from seamhold_settings import ActiveSettings, Candidate, OfferResult, Tree

from .metrics import Metrics
from .tasks import Query, Task

#: Maximum wait for the reply to an offer, in seconds.
OFFER_SECONDS = 5.0
#: Invalid items of a tree that are logged each time it changes.
LOGGED_PROBLEMS_MAX = 20


class SettingsSnapshot(Struct, frozen=True):
    """The settings in force, and the values by which peers compare them.

    `left_out` has a problem for each invalid item of a complete tree.
    """

    tree: Tree
    total: int
    fingerprint: int
    ready: bool
    left_out: tuple[str, ...] = ()


class OfferSettings(Query):
    """Offers versions from the platform or a peer; the reply is an OfferResult for each."""

    candidates: list[Candidate]
    source: str


class GetNewerSettings(Query):
    """Asks for the objects that are newer than the given revisions."""

    revisions: dict[str, int]


class GetRevisions(Query):
    """Asks for the revision of every object in force."""


class SettingsReport(Struct, frozen=True):
    """The settings' part of the status page."""

    revisions: dict[str, int]
    edits: dict[str, str]
    rejected: dict[str, str]


class GetSettingsReport(Query):
    """Asks for a SettingsReport."""


class SettingsTask(Task):
    """Owns the settings in force; calls `on_change` with the tree after each change."""

    name = 'settings'

    def __init__(self, metrics: Metrics, on_change: Callable[[Tree], None]):
        super().__init__()
        self._state = ActiveSettings()
        self._metrics = metrics
        self._on_change = on_change
        self.ready = threading.Event()
        self.snapshot = self._make_snapshot()
        self.handlers = {
            OfferSettings: self._offer,
            GetNewerSettings: lambda message: self._state.newer_than(message.revisions),
            GetRevisions: lambda message: self._state.revisions(),
            GetSettingsReport: self._report,
        }

    def _make_snapshot(self) -> SettingsSnapshot:
        state = self._state
        return SettingsSnapshot(
            state.tree, state.revision_sum(), state.fingerprint(), state.ready, state.left_out
        )

    def _offer(self, message: OfferSettings) -> list[OfferResult]:
        results = [self._state.offer(candidate) for candidate in message.candidates]
        for candidate, result in zip(message.candidates, results, strict=True):
            self._log_result(candidate, result, message.source)
        if OfferResult.TAKEN in results:
            self.snapshot = self._make_snapshot()
            self._report_left_out()
            self._on_change(self.snapshot.tree)
            if self.snapshot.ready:
                self.ready.set()
        return results

    def _report_left_out(self) -> None:
        left_out = self.snapshot.left_out
        self._metrics.gauge('settings_items_left_out', len(left_out))
        for problem in left_out[:LOGGED_PROBLEMS_MAX]:
            self.log.warning('settings.item_left_out', detail=problem)

    def _log_result(self, candidate: Candidate, result: OfferResult, source: str) -> None:
        if result is OfferResult.SAME:
            return
        self._metrics.count(f'settings.{result}')
        self.log.info(
            'settings.offer',
            step=result,
            source=source,
            object=candidate.name,
            revision=candidate.revision,
            edit=candidate.edit_id,
        )

    def _report(self, _: GetSettingsReport) -> SettingsReport:
        edits = {name: held.edit_id for name, held in self._state.objects.items()}
        return SettingsReport(self._state.revisions(), edits, dict(self._state.rejected))
