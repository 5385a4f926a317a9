"""Decides whether a request may run, by the engines that ended under it anywhere in the fleet.

A request whose engine ended may run once more.  After two ends it runs only on trial, alone and
one run at a time in the fleet, and a third end in a trial is proof; other systems quarantine
poison messages in the same way.  Outside a trial an end proves nothing, because all calls on an
engine end with it.  A successful run clears the request.

Requests that differ may have a prompt part in common, and that may be the cause.  So ends count
against each feature of a request, the whole of it and its parts.  A part that sound requests
share, too, is cleared by their success.  A trial is decided by the feature with the most ends;
where several have as many, an end in it is proof only against requests that have all of them.

Any box can serve the others' queries about a request; the box that ranks first for its workspace
does.
"""

from collections import Counter
from collections.abc import Collection, Iterable

from msgspec import Struct

from .case import QUARANTINE_ENDS, SUSPECT_ENDS, CaseState, ObservedEnd, rest_seconds_after
from .messages import (
    Case,
    EndReport,
    Permission,
    Standing,
    TrialRequest,
    TrialResult,
    Verdict,
)

#: Requests that a box remembers; beyond this limit the workspace with the most loses some.
CASES_MAX = 4096
CASES_DROPPED = 256
#: A trial without a result expires this long after the call's own time limit.
TRIAL_SLACK_SECONDS = 1.0
#: How long an engine that ended counts as away; it restarts within this time.
AWAY_SECONDS = 10.0
FINGERPRINT_SPAN = 2**32


class _Trial(Struct, frozen=True):
    """A run of a suspect, alone, that has not ended yet."""

    run: str
    until: float


