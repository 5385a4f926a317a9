"""What one box knows of the work on each engine.

An engine that tells with its answers what runs and waits there is known by the
newest of these readings, whichever box got it, and by this box's own calls since.
So what is known costs as much as there are engines, however many boxes there are:
195 boxes that each heard 14 others knew 7 in 100 of the load, and placed 36 of
1,045 calls in five calm seconds above the promised bound.

Of an engine that tells nothing a box sees its own work exactly and its peers' by
digests that are some hundred milliseconds old.

What peers sent since the last word, be it the engine's or theirs, nobody has told yet.
A box assumes that each of them sent as much as it did itself, scaled by `peer_growth`:
so the older its knowledge is the less room it sees, and the room left at an engine is
shared without a message per call.  8 boxes, up to 5 of 14 engines that leave, a hot prompt,
0.05 to 0.1 s on each way: 45 of 657 calls above the promise in five seconds with a quarter,
22 with a half, 24 with the whole; calls that read their prompt anew on a calm run 0.062, 0.066
and 0.075, of 65 boxes 0.083, 0.077 and 0.074 (routers alone, two seeds).

An engine that answers nobody ends no calls either: its reading does not fade, and what
peers may have sent there counts whole.

Sums over the engines of a service are kept up with every change, so that a
decision costs the same however many engines there are.
"""

from collections import defaultdict, deque
from collections.abc import Iterable

from msgspec import Struct

from seamhold_messages.work import NO_WORK, LoadReading, Work

from .answering import Unanswered

#: How long a reading stands for an engine's load, in seconds: some answers a second
#: tell of each engine that works, so one of whom nobody heard for so long is at rest
#: or stuck.
READING_SECONDS = 2.0
#: From this age on, in seconds, a reading fades: of the calls that it told of some have
#: ended, and nobody says so.  An engine that was full and is avoided for it would look full
#: until its reading is void, for all boxes at once, and all calls go to the few others.
#: 65 boxes, 56 engines of 12 slots, calls for 0.93 of these: 62 of 100 calls above the
#: promise in the worst second, 53 at engines that had not read their prompt; 3 and 23 with
#: fading (routers alone, one seed).
FADING_FROM_SECONDS = 0.25
#: Weight of the newest call in the smoothed tokens of a call.
TOKENS_SMOOTHING = 0.1


class _Reading(Struct, frozen=True):
    requests: int
    at: float


class _Change(Struct, frozen=True):
    at: float
    work: Work


