"""Tells one request's story from the boxes' logs, and its cause in a line."""

import json
from collections.abc import Iterable
from datetime import datetime, timedelta

from msgspec import Struct, field

ENDS = ('call.answered', 'call.failed')
BELIEF_EVENT = 'belief.changed'
USE_EVENT = 'service.engines_unused'
#: What was believed of a request's engines so long before and after it belongs
#: to its story.
BELIEF_SPAN = timedelta(seconds=5)
#: Why a call that no engine was sent failed, by the code of its line.
REFUSALS = {
    'not_ready': 'the box was starting or stopping',
    'box_full': 'every thread of the box carried a call',
    'no_engine': 'no engine of the service was live',
    'fleet_full': 'every engine was full, and so was the queue',
    'deadline_passed': 'its time was over before an engine had a place',
    'deadline_unmeetable': 'its time was shorter than the wait for a place',
    'unauthorized': 'its key names no workspace',
    'unknown_route': 'no route takes its host and path',
    'caller_left': 'its caller left while it waited',
}


class LogLine(Struct, frozen=True):
    """One line of a log; `where` is the file, or the box if the line names it."""

    at: str
    where: str
    event: str
    fields: dict


class Story(Struct):
    """A request's lines in time order, the beliefs that bear on it, and the verdict."""

    request_id: str
    lines: list[LogLine] = field(default_factory=list)
    verdict: str = ''
    #: Lines that were lost in the logs that were read.
    dropped: int = 0

    def as_values(self) -> dict:
        """Plain values, for other programs."""
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
        """For a person: a line for each, the verdict last."""
        shown = [
            f'{line.at}  {line.where}  {line.event}  {json.dumps(line.fields)}'
            for line in self.lines
        ]
        return '\n'.join([*shown, self.verdict])


def read_line(text: str, where: str) -> LogLine | None:
    """A log line, or None if it is none; what stands before it names its box."""
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


def explain(request_id: str, lines: Iterable[LogLine]) -> Story | None:
    """The story of a request, or None if no line names it."""
    story = Story(request_id)
    beliefs = []
    for line in lines:
        if line.fields.get('request_id') == request_id:
            story.lines.append(line)
        elif line.event in (BELIEF_EVENT, USE_EVENT):
            beliefs.append(line)
        elif line.event == 'logs.dropped':
            story.dropped += int(line.fields.get('lines', 0))
    if not story.lines:
        return None
    story.lines.sort(key=lambda line: line.at)
    end = next((line for line in reversed(story.lines) if line.event in ENDS), None)
    story.verdict = _verdict(end, story.dropped)
    subjects = {attempt['engine'] for attempt in _attempts(end)}
    if end is not None:
        subjects.add(end.fields.get('service'))
    first, last = story.lines[0], story.lines[-1]
    story.lines += [
        line for line in beliefs if _subject(line) in subjects and _near(line, first, last)
    ]
    story.lines.sort(key=lambda line: line.at)
    return story


def explain_digest(digest: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """All that boxes' logs tell of one request, under whichever ids it came, in time order."""
    lines = list(lines)
    named = [line for line in lines if line.fields.get('digest') == digest]
    ids = {line.fields.get('request_id') for line in named} - {None}
    ends = [line for line in lines if line.event in ENDS and line.fields.get('request_id') in ids]
    return sorted(named + ends, key=lambda line: line.at)


def _subject(line: LogLine) -> str | None:
    """The engine or the service that a belief is of."""
    return line.fields.get('subject') or line.fields.get('service')


def _near(line: LogLine, first: LogLine, last: LogLine) -> bool:
    """Whether a line was written around the time between two others."""
    try:
        at, begin, end = (datetime.fromisoformat(one.at) for one in (line, first, last))
        return begin - BELIEF_SPAN <= at <= end + BELIEF_SPAN
    except (ValueError, TypeError):
        # Lines without a readable time are shown rather than lost.
        return True


def _attempts(end: LogLine | None) -> list[dict]:
    return list(end.fields.get('attempts') or []) if end else []


def _verdict(end: LogLine | None, dropped: int) -> str:
    if end is None:
        lost = f'; {dropped} lines were dropped' if dropped else ''
        return f'Its end is not in these logs{lost}.'
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
        why = f'no engine took it: {tried}'
    else:
        why = REFUSALS.get(code, end.fields.get('detail') or code)
    return f'Refused, nothing ran ({code}): {why}.'


def _may_have_run(end: LogLine) -> str:
    attempts = _attempts(end)
    code = end.fields.get('code', '')
    if not attempts:
        return f'Failed ({code}): {end.fields.get("detail", "")}.'
    last = attempts[-1]
    again = '' if end.fields.get('repeatable') else '; it may not repeat, so nothing else was tried'
    return (
        f'Failed after it may have run ({code}): {last["engine"]} ended it as '
        f'{last["outcome"]} after {last["seconds"]} s{again}.'
    )


def _cut(end: LogLine) -> str:
    code = end.fields.get('code', '')
    attempts = _attempts(end)
    engine = attempts[-1]['engine'] if attempts else 'its engine'
    if code == 'caller_left':
        return f'Cut short: its caller left while {engine} answered.'
    return f'Cut short ({code}): {engine} broke off; {end.fields.get("detail", "")}.'


def _seconds(end: LogLine) -> str:
    return f'{end.fields.get("seconds", 0)} s'
