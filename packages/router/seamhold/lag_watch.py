"""Finds out that this box does not receive the updates that its peers announce."""

from collections.abc import Callable

from seamhold_membership import Digest, UpdateLag
from seamhold_platform import ObjectKind

from .decider import Decider
from .logs import logger
from .metrics import Metrics
from .settings_task import SettingsTask

#: A box that lacks an announced update for this long reads the platform's store itself.  An
#: update must be in force within two seconds.
LAG_SECONDS = 1.0
KINDS = (ObjectKind.SETTINGS, ObjectKind.ENGINES, ObjectKind.BOXES, ObjectKind.EVACUATIONS)


class LagWatch:
    """Compares announced versions with this box's; used on one thread only."""

    def __init__(
        self,
        decider: Decider,
        settings_task: SettingsTask,
        metrics: Metrics,
        clock: Callable[[], float],
    ):
        self._decider = decider
        self._settings_task = settings_task
        self._metrics = metrics
        self._clock = clock
        self._log = logger('lag')
        self._lags = {kind: UpdateLag() for kind in KINDS}

    def record(self, digest: Digest) -> None:
        """Record the versions that a peer announces."""
        now = self._clock()
        announced = {
            ObjectKind.SETTINGS: digest.settings_total,
            ObjectKind.ENGINES: digest.engines_version,
            ObjectKind.BOXES: digest.boxes_version,
            ObjectKind.EVACUATIONS: digest.evacuations_version,
        }
        own = self._own_versions()
        for kind, lag in self._lags.items():
            lag.announce(announced[kind], own[kind], now)
        self._update(own, now)

    def check(self) -> None:
        """Report how old the oldest announced update is that this box lacks."""
        seconds = self._update(self._own_versions(), self._clock())
        self._metrics.gauge('update_lag_seconds', round(max(seconds.values()), 3))

    def _update(self, own: dict[ObjectKind, int], now: float) -> dict[ObjectKind, float]:
        """Let this box read what has lagged for too long; return the lags."""
        seconds = {kind: lag.seconds(own[kind], now) for kind, lag in self._lags.items()}
        lagging = frozenset(kind for kind in KINDS if seconds[kind] >= LAG_SECONDS)
        before = self._decider.lagging
        if lagging != before:
            self._decider.lagging = lagging
            self._log_changes(before, lagging, own, seconds)
        return seconds

    def _log_changes(
        self,
        before: frozenset[ObjectKind],
        lagging: frozenset[ObjectKind],
        own: dict[ObjectKind, int],
        seconds: dict[ObjectKind, float],
    ) -> None:
        for kind in lagging - before:
            self._metrics.count(f'updates.lagging_{kind}')
            self._log.warning(
                'updates.lagging',
                kind=kind,
                announced=self._lags[kind].announced,
                own=own[kind],
                seconds=round(seconds[kind], 3),
            )
        for kind in before - lagging:
            self._log.info('updates.caught_up', kind=kind, own=own[kind])

    def _own_versions(self) -> dict[ObjectKind, int]:
        decider = self._decider
        return {
            ObjectKind.SETTINGS: self._settings_task.snapshot.total,
            ObjectKind.ENGINES: decider.engines.version,
            ObjectKind.BOXES: decider.boxes.version,
            ObjectKind.EVACUATIONS: decider.evacuations.version,
        }
