"""Tables from the logs of all boxes: re-read prompts, failures and waits before refusals.

`python -m measure.losses LOG ...` reads logs as `seamhold explain` does.
"""

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

from msgspec import Struct, field

from seamhold.explaining import ENDS, LogLine, read_line

#: The period of one row in the table over time.
WINDOW_SECONDS = 2.0
#: The maximum number of rows of a table.
ROWS_MAX = 40


class Reading(Struct, frozen=True):
    """An attempt that an engine started to answer; times in seconds of the logs' clock."""

    started: float
    answered: float
    chat: str
    tokens: int
    engine: str
    fetched_from: str
    holders: int
    spilled: bool


class Tokens(Struct):
    """A number of calls and the sum of their shared tokens."""

    calls: int = 0
    tokens: int = 0

    def add(self, tokens: int) -> None:
        """Count one call."""
        self.calls += 1
        self.tokens += tokens


class Holders(Struct):
    """The time since which each engine holds a chat, from all logs together."""

    since: dict[str, float] = field(default_factory=dict)
    first_started: float = 0.0


def load(paths: Iterable[str]) -> list[LogLine]:
    """Return all readable lines of the logs."""
    lines = []
    for path in paths:
        with Path(path).open(encoding='utf-8') as file:
            lines += filter(None, (read_line(text, Path(path).name) for text in file))
    return lines


def moment(line: LogLine) -> float:
    """Return when a line was written, in unix seconds."""
    return datetime.fromisoformat(line.at).timestamp()


def readings(lines: Iterable[LogLine]) -> Iterator[Reading]:
    """Yield every attempt that an engine answered, of calls that share a prompt."""
    for line in lines:
        values = line.fields
        if line.event not in ENDS or not values.get('chat'):
            continue
        ended = moment(line)
        for attempt in reversed(values['attempts']):
            started = ended - attempt['seconds']
            ended = started
            if attempt.get('answered') is None:
                continue
            yield Reading(
                started,
                started + attempt['answered'],
                values['chat'],
                values['shared_tokens'],
                attempt['engine'],
                attempt['fetched_from'],
                attempt['holders'],
                attempt['spilled'],
            )


def causes_of_reading(all_readings: Iterable[Reading]) -> dict[str, Tokens]:
    """Sum the shared tokens by whether and why they were read, found or moved."""
    chats: dict[str, Holders] = {}
    causes: dict[str, Tokens] = defaultdict(Tokens)
    for reading in sorted(all_readings, key=lambda reading: reading.started):
        holders = chats.get(reading.chat)
        if holders is None:
            holders = chats[reading.chat] = Holders(first_started=reading.started)
            cause = 'first reading'
        else:
            cause = _cause(reading, holders)
        causes[cause].add(reading.tokens)
        held = holders.since.get(reading.engine, reading.answered)
        holders.since[reading.engine] = min(held, reading.answered)
    return causes


def _cause(reading: Reading, holders: Holders) -> str:
    at_engine = holders.since.get(reading.engine)
    if at_engine is not None:
        return 'found here' if at_engine <= reading.started else 'being read here'
    placement_reason = 'spilled' if reading.spilled else 'by rank'
    holder_status = 'no holder known' if not reading.holders else 'holder known'
    at_source = holders.since.get(reading.fetched_from)
    if at_source is None:
        return f'read again: {placement_reason}, {holder_status}, source never held it'
    if at_source > reading.started:
        return f'read again: {placement_reason}, {holder_status}, source still reads it'
    return f'moved: {placement_reason}, {holder_status}'


def failures(lines: Iterable[LogLine]) -> Counter[str]:
    """Count failed calls by the error returned, and attempts by their outcome."""
    counts: Counter[str] = Counter()
    for line in lines:
        if line.event not in ENDS:
            continue
        values = line.fields
        if line.event == 'call.failed':
            counts[f'call: {values["status"]} {values["code"]}: {values["detail"]:.60}'] += 1
        for attempt in values.get('attempts', ()):
            if attempt['outcome'] != 'done':
                counts[f'attempt: {attempt["outcome"]} {attempt["code"]}'] += 1
    return counts


def held_before_refusal(lines: Iterable[LogLine]) -> dict[str, list[float]]:
    """Return the seconds that refused calls had waited, by code."""
    waits: dict[str, list[float]] = defaultdict(list)
    for line in lines:
        if line.event == 'call.failed' and line.fields['ran'] == 'no':
            waits[line.fields['code']].append(line.fields['seconds'])
    return waits


def by_window(lines: Iterable[LogLine]) -> dict[int, Counter[str]]:
    """Count ended calls by status for each window."""
    rows: dict[int, Counter[str]] = defaultdict(Counter)
    for line in lines:
        if line.event in ENDS:
            row = int(moment(line) // WINDOW_SECONDS)
            rows[row][str(line.fields['status'])] += 1
    return rows


def main(paths: list[str]) -> int:
    """Print the tables."""
    if not paths:
        print('usage: python -m measure.losses LOG ...')
        return 2
    lines = load(paths)
    print('shared parts of prompts: calls, tokens')
    causes = causes_of_reading(readings(lines))
    for cause, sums in sorted(causes.items(), key=lambda item: -item[1].tokens):
        print(f'{sums.calls:8} {sums.tokens:10}  {cause}')
    print('failures')
    for what, count in failures(lines).most_common(ROWS_MAX):
        print(f'{count:8}  {what}')
    print('refused and not run: calls, seconds held in the middle and at most')
    for code, waits in held_before_refusal(lines).items():
        waits.sort()
        print(f'{len(waits):8} {waits[len(waits) // 2]:8.3f} {waits[-1]:8.3f}  {code}')
    print(f'ends by {WINDOW_SECONDS:g} s')
    rows = by_window(lines)
    first = min(rows, default=0)
    for row in sorted(rows):
        print(f'{(row - first) * WINDOW_SECONDS:8.0f}  {dict(rows[row].most_common())}')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
