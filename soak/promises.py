"""What must have held, from what callers and engines saw."""

import hashlib
import json
from collections import Counter
from dataclasses import dataclass

from .callers import CALL_SECONDS, SLACK_SECONDS, Seen
from .trouble import Trouble

#: Statuses that promise that a call has not run and will not.
NOT_RUN_STATUSES = (429, 503)
#: After being listed as leaving, an engine may get new work for so long.
LEAVING_SECONDS = 4.0
#: Troubles that excuse a box for what it cannot tell or send.
BOX_ENDS = frozenset({'kill_box', 'freeze'})
INTERNAL = 'internal'


@dataclass(frozen=True)
class Violation:
    """A promise that was broken, and by what."""

    promise: str
    detail: str


def expected_text(seen: Seen) -> str:
    """What the stand-in engine says to this call."""
    said = json.dumps([{'role': 'user', 'content': seen.mark}])
    seed = hashlib.sha256(said.encode()).hexdigest()[:6]
    return ''.join(f'{seed}-{number} ' for number in range(seen.tokens))


def check(calls: list[Seen], ran: list[dict], troubles: list[Trouble]) -> list[Violation]:
    """Every promise that was broken in a run."""
    runs = Counter(row['mark'] for row in ran)
    found = []
    for seen in calls:
        found += _check_call(seen, runs[seen.mark], troubles)
    known = {seen.mark for seen in calls}
    found += [
        Violation('engines run only what was asked', mark) for mark in runs if mark not in known
    ]
    return found + _check_leaving(ran, troubles)


def _check_call(seen: Seen, runs: int, troubles: list[Trouble]) -> list[Violation]:
    what = f'{seen.mark} at {seen.box}: {seen.status} {seen.broken} runs {runs} {seen.problem}'
    found = []
    if seen.looks_whole and seen.text != expected_text(seen):
        found.append(Violation('an answer is whole and its own', what))
    if seen.status == 200 and not seen.looks_whole and not (seen.broken or seen.problem):
        found.append(Violation('a cut answer does not look complete', what))
    if seen.status in NOT_RUN_STATUSES and seen.problem.get('ran') == 'no' and runs:
        found.append(Violation('told "not run" means not run', what))
    if seen.once and runs > 1:
        found.append(Violation('what may not repeat runs at most once', what))
    if seen.problem.get('code') == INTERNAL:
        found.append(Violation('a box has no fault of its own', what))
    if not _excused(seen, troubles):
        found += _check_ended(seen, runs, what)
    return found


def _excused(seen: Seen, troubles: list[Trouble]) -> bool:
    """Whether the box was killed or frozen while the call lasted."""
    return any(
        trouble.kind in BOX_ENDS
        and trouble.subject == seen.box
        and trouble.touches(seen.began, seen.ended, 0.2)
        for trouble in troubles
    )


def _check_ended(seen: Seen, runs: int, what: str) -> list[Violation]:
    found = []
    if seen.ended - seen.began > CALL_SECONDS + SLACK_SECONDS:
        found.append(Violation('a call ends with its time', what))
    if seen.sent and seen.broken and not seen.status and runs:
        found.append(Violation('a call that ran gets an answer', what))
    if seen.broken and seen.status and not seen.problem:
        found.append(Violation('a stream that fails says why', what))
    return found


def _check_leaving(ran: list[dict], troubles: list[Trouble]) -> list[Violation]:
    """No engine that was listed as leaving begins new work after some seconds."""
    found = []
    for leaving in troubles:
        if leaving.kind != 'engine_leaves' or not leaving.detail or not leaving.ended:
            continue
        listed = float(leaving.detail)
        if _platform_troubled(troubles, listed):
            continue
        late = [
            row
            for row in ran
            if row['engine'] == leaving.subject
            and listed + LEAVING_SECONDS < row['at'] < listed + LEAVING_SECONDS + 1.0
        ]
        for row in late:
            found.append(Violation('a leaving engine gets no new work', f'{row} {leaving}'))
    return found


def _platform_troubled(troubles: list[Trouble], listed: float) -> bool:
    kinds = {'platform_link', 'platform_fails', 'freeze', 'kill_box', 'stop_box'}
    return any(
        trouble.kind in kinds and trouble.touches(listed - 2.0, listed + LEAVING_SECONDS + 1.0)
        for trouble in troubles
    )