class LoadTable:
    """Work in flight per engine: this box's own and what peers told."""

    def __init__(self, peer_growth: float = 0.0):
        self._peer_growth = peer_growth
        self._own: dict[str, Work] = {}
        self._known: dict[str, Work] = {}
        self._unsent: dict[str, Work] = {}
        #: What peers are taken to have sent since the last word.
        self._untold: dict[str, Work] = {}
        self._peers: dict[str, dict[str, Work]] = {}
        self._readings: dict[str, _Reading] = {}
        #: This box's own starts and ends of late: a reading may be older.
        self._changes: dict[str, deque[_Change]] = defaultdict(deque)
        #: An engine's silence tells something no sooner than its reading fades.
        self._unanswered = Unanswered(FADING_FROM_SECONDS)
        self._tokens_per_call = 0.0
        self._group_of: dict[str, str] = {}
        self._group_known: dict[str, Work] = defaultdict(lambda: NO_WORK)
        self._group_untold: dict[str, Work] = defaultdict(lambda: NO_WORK)
        #: This box's own calls.
        self._group_own: dict[str, int] = defaultdict(int)

    @property
    def peer_growth(self) -> float:
        """What each peer is taken to have sent since, as a share of this box's own."""
        return self._peer_growth

    @peer_growth.setter
    def peer_growth(self, share: float) -> None:
        self._peer_growth = share
        self._guess_all()

    # Changes.

    def start(self, engine: str, work: Work, now: float = 0.0) -> None:
        """This box sends `work` to `engine`."""
        self._shift_own(engine, work)
        self._unanswered.sent(engine, now)
        self._shift_known(engine, work)
        self._note_change(engine, work, now)
        self._tokens_per_call += TOKENS_SMOOTHING * (work.tokens - self._tokens_per_call)
        self._shift_unsent(engine, work)

    def answered(self, engine: str, sent_at: float, now: float) -> None:
        """The answer to a call that this box sent to `engine` then begins."""
        self._unanswered.answered(engine, self._group_of.get(engine, ''), sent_at, now)

    def finish(
        self, engine: str, work: Work, now: float = 0.0, sent_at: float | None = None
    ) -> None:
        """Work that this box sent to `engine` has ended; `sent_at` if it was not answered."""
        if sent_at is not None:
            self._unanswered.ended(engine, sent_at)
        self._shift_own(engine, NO_WORK - work)
        # A reading may have told already that it ended.
        if engine not in self._readings or self._known.get(engine, NO_WORK).requests > 0:
            self._shift_known(engine, NO_WORK - work)
        self._note_change(engine, NO_WORK - work, now)
        # A call that an engine told of since is not in there any more.
        if engine in self._unsent and engine not in self._readings:
            self._shift_unsent(engine, NO_WORK - work)

    def _shift_own(self, engine: str, change: Work) -> None:
        before = self._own.get(engine, NO_WORK)
        after = before + change
        if after.requests > 0:
            self._own[engine] = after
        else:
            self._own.pop(engine, None)
        group = self._group_of.get(engine)
        if group is not None:
            self._group_own[group] += max(0, after.requests) - before.requests

    def _note_change(self, engine: str, work: Work, now: float) -> None:
        changes = self._changes[engine]
        changes.append(_Change(now, work))
        while changes[0].at < now - READING_SECONDS:
            changes.popleft()

    def read(self, reading: LoadReading, now: float, newer_by: float = 0.0) -> bool:
        """An engine told its load, to this box or to another; False if more is known.

        It is news if it is newer than what is known, by more than `newer_by` seconds.
        """
        at = now - reading.age
        held = self._readings.get(reading.engine)
        if reading.age > READING_SECONDS:
            return False
        if held is not None and at <= held.at + newer_by:
            return False
        self._readings[reading.engine] = _Reading(reading.requests, at)
        changes = [
            change.work for change in self._changes.get(reading.engine, ()) if change.at > at
        ]
        own = self._own.get(reading.engine, NO_WORK).requests
        requests = max(own, reading.requests + sum(change.requests for change in changes))
        self._set_known(reading.engine, Work(requests, round(requests * self._tokens_per_call)))
        started = sum((change for change in changes if change.requests > 0), NO_WORK)
        self._shift_unsent(reading.engine, started - self._unsent.get(reading.engine, NO_WORK))
        return True

    def expire(self, now: float) -> None:
        """Let old readings fade, and go by what boxes tell where one is too old.

        Not so at an engine that answers nobody: of its calls none has ended.
        """
        for engine, reading in list(self._readings.items()):
            age = now - reading.at
            if self.silent(engine, now):
                continue
            if age > READING_SECONDS:
                del self._readings[engine]
                self._set_known(engine, self._told(engine))
            elif age >= FADING_FROM_SECONDS:
                self._fade(engine, reading, age)
        for engine, changes in list(self._changes.items()):
            if changes[-1].at < now - READING_SECONDS:
                del self._changes[engine]

    def _told(self, engine: str) -> Work:
        """What boxes tell of their own work there, this one's too."""
        told = (loads.get(engine, NO_WORK) for loads in self._peers.values())
        return sum(told, self._own.get(engine, NO_WORK))

    def _fade(self, engine: str, reading: _Reading, age: float) -> None:
        """Take the calls that only an old reading tells of for ended, the more the older."""
        told = self._told(engine).requests
        read = reading.requests + sum(
            change.work.requests
            for change in self._changes.get(engine, ())
            if change.at > reading.at
        )
        left = max(0, read - told) * (1 - age / READING_SECONDS)
        requests = told + round(left)
        if requests < self.known(engine).requests:
            self._set_known(engine, Work(requests, round(requests * self._tokens_per_call)))

    def digest_sent(self) -> None:
        """Peers are told; from here on only new work counts as unsent.

        Not so where the engine tells: there its next word counts, and peers are not told.
        """
        for engine in [name for name in self._unsent if name not in self._readings]:
            self._shift_unsent(engine, NO_WORK - self._unsent[engine])

    def set_peer(self, box: str, loads: dict[str, Work]) -> None:
        """Replace what peer `box` told of its own work."""
        before = self._peers.get(box, {})
        for engine in before.keys() | loads.keys():
            change = loads.get(engine, NO_WORK) - before.get(engine, NO_WORK)
            if change != NO_WORK and engine not in self._readings:
                self._shift_known(engine, change)
        if box not in self._peers:
            self._peers[box] = loads
            self._guess_all()
        self._peers[box] = loads

    def drop_peer(self, box: str) -> None:
        """Forget a peer that is gone."""
        if box in self._peers:
            self.set_peer(box, {})
            del self._peers[box]
            self._guess_all()

    def set_group(self, group: str, engines: Iterable[str]) -> None:
        """Name the engines whose sums `total` gives for `group`."""
        self._group_of = {name: held for name, held in self._group_of.items() if held != group}
        known = untold = NO_WORK
        own = 0
        for engine in engines:
            self._group_of[engine] = group
            own += self.own_calls(engine)
            known += self.known(engine)
            untold += self.untold(engine)
        self._group_known[group] = known
        self._group_untold[group] = untold
        self._group_own[group] = own

    def _set_known(self, engine: str, work: Work) -> None:
        change = work - self._known.get(engine, NO_WORK)
        if change != NO_WORK:
            self._shift_known(engine, change)

    def _shift_known(self, engine: str, change: Work) -> None:
        after = self._known.get(engine, NO_WORK) + change
        self._known[engine] = after
        if after == NO_WORK:
            del self._known[engine]
        group = self._group_of.get(engine)
        if group is not None:
            self._group_known[group] += change
        self._guess(engine)

    def _shift_unsent(self, engine: str, change: Work) -> None:
        after = self._unsent.get(engine, NO_WORK) + change
        if after.requests <= 0:
            self._unsent.pop(engine, None)
        else:
            self._unsent[engine] = after
        self._guess(engine)

    def _guess_all(self) -> None:
        for engine in list(self._unsent):
            self._guess(engine)

    def _guess(self, engine: str) -> None:
        """Work out anew what peers may have sent to `engine` since the last word."""
        before = self.untold(engine)
        after = self._growth(engine)
        if after == before:
            return
        self._untold[engine] = after
        if after == NO_WORK:
            del self._untold[engine]
        group = self._group_of.get(engine)
        if group is not None:
            self._group_untold[group] += after - before

    def _growth(self, engine: str) -> Work:
        """This box's own calls since, times those of its peers."""
        unsent = self._unsent.get(engine)
        factor = self._peer_growth * len(self._peers)
        if unsent is None or not factor:
            return NO_WORK
        return Work(round(unsent.requests * factor), round(unsent.tokens * factor))

    # What is known.

    def own(self) -> dict[str, Work]:
        """This box's work in flight at engines that tell nothing: what a digest carries."""
        return {name: work for name, work in self._own.items() if name not in self._readings}

    def known(self, engine: str) -> Work:
        """The work on `engine` by what was told, and this box's own since."""
        return self._known.get(engine, NO_WORK)

    def own_calls(self, engine: str) -> int:
        """How many calls this box has at `engine`."""
        return self._own.get(engine, NO_WORK).requests

    def own_total(self, group: str) -> int:
        """How many calls this box has at the engines of `group`."""
        return self._group_own[group]

    def untold(self, engine: str) -> Work:
        """What peers are taken to have sent to `engine` since the last word of it."""
        return self._untold.get(engine, NO_WORK)

    def silent(self, engine: str, now: float) -> bool:
        """Whether `engine` does not answer this box: none of its calls ends meanwhile."""
        return self._unanswered.silent(engine, self._group_of.get(engine, ''), now)

    def untold_at_silent(self, engine: str) -> Work:
        """What peers are taken to have sent since, where no call ends to make up for it."""
        peers = len(self._peers)
        unsent = self._unsent.get(engine, NO_WORK)
        return Work(unsent.requests * peers, unsent.tokens * peers)

    def estimate(self, engine: str) -> Work:
        """The best guess of all work on `engine` now."""
        return self.known(engine) + self.untold(engine)

    def reading_age(self, engine: str, now: float) -> float | None:
        """Seconds since the engine told its load, None if boxes' own words are used."""
        reading = self._readings.get(engine)
        return None if reading is None else now - reading.at

    def reading_ages(self, now: float) -> list[float]:
        """How old each engine's reading is, in seconds."""
        return [now - reading.at for reading in self._readings.values()]

    def total(self, group: str) -> Work:
        """The best guess of all work on the engines of `group` now."""
        return self._group_known[group] + self._group_untold[group]
