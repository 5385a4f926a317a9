"""One run of the soak, from its seed to its verdict."""

import random
import threading
import time
from dataclasses import dataclass, field

from standins.fleet import FleetError, wait_until

from .callers import Callers, Seen
from .fleet import READY_SECONDS, SoakFleet
from .promises import Violation, check
from .trouble import Troubles

#: The promise: an accepted version of the settings is in force everywhere.
SETTINGS_SECONDS = 6.0
LOOK_SECONDS = 0.4
CALLS_AT_THE_END = 4


@dataclass(frozen=True)
class Plan:
    """How large a run is; `seconds` of troubles."""

    seed: int
    seconds: float = 20.0
    boxes: int = 3
    engines: int = 3
    callers: int = 12


@dataclass
class Verdict:
    """What a run came to."""

    plan: Plan
    calls: int = 0
    whole: int = 0
    troubles: dict[str, int] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)


class SettingsLook(threading.Thread):
    """Looks at each box's settings all the while: they only go forward in one life."""

    def __init__(self, fleet: SoakFleet):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._seen: dict[int, int] = {}
        self._stopped = threading.Event()
        self.violations: list[Violation] = []

    def run(self):
        """Look until stopped."""
        while not self._stopped.wait(LOOK_SECONDS):
            for box in self._fleet.boxes:
                self._look(box)

    def stop(self) -> None:
        """Look no more."""
        self._stopped.set()
        self.join()

    def _look(self, box: str) -> None:
        process = self._fleet.processes[box]
        try:
            url = f'{process.operator_url}/status'
            total = sum(
                self._fleet.http.request('GET', url, timeout=1.0)
                .json()['settings']['revisions']
                .values()
            )
        except Exception:
            # It is down, frozen or not yet up.
            return
        before = self._seen.get(process.popen.pid, 0)
        if total < before:
            detail = f'{box}: from {before} to {total}'
            self.violations.append(Violation('settings never go back', detail))
        self._seen[process.popen.pid] = total


def play(plan: Plan) -> Verdict:
    """One run; everything it started is ended."""
    verdict = Verdict(plan)
    with SoakFleet(random.Random(plan.seed)) as fleet:
        fleet.start(plan.boxes, plan.engines)
        callers = Callers(fleet, plan.seed)
        troubles = Troubles(fleet, plan.seed)
        look = SettingsLook(fleet)
        look.start()
        callers.start(plan.callers)
        troubles.play(plan.seconds)
        verdict.violations += _check_recovery(fleet, troubles, callers)
        callers.stop()
        look.stop()
        verdict.violations += look.violations
        verdict.violations += check(callers.seen, fleet.ran(), troubles.made)
    verdict.calls = len(callers.seen)
    verdict.whole = sum(seen.looks_whole for seen in callers.seen)
    for trouble in troubles.made:
        verdict.troubles[trouble.kind] = verdict.troubles.get(trouble.kind, 0) + 1
    return verdict


def _check_recovery(fleet: SoakFleet, troubles: Troubles, callers: Callers) -> list[Violation]:
    """With all troubles over, every box is ready, has the newest settings and serves."""
    try:
        for box in fleet.boxes:
            wait_until(lambda box=box: fleet.ready(box), READY_SECONDS, f'{box} to be ready')
        troubles.settings += 1
        fleet.change_settings(troubles.settings)
        time.sleep(SETTINGS_SECONDS)
    except FleetError as error:
        return [Violation('a fleet recovers', str(error))]
    found = []
    revisions = {box: fleet.status(box)['settings']['revisions'] for box in fleet.boxes}
    if len({str(sorted(held.items())) for held in revisions.values()}) != 1:
        found.append(Violation('settings are in force everywhere in seconds', str(revisions)))
    for seen in callers.call_each_box(CALLS_AT_THE_END):
        if not seen.looks_whole:
            found.append(Violation('a fleet recovers', _told(seen)))
    return found


def _told(seen: Seen) -> str:
    return f'{seen.mark} at {seen.box}: {seen.status} {seen.broken} {seen.problem}'
