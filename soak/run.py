"""One run of the soak, from its seed to its result."""

import random
import threading
import time
from dataclasses import dataclass, field

from standins.fleet import FleetError, wait_until

from .callers import Callers, CallRecord
from .faults import FaultInjector
from .fleet import READY_SECONDS, SoakFleet
from .invariants import Violation, check

#: Within this time every box must use an accepted version of the settings.
SETTINGS_SECONDS = 6.0
POLL_SECONDS = 0.4
CALLS_AT_THE_END = 4


@dataclass(frozen=True)
class RunConfig:
    """The size of a run; faults are injected for `seconds`."""

    seed: int
    seconds: float = 20.0
    boxes: int = 3
    engines: int = 3
    callers: int = 12


@dataclass
class RunResult:
    """The counts and violations of a run."""

    config: RunConfig
    calls: int = 0
    complete: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)


class SettingsMonitor(threading.Thread):
    """Polls each box's settings: within one process, revisions must never decrease."""

    def __init__(self, fleet: SoakFleet):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._revision_sums: dict[int, int] = {}
        self._stopped = threading.Event()
        self.violations: list[Violation] = []

    def run(self):
        """Poll until stopped."""
        while not self._stopped.wait(POLL_SECONDS):
            for box in self._fleet.boxes:
                self._check_box(box)

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()
        self.join()

    def _check_box(self, box: str) -> None:
        process = self._fleet.processes[box]
        try:
            url = f'{process.operator_url}/status'
            total = sum(
                self._fleet.http.request('GET', url, timeout=1.0)
                .json()['settings']['revisions']
                .values()
            )
        except Exception:
            # The box is down, frozen or not started yet.
            return
        before = self._revision_sums.get(process.popen.pid, 0)
        if total < before:
            detail = f'{box}: from {before} to {total}'
            self.violations.append(Violation('settings never revert', detail))
        self._revision_sums[process.popen.pid] = total


def run_once(config: RunConfig) -> RunResult:
    """Do one run and stop every process that it started."""
    result = RunResult(config)
    with SoakFleet(random.Random(config.seed)) as fleet:
        fleet.start(config.boxes, config.engines)
        callers = Callers(fleet, config.seed)
        injector = FaultInjector(fleet, config.seed)
        monitor = SettingsMonitor(fleet)
        monitor.start()
        callers.start(config.callers)
        injector.run(config.seconds)
        result.violations += _check_recovery(fleet, injector, callers)
        callers.stop()
        monitor.stop()
        result.violations += monitor.violations
        result.violations += check(callers.records, fleet.started_requests(), injector.injected)
    result.calls = len(callers.records)
    result.complete = sum(record.looks_complete for record in callers.records)
    for fault in injector.injected:
        result.faults[fault.kind] = result.faults.get(fault.kind, 0) + 1
    return result


def _check_recovery(fleet: SoakFleet, injector: FaultInjector, callers: Callers) -> list[Violation]:
    """Check that after all faults every box is ready, serves calls and has the newest settings."""
    try:
        for box in fleet.boxes:
            wait_until(lambda box=box: fleet.ready(box), READY_SECONDS, f'{box} to be ready')
        injector.settings_version += 1
        fleet.change_settings(injector.settings_version)
        time.sleep(SETTINGS_SECONDS)
    except FleetError as error:
        return [Violation('a fleet recovers', str(error))]
    found = []
    revisions = {box: fleet.status(box)['settings']['revisions'] for box in fleet.boxes}
    if len({str(sorted(held.items())) for held in revisions.values()}) != 1:
        found.append(
            Violation('accepted settings are in force on every box within seconds', str(revisions))
        )
    for record in callers.call_each_box(CALLS_AT_THE_END):
        if not record.looks_complete:
            found.append(Violation('a fleet recovers', _describe(record)))
    return found


def _describe(record: CallRecord) -> str:
    return (
        f'{record.mark} at {record.box}: {record.status} {record.connection_error} '
        f'{record.error_document}'
    )