class Quarantine:
    """What one box knows of requests under which engines ended."""

    def __init__(self):
        self._cases: dict[str, CaseState] = {}
        #: The cases that all boxes should know: those with enough ends for a suspect.
        self._shared: dict[str, CaseState] = {}
        self._trials: dict[str, _Trial] = {}
        #: For each engine that a proven request ended, the number of that request's ends, or the
        #: largest such number if there are several.
        self._explained: dict[int, int] = {}
        #: Scopes of the suspect and quarantined requests; each change replaces the set.
        self.scopes: frozenset[int] = frozenset()
        #: A hash of the cases that all boxes should know, 0 if there are none.
        self.fingerprint = 0

    # Updates.

    def record_end(self, report: EndReport, now: float) -> int:
        """Record that an engine ended under a request; return how many counted ends it has."""
        case = self._cases.setdefault(report.request, CaseState.of(report))
        is_new = case.add(report.end, now)
        if self._make_room() or (is_new and len(case.ends) >= SUSPECT_ENDS):
            self._update_shared(now)
        return len(self._counted_ends(case))

    def merge(self, cases: Iterable[Case], now: float) -> bool:
        """Merge what a peer or the store knows; False if it adds nothing new."""
        changes = [self._merge_one(case, now) for case in cases]
        if not any(changes):
            return False
        self._make_room()
        self._update_shared(now)
        return True

    def _merge_one(self, case: Case, now: float) -> bool:
        state = self._cases.get(case.request) or CaseState.of(case)
        if not state.merge(case, now) or now >= state.forgotten_at:
            return False
        self._cases[case.request] = state
        return True

    def lift(self, request: str, now: float) -> bool:
        """Clear a request, as an operator or a successful run does; False if it is unknown."""
        case = self._cases.get(request)
        if case is None:
            return False
        case.clear(now)
        self._update_shared(now)
        return True

    def forget(self, now: float) -> None:
        """Drop the cases whose memory time has passed."""
        old = [name for name, case in self._cases.items() if now >= case.forgotten_at]
        for name in old:
            self._drop(name)
        if old:
            self._update_shared(now)

    # Queries.

    def standing(
        self, request: str, now: float, features: Collection[str] | None = None
    ) -> Standing:
        """Return how a request may run, by one feature of it.

        `features` are the digests of all its features; without them every partner counts as
        present.
        """
        case = self._cases.get(request)
        if case is None:
            return Standing.CLEAR
        counted = self._counted_ends(case)
        if len(counted) < SUSPECT_ENDS:
            return Standing.CLEAR
        if _is_proven(counted, features) and now < _rests_until(counted):
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def rest(self, request: str, now: float) -> float:
        """Return the seconds until a quarantined request may run on trial, 0 for any other."""
        if self.standing(request, now) is not Standing.QUARANTINED:
            return 0.0
        return _rests_until(self._counted_ends(self._cases[request])) - now

    def most_suspect(self, features: Collection[str], now: float) -> tuple[str, ...]:
        """Return the features of a request that are to blame first, the deciding one first.

        These are the quarantined ones if there are any, else the suspects with the most ends.
        """
        standings = {name: self.standing(name, now, features) for name in features}
        refused = [name for name, one in standings.items() if one is Standing.QUARANTINED]
        if refused:
            return tuple(sorted(refused))
        ends = {
            name: len(self._counted_ends(self._cases[name]))
            for name, one in standings.items()
            if one is Standing.SUSPECT
        }
        most = max(ends.values(), default=0)
        return tuple(sorted(name for name, count in ends.items() if count == most))

    def recently_ended(self, request: str, now: float) -> frozenset[int]:
        """Return the keys of engine starts that ended under a request and may still be away."""
        case = self._cases.get(request)
        if case is None:
            return frozenset()
        since = now - AWAY_SECONDS
        return frozenset(key for key, end in case.ends.items() if end.at > since)

    def request_trial(self, query: TrialRequest, now: float) -> Permission:
        """Return whether a run may begin now; a trial is recorded until it ends or expires."""
        standing = self.standing(query.request, now, query.features or None)
        if standing is Standing.CLEAR:
            return Permission(Verdict.RUN)
        if standing is Standing.QUARANTINED:
            return Permission(Verdict.REFUSE, self.rest(query.request, now))
        trial = self._trials.get(query.request)
        if trial is not None and trial.run != query.run and now < trial.until:
            return Permission(Verdict.WAIT)
        until = now + query.seconds + TRIAL_SLACK_SECONDS
        self._trials[query.request] = _Trial(query.run, until)
        return Permission(Verdict.RUN_ALONE)

    def record_trial_result(self, result: TrialResult, now: float) -> None:
        """Record the end of a suspect's run, on trial or begun before it was a suspect.

        One successful run does not clear a quarantined request: some engines survive it.
        """
        trial = self._trials.get(result.request)
        if trial is not None and trial.run == result.run:
            del self._trials[result.request]
        standing = self.standing(result.request, now, result.features or None)
        if result.well and standing is Standing.SUSPECT:
            self.lift(result.request, now)

    # Cases for peers and the store.

    def shared_cases(self, now: float) -> tuple[Case, ...]:
        """Return the cases that all boxes should know: requests that are suspects, or were."""
        return tuple(case.to_case(now) for case in self._shared.values())

    def shared_case(self, request: str, now: float) -> Case | None:
        """Return the case of a request if all boxes should know it, else None."""
        case = self._shared.get(request)
        return case.to_case(now) if case is not None else None

    def case(self, request: str, now: float) -> Case | None:
        """Return what this box knows of a request, None if nothing."""
        case = self._cases.get(request)
        return case.to_case(now) if case is not None else None

    def _counted_ends(self, case: CaseState) -> dict[int, ObservedEnd]:
        """Return the ends that count against a case.

        Ends that a proven request with more ends explains do not count: a request that ran
        beside it on two of the engines must not be blamed for the end of a third.
        """
        return case.counted_ends(self._explained)

    def _update_shared(self, now: float) -> None:
        """Recompute everything that depends on the cases that all boxes should know."""
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
        """Drop some cases of the workspace that has the most; False if none had to go."""
        if len(self._cases) <= CASES_MAX:
            return False
        counts = Counter(case.workspace for case in self._cases.values())
        largest = max(counts, key=counts.__getitem__)
        candidates = [case for case in self._cases.values() if case.workspace == largest]
        # Cases with fewer ends go first, a single end before a refused request.
        candidates.sort(key=lambda case: (len(case.ends), case.last_end))
        for case in candidates[:CASES_DROPPED]:
            self._drop(case.request)
        return True

    def _drop(self, request: str) -> None:
        del self._cases[request]
        self._shared.pop(request, None)
        self._trials.pop(request, None)


def _explained_by(cases: Iterable[CaseState]) -> dict[int, int]:
    """Return, for each engine that proven requests ended, the most ends of one such request."""
    explained: dict[int, int] = {}
    for case in cases:
        counted = case.counted_ends({})
        if not _is_proven(counted):
            continue
        for engine in counted:
            explained[engine] = max(explained.get(engine, 0), len(counted))
    return explained


def _is_proven(counted: dict[int, ObservedEnd], features: Collection[str] | None = None) -> bool:
    on_trial = any(
        end.on_trial and (features is None or end.partners.issubset(features))
        for end in counted.values()
    )
    return on_trial and len(counted) >= QUARANTINE_ENDS


def _rests_until(counted: dict[int, ObservedEnd]) -> float:
    last = max(end.at for end in counted.values())
    return last + rest_seconds_after(len(counted))
