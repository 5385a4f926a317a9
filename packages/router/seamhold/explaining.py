"""Explains from the boxes' logs what happened to a request, with a one-line verdict."""

import json
from collections.abc import Iterable
from datetime import datetime, timedelta

from msgspec import Struct, field

ENDS = ('call.answered', 'call.failed')
BELIEF_EVENT = 'belief.changed'
USE_EVENT = 'service.engines_unused'
#: Beliefs about a request's engines are shown if they were logged within this time
#: before its first or after its last line.
BELIEF_WINDOW = timedelta(seconds=5)
#: Why a call failed before it was sent to an engine, by the code of its log line.
REFUSAL_REASONS = {
    'not_ready': 'the box was starting or stopping',
    'box_full': 'every thread of the box was serving a call',
    'no_engine': 'no engine of the service was live',
    'engines_resting': 'all engines of the service had asked this box for rest',
    'fleet_full': 'every engine and the queue were full',
    'deadline_passed': 'its deadline passed before an engine had a free slot',
    'deadline_unmeetable': 'its deadline was shorter than the wait for a free slot',
    'unauthorized': 'its key belongs to no workspace',
    'unknown_route': 'no route matches its host and path',
    'caller_left': 'its caller disconnected while it waited',
}


class LogLine(Struct, frozen=True):
    """One line of a log; `where` is the box if the line names it, else the file."""

    at: str
    where: str
    event: str
    fields: dict


class Explanation(Struct):
    """A request's log lines and the beliefs about its engines, in time order, and the verdict."""

    request_id: str
    lines: list[LogLine] = field(default_factory=list)
    verdict: str = ''
    #: Lines that the logs report as dropped.
    dropped: int = 0

    def as_values(self) -> dict:
        """Return plain values, for JSON."""
        lines = [
            {'at': line.at, 'where': line.where, 'event': line.event} | line.fields
            for line in self.lines
        ]
        return {
            'request_id': self.request_id,
            'verdict': self.verdict,
            'lines': lines,
            'dropped': self.dropped,
        }

    def as_text(self) -> str:
        """Return readable text: one line per log line, the verdict last."""
        shown = [
            f'{line.at}  {line.where}  {line.event}  {json.dumps(line.fields)}'
            for line in self.lines
        ]
        return '\n'.join([*shown, self.verdict])


def read_line(text: str, where: str) -> LogLine | None:
    """Parse a log line, or return None; the word before the JSON text names its box."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        values = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(values, dict) or not isinstance(values.get('event'), str):
        return None
    named = text[:start].split()
    at, event = str(values.pop('timestamp', '')), values.pop('event')
    return LogLine(at, named[-1] if named else where, event, values)


def explain(request_id: str, lines: Iterable[LogLine]) -> Explanation | None:
    """Explain a request, or return None if no line names it."""
    explanation = Explanation(request_id)
    beliefs = []
    for line in lines:
        if line.fields.get('request_id') == request_id:
            explanation.lines.append(line)
        elif line.event in (BELIEF_EVENT, USE_EVENT):
            beliefs.append(line)
        elif line.event == 'logs.dropped':
            explanation.dropped += int(line.fields.get('lines', 0))
    if not explanation.lines:
        return None
    explanation.lines.sort(key=lambda line: line.at)
    end = next((line for line in reversed(explanation.lines) if line.event in ENDS), None)
    explanation.verdict = _verdict(end, explanation.dropped)
    subjects = {attempt['engine'] for attempt in _attempts(end)}
    if end is not None:
        subjects.add(end.fields.get('service'))
    first, last = explanation.lines[0], explanation.lines[-1]
    explanation.lines += [
        line for line in beliefs if _subject(line) in subjects and _is_around(line, first, last)
    ]
    explanation.lines.sort(key=lambda line: line.at)
    return explanation


def explain_digest(digest: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of all request ids that share a request digest, in time order."""
    lines = list(lines)
    named = [line for line in lines if line.fields.get('digest') == digest]
    ids = {line.fields.get('request_id') for line in named} - {None}
    ends = [line for line in lines if line.event in ENDS and line.fields.get('request_id') in ids]
    return sorted(named + ends, key=lambda line: line.at)


def _subject(line: LogLine) -> str | None:
    """Return the engine or service that a belief is about."""
    return line.fields.get('subject') or line.fields.get('service')


def _is_around(line: LogLine, first: LogLine, last: LogLine) -> bool:
    """Whether a line was logged within BELIEF_WINDOW of the time between two others."""
    try:
        at, begin, end = (datetime.fromisoformat(one.at) for one in (line, first, last))
        return begin - BELIEF_WINDOW <= at <= end + BELIEF_WINDOW
    except (ValueError, TypeError):
        # Lines without a readable time are kept.
        return True


def _attempts(end: LogLine | None) -> list[dict]:
    return list(end.fields.get('attempts') or []) if end else []


def _verdict(end: LogLine | None, dropped: int) -> str:
    if end is None:
        lost = f'; {dropped} lines were dropped' if dropped else ''
        return f'The end of the request is not in these logs{lost}.'
    if end.event == 'call.answered':
        return _answered(end)
    if end.fields.get('cut'):
        return _cut(end)
    if end.fields.get('ran') == 'no':
        return _not_run(end)
    return _may_have_run(end)


def _answered(end: LogLine) -> str:
    attempts = _attempts(end)
    by = f' by {attempts[-1]["engine"]}' if attempts else ''
    status = end.fields.get('status')
    return f'Answered with {status}{by} after {len(attempts)} attempts: {_seconds(end)}.'


def _not_run(end: LogLine) -> str:
    code = end.fields.get('code', '')
    attempts = _attempts(end)
    if attempts:
        tried = ', '.join(f'{item["engine"]} ({item["outcome"]})' for item in attempts)
        why = f'no engine accepted it: {tried}'
    else:
        why = REFUSAL_REASONS.get(code, end.fields.get('detail') or code)
    return f'Refused, nothing ran ({code}): {why}.'


def _may_have_run(end: LogLine) -> str:
    attempts = _attempts(end)
    code = end.fields.get('code', '')
    if not attempts:
        return f'Failed ({code}): {end.fields.get("detail", "")}.'
    last = attempts[-1]
    not_retried = (
        ''
        if end.fields.get('repeatable')
        else '; the call is not repeatable, so it was not retried'
    )
    return (
        f'Failed after it may have run ({code}): the attempt at {last["engine"]} ended as '
        f'{last["outcome"]} after {last["seconds"]} s{not_retried}.'
    )


def _cut(end: LogLine) -> str:
    code = end.fields.get('code', '')
    attempts = _attempts(end)
    engine = attempts[-1]['engine'] if attempts else 'its engine'
    if code == 'caller_left':
        return f'Cut short: the caller disconnected while {engine} was answering.'
    return f'Cut short ({code}): {engine} ended the answer early; {end.fields.get("detail", "")}.'


def _seconds(end: LogLine) -> str:
    return f'{end.fields.get("seconds", 0)} s'
