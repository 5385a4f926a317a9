"""Whether a request may run, by the engines that ended under it anywhere in the fleet.

A request that ends its engine is tried once more; after two ends it runs alone, one run at
a time in the fleet, and a third end under such a run is proof: the trial alone of software
that quarantines poison messages.  All calls that an engine held end with it, so ends that
happen beside others prove nothing; a request that ended well is cleared.

Any box may be asked by the others about a request, the one that ranks first for it is.
"""

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct

from .case import QUARANTINE_ENDS, SUSPECT_ENDS, CaseState, MetEnd, rest_after
from .messages import (
    Case,
    EndReport,
    Permission,
    Standing,
    TrialAsk,
    TrialOver,
    Verdict,
)

#: Requests that a box remembers.  The workspace with the most loses some when there are
#: more.
CASES_MAX = 4096
CASES_DROPPED = 256
#: A trial is over when its box says nothing for so long after the call's own time, in seconds.
TRIAL_SLACK_SECONDS = 1.0
#: An engine that ended counts as away for so long at most, in seconds: it starts again within.
AWAY_SECONDS = 10.0
FINGERPRINT_SPAN = 2**32


class _Trial(Struct, frozen=True):
    """A run of a suspect that goes on somewhere."""

    run: str
    until: float


class Quarantine:
    """What one box knows of requests under which engines ended."""

    def __init__(self):
        self._cases: dict[str, CaseState] = {}
        #: Those of them that all boxes should know: under which more than one engine ended.
        self._shared: dict[str, CaseState] = {}
        self._trials: dict[str, _Trial] = {}
        #: Engines that proven requests ended, with the most ends under one of these.
        self._explained: dict[int, int] = {}
        #: Scopes of the requests that may not simply run, replaced whole.
        self.scopes: frozenset[int] = frozenset()
        #: Tells apart what boxes should all know, 0 while that is nothing.
        self.fingerprint = 0

    # What the box is told.

    def ended(self, report: EndReport, now: float) -> int:
        """An engine ended under a request; how many have, as far as that counts."""
        case = self._cases.setdefault(report.request, CaseState.of(report))
        is_news = case.add(report.end, now)
        if self._make_room() or (is_news and len(case.ends) >= SUSPECT_ENDS):
            self._changed(now)
        return len(self._counted(case))

    def merge(self, cases: Iterable[Case], now: float) -> bool:
        """Take over what a peer or the store knows; False if that tells nothing new."""
        news = [self._merge_one(case, now) for case in cases]
        if not any(news):
            return False
        self._make_room()
        self._changed(now)
        return True

    def _merge_one(self, told: Case, now: float) -> bool:
        case = self._cases.get(told.request) or CaseState.of(told)
        if not case.merge(told, now) or now >= case.forgotten_at:
            return False
        self._cases[told.request] = case
        return True

    def lift(self, request: str, now: float) -> bool:
        """An operator clears a request; False if it is not known."""
        case = self._cases.get(request)
        if case is None:
            return False
        case.clear(now)
        self._changed(now)
        return True

    def forget(self, now: float) -> None:
        """Drop what is long over."""
        old = [name for name, case in self._cases.items() if now >= case.forgotten_at]
        for name in old:
            self._drop(name)
        if old:
            self._changed(now)

    # What the box is asked.

    def standing(self, request: str, now: float) -> Standing:
        """How a request may run."""
        case = self._cases.get(request)
        if case is None:
            return Standing.CLEAR
        counted = self._counted(case)
        if len(counted) < SUSPECT_ENDS:
            return Standing.CLEAR
        if _is_proven(counted) and now < _rests_until(counted):
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def rest(self, request: str, now: float) -> float:
        """Seconds until a request in quarantine may be tried again, 0 if it is in none."""
        if self.standing(request, now) is not Standing.QUARANTINED:
            return 0.0
        return _rests_until(self._counted(self._cases[request])) - now

    def lately_ended(self, request: str, now: float) -> frozenset[int]:
        """The starts of engines that ended under a request and may not be back yet."""
        case = self._cases.get(request)
        if case is None:
            return frozenset()
        since = now - AWAY_SECONDS
        return frozenset(key for key, met in case.ends.items() if met.at > since)

    def ask(self, ask: TrialAsk, now: float) -> Permission:
        """Whether a run may begin now; one that runs alone is remembered until it is over."""
        standing = self.standing(ask.request, now)
        if standing is Standing.CLEAR:
            return Permission(Verdict.RUN)
        if standing is Standing.QUARANTINED:
            return Permission(Verdict.REFUSE, self.rest(ask.request, now))
        trial = self._trials.get(ask.request)
        if trial is not None and trial.run != ask.run and now < trial.until:
            return Permission(Verdict.WAIT)
        until = now + ask.seconds + TRIAL_SLACK_SECONDS
        self._trials[ask.request] = _Trial(ask.run, until)
        return Permission(Verdict.RUN_ALONE)

    def over(self, over: TrialOver, now: float) -> None:
        """A run of a suspect is over, be it alone or one that began before.

        What is proven is not cleared by one run that ends well: some engines survive it.
        """
        trial = self._trials.get(over.request)
        if trial is not None and trial.run == over.run:
            del self._trials[over.request]
        if over.well and self.standing(over.request, now) is Standing.SUSPECT:
            self.lift(over.request, now)

    # What the box tells.

    def shared(self, now: float) -> tuple[Case, ...]:
        """What all boxes should know: the requests that are suspect, or were."""
        return tuple(case.told(now) for case in self._shared.values())

    def shared_case(self, request: str, now: float) -> Case | None:
        """One of these, None if it is none."""
        case = self._shared.get(request)
        return case.told(now) if case is not None else None

    def case(self, request: str, now: float) -> Case | None:
        """All that this box knows of one request, None for nothing."""
        case = self._cases.get(request)
        return case.told(now) if case is not None else None

    def _counted(self, case: CaseState) -> dict[int, MetEnd]:
        """The ends that count against a case.

        Those that a request in quarantine explains, under which more engines ended, do not:
        what ran beside it on two of them must not be held for guilty of a third.
        """
        return case.counted(self._explained)

    def _changed(self, now: float) -> None:
        """Work out anew what hangs on the cases that all boxes should know."""
        self._shared = {
            name: case for name, case in self._cases.items() if len(case.ends) >= SUSPECT_ENDS
        }
        self._explained = _explained_by(self._shared.values())
        self.scopes = frozenset(
            case.scope
            for name, case in self._shared.items()
            if self.standing(name, now) is not Standing.CLEAR
        )
        total = 0
        for case in self._shared.values():
            total ^= case.fingerprint
        self.fingerprint = total % FINGERPRINT_SPAN

    def _make_room(self) -> bool:
        """Drop some cases of the workspace that has the most; False if there is room."""
        if len(self._cases) <= CASES_MAX:
            return False
        counts = Counter(case.workspace for case in self._cases.values())
        greatest = max(counts, key=counts.__getitem__)
        own = [case for case in self._cases.values() if case.workspace == greatest]
        # A request under which one engine ended goes before one that is refused.
        own.sort(key=lambda case: (len(case.ends), case.last_end))
        for case in own[:CASES_DROPPED]:
            self._drop(case.request)
        return True

    def _drop(self, request: str) -> None:
        del self._cases[request]
        self._shared.pop(request, None)
        self._trials.pop(request, None)


def _explained_by(cases: Iterable[CaseState]) -> dict[int, int]:
    """The engines whose ends proven requests explain, with the most ends of such a request."""
    explained: dict[int, int] = {}
    for case in cases:
        counted = case.counted({})
        if not _is_proven(counted):
            continue
        for engine in counted:
            explained[engine] = max(explained.get(engine, 0), len(counted))
    return explained


def _is_proven(counted: dict[int, MetEnd]) -> bool:
    alone = any(met.on_trial for met in counted.values())
    return alone and len(counted) >= QUARANTINE_ENDS


def _rests_until(counted: dict[int, MetEnd]) -> float:
    last = max(met.at for met in counted.values())
    return last + rest_after(len(counted))
