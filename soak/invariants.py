"""Checks a run's invariants against the records of callers and engines."""

import hashlib
import json
from collections import Counter
from dataclasses import dataclass

from .callers import CALL_SECONDS, SLACK_SECONDS, CallRecord
from .faults import Fault

#: Statuses that guarantee that a call has not run and will not run.
NOT_RUN_STATUSES = (429, 503)
#: An engine may get new work for this long after it was listed as leaving.
LEAVING_SECONDS = 4.0
#: Faults during which a box is excused from answering.
EXCUSING_FAULTS = frozenset({'kill_box', 'freeze'})
INTERNAL = 'internal'


@dataclass(frozen=True)
class Violation:
    """A violated invariant and the call or event that violated it."""

    invariant: str
    detail: str


def expected_text(record: CallRecord) -> str:
    """Return the stand-in engine's answer to this call."""
    last_json = json.dumps([{'role': 'user', 'content': record.mark}])
    seed = hashlib.sha256(last_json.encode()).hexdigest()[:6]
    return ''.join(f'{seed}-{number} ' for number in range(record.tokens))


def check(calls: list[CallRecord], ran: list[dict], faults: list[Fault]) -> list[Violation]:
    """Return every violation in a run."""
    runs = Counter(row['mark'] for row in ran)
    found = []
    for record in calls:
        found += _check_call(record, runs[record.mark], faults)
    known = {record.mark for record in calls}
    found += [
        Violation('engines run only calls that were sent', mark)
        for mark in runs
        if mark not in known
    ]
    return found + _check_leaving(ran, faults)


def _check_call(record: CallRecord, runs: int, faults: list[Fault]) -> list[Violation]:
    summary = (
        f'{record.mark} at {record.box}: {record.status} {record.connection_error} '
        f'runs {runs} {record.error_document}'
    )
    found = []
    if record.looks_complete and record.text != expected_text(record):
        found.append(Violation('an answer is complete and belongs to its call', summary))
    if (
        record.status == 200
        and not record.looks_complete
        and not (record.connection_error or record.error_document)
    ):
        found.append(Violation('a truncated answer does not look complete', summary))
    if record.status in NOT_RUN_STATUSES and record.error_document.get('ran') == 'no' and runs:
        found.append(Violation('a call reported as not run did not run', summary))
    if record.at_most_once and runs > 1:
        found.append(Violation('a call that may not repeat runs at most once', summary))
    if record.error_document.get('code') == INTERNAL:
        found.append(Violation('a box reports no internal error', summary))
    if not _is_excused(record, faults):
        found += _check_ended(record, runs, summary)
    return found


def _is_excused(record: CallRecord, faults: list[Fault]) -> bool:
    """Whether the box was killed or frozen during the call."""
    return any(
        fault.kind in EXCUSING_FAULTS
        and fault.subject == record.box
        and fault.overlaps(record.started, record.ended, 0.2)
        for fault in faults
    )


def _check_ended(record: CallRecord, runs: int, summary: str) -> list[Violation]:
    found = []
    if record.ended - record.started > CALL_SECONDS + SLACK_SECONDS:
        found.append(Violation('a call ends by its deadline', summary))
    if record.sent and record.connection_error and not record.status and runs:
        found.append(Violation('a call that ran gets an answer', summary))
    if record.connection_error and record.status and not record.error_document:
        found.append(Violation('a failed stream reports an error', summary))
    return found


def _check_leaving(ran: list[dict], faults: list[Fault]) -> list[Violation]:
    """Check that a leaving engine starts no new work after LEAVING_SECONDS."""
    found = []
    for leaving in faults:
        if leaving.kind != 'engine_leaves' or not leaving.detail or not leaving.ended:
            continue
        listed = float(leaving.detail)
        if _platform_was_faulty(faults, listed):
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


def _platform_was_faulty(faults: list[Fault], listed: float) -> bool:
    kinds = {'platform_link', 'platform_fails', 'freeze', 'kill_box', 'stop_box'}
    return any(
        fault.kind in kinds and fault.overlaps(listed - 2.0, listed + LEAVING_SECONDS + 1.0)
        for fault in faults
    )
