"""Shares of the slots of brittle engines, which follow the demand of the boxes.

A brittle engine falls over if it has to turn calls away, so all boxes together may hold no more
calls there than it has slots.  Every box computes its share of each engine's slots from the
platform's list of boxes and from the demand that each of them reported for the service.  As with
the limits of workspaces, a higher demand counts once every listed box has acknowledged it, a lower
one at once (see `grants`), and a box reports what it holds above its share, because shares move
before the calls placed under them have ended.

A box that has just started does not know what others hold.  It has no share until every listed box
has sent it a report, which the others send only once they have it on their lists.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from msgspec import Struct, field

from seamhold_messages.hashing import HASH32_SPAN, hash32
from seamhold_messages.work import SlotDemand, SlotReport

from .grants import DemandGrants
from .share import split_slots

#: Fraction of each engine's slots that is divided equally, so that a box whose calls begin has
#: some slots before its demand counts.
RESERVED_SHARE = 0.1
#: Each box reports this fraction of its equal share as demand even if it has none.  It bounds what
#: is unused while all boxes' demands begin at once: each then expects the others to have grown, and
#: may not count on its own growth yet.  A box that gets all calls is left four fifths of the slots.
IDLE_SHARE = 0.25
#: Weight of a box that reports no demand, in tenths of a call.
NO_DEMAND_WEIGHT = 1.0
#: Half-life of the demand of refused calls, in seconds.
REFUSED_HALF_LIFE = 1.0
#: Time constants of the mean demand while it rises and while it falls, in seconds.
RISE_SECONDS = 1.0
FALL_SECONDS = 5.0
#: A box reports its mean demand times `REPORTED_ABOVE`, and again once the mean exceeds the report
#: or falls below it by `REPORTED_MAX`.  Until a raised demand counts, its room is used by nobody.
REPORTED_ABOVE = 1.15
REPORTED_MAX = 1.5
#: A box that lacks a digest of any box of its first list by then drops the demand of an idle box:
#: it cannot be granted more, and others can use the room.
FIRST_CONTACT_SECONDS = 0.5
#: Engines are spread over this number of ways to round shares, so that a box whose share of each
#: engine is less than a slot has slots at some.  Each costs one division per change of demand.
ROUNDINGS = 16
#: A box that knows a service is brittle reports it.  One that sent this many digests without a
#: report, after it acknowledged a message that announced it for `ANNOUNCED_SECONDS`, is of a
#: version that does not know reports.
MISSING_REPORTS = 3
ANNOUNCED_SECONDS = 2.0
TENTHS = 10


class BrittleService(Struct, frozen=True):
    """The slots of all engines of a brittle service, and for how long it counts as brittle."""

    seconds: float
    slots: int


class BrittleEngine(Struct, frozen=True):
    """A brittle engine; `incarnation` is its name if it has none."""

    service_key: int
    name: str
    incarnation: str
    slots: int

    @property
    def key(self) -> int:
        """The hash of the name, which stands for it in reports."""
        return hash32(self.name)


class _Peer(Struct):
    """What a listed box reported.

    `knows_me` is whether it sent a report, or has no brittle service, since this box started.
    """

    start: str = ''
    seq: int = 0
    demands: dict[int, SlotDemand] = field(default_factory=dict)
    knows_me: bool = False
    earlier_starts: set[str] = field(default_factory=set)
    announced_seq: int = 0
    sent_nothing: bool = False
    missing_reports: int = 0

    @property
    def older(self) -> bool:
        """Whether the box is of a version that does not report its demand."""
        return self.missing_reports >= MISSING_REPORTS

    def demand(self, service_key: int) -> float:
        demand = self.demands.get(service_key)
        return demand.demand_tenths if demand else 0.0


class _OwnDemand(Struct):
    """This box's demand for a service in calls, refused ones included, and what it reports."""

    mean: float = 0.0
    refused: float = 0.0
    reported: float = 0.0
    mean_at: float = -math.inf
    refused_at: float = -math.inf

    def update(self, calls: int, now: float) -> None:
        current = calls + self._refused(now)
        seconds = RISE_SECONDS if current > self.mean else FALL_SECONDS
        weight = 1 - math.exp((self.mean_at - now) / seconds)
        self.mean += weight * (current - self.mean)
        self.mean_at = now
        if not self.mean <= self.reported <= self.mean * REPORTED_MAX:
            self.reported = self.mean * REPORTED_ABOVE

    def record_refusal(self, now: float) -> None:
        self.refused, self.refused_at = self._refused(now) + 1.0, now

    def _refused(self, now: float) -> float:
        return self.refused * 0.5 ** ((now - self.refused_at) / REFUSED_HALF_LIFE)


class SlotShares:
    """One box's shares of the slots of brittle engines.

    Services are given by the hash of their name.  `start` is this box's incarnation.
    """

    def __init__(self, me: str, start: str = ''):
        self._me = me
        self._start_key = hash32(start)
        #: Without it the slots are divided equally, and nothing is reported.
        self.enabled = True
        self._boxes: frozenset[str] = frozenset((me,))
        self._peers: dict[str, _Peer] = {}
        self._grants = DemandGrants()
        #: Whether this box may use its shares; False until the others know of it.
        self._joined = True
        self._has_list = False
        self._listed = False
        self._all_exchange = True
        self._first_contact_until = math.inf
        self._silent_boxes: set[str] = set()
        self._own: dict[int, _OwnDemand] = {}
        self._reported: dict[int, int] = {}
        #: The reported demand as far as all listed boxes have acknowledged it.
        self._counted: dict[int, float] = {}
        self._excess: Counter[int] = Counter()
        self._offsets: dict[int, dict[str, float]] = {}
        self._splits: dict[tuple[int, int, int], int] = {}
        #: How many calls this box may hold at each engine whatever others hold above their shares:
        #: its lowest share since it last had that room.
        self._kept: dict[BrittleEngine, int] = {}

    # Updates.

    def wait_for_peers(self) -> None:
        """Use no share until all listed boxes know of this one, as a started process must."""
        self._joined = False

    def set_boxes(self, names: Iterable[str], all_exchange: bool, now: float) -> None:
        """Replace the platform's list of boxes.

        `all_exchange` is whether each box exchanges digests with all others.
        """
        listed = frozenset(names)
        if self._listed and self._me not in listed:
            # Others may give this box's room away.
            self._joined = False
            for peer in self._peers.values():
                peer.knows_me = False
        others = listed - {self._me}
        new = others - self._peers.keys()
        self._peers = {name: self._peers.get(name) or _Peer() for name in sorted(others)}
        self._grants.set_peers(set(others))
        if self._has_list:
            for name in new:
                # It uses no share before it has received a report of this box.
                self._grants.await_peer(name)
            self._silent_boxes &= others
        else:
            self._silent_boxes = set(others)
            self._first_contact_until = now + FIRST_CONTACT_SECONDS
        self._has_list = True
        self._listed = self._me in listed
        self._all_exchange = all_exchange
        self._boxes = listed | {self._me}
        self._offsets.clear()
        self._check_joined()
        self._changed()

    def record_contact(self, box: str) -> None:
        """Record that any message of a box arrived."""
        self._silent_boxes.discard(box)

    def receive(self, box: str, start: str, seq: int, ack: int, report: SlotReport | None) -> None:
        """Apply what a listed box reported in message `seq` of its incarnation `start`.

        `ack` is the last message of this box that it had received by then.
        """
        peer = self._peers.get(box)
        if peer is None or start in peer.earlier_starts:
            return
        if start != peer.start:
            peer = self._begin(box, peer, start)
        if seq <= peer.seq:
            return
        if report is not None and report.receiver_start not in (0, self._start_key):
            # Meant for the process that had this box's name before.
            return
        peer.seq = seq
        if report is None:
            peer.missing_reports += bool(peer.announced_seq and ack >= peer.announced_seq)
            peer.knows_me = True
            demands = {}
        else:
            peer.missing_reports = peer.announced_seq = 0
            peer.knows_me |= report.receiver_start == self._start_key
            demands = {one.service_key: one for one in report.demands}
            self._grants.record_ack(box, ack)
        changed = _sharing(demands) != _sharing(peer.demands)
        peer.demands = demands
        self._check_joined()
        if changed:
            self._changed()
        else:
            self._count_own()

    def _begin(self, box: str, peer: _Peer, start: str) -> _Peer:
        """Return the state of a box whose first digest since its start arrives."""
        if not peer.start:
            peer.start = start
            return peer
        # The calls of the earlier start ended with it.
        fresh = _Peer(start, earlier_starts={*peer.earlier_starts, peer.start})
        self._peers[box] = fresh
        self._grants.await_peer(box)
        self._changed()
        return fresh

    def _check_joined(self) -> None:
        if not self._joined:
            self._joined = self._listed and all(peer.knows_me for peer in self._peers.values())

    def _changed(self) -> None:
        self._excess = Counter()
        for peer in self._peers.values():
            for demand in peer.demands.values():
                for engine, calls in demand.excess.items():
                    self._excess[engine] += max(0, calls)
        self._count_own(moved=True)

    def _count_own(self, moved: bool = False) -> None:
        """Apply what others have acknowledged of this box's demand."""
        counted = {
            key: min(demand, self._grants.demand(key, demand))
            for key, demand in self._reported.items()
        }
        if moved or counted != self._counted:
            self._counted = counted
            self._shares_moved()

    def _shares_moved(self) -> None:
        """Drop what a lower share no longer covers.

        Must be called on every change: others may use the room from now on, even if the share
        rises again before the next call.
        """
        self._splits.clear()
        for engine, calls in self._kept.items():
            if calls:
                self._kept[engine] = min(calls, self._split(engine) if self._joined else 0)

    def set_calls(self, service_key: int, calls: int, now: float) -> None:
        """Set how many calls of a service run or wait at this box."""
        own = self._own.get(service_key)
        if own is not None or calls:
            self._own.setdefault(service_key, _OwnDemand()).update(calls, now)

    def record_refusal(self, service_key: int, now: float) -> None:
        """Record that a call was refused because there was no room for it."""
        self._own.setdefault(service_key, _OwnDemand()).record_refusal(now)

    # Reports.

    def reports(
        self,
        brittle: Mapping[int, BrittleService],
        held: Iterable[tuple[BrittleEngine, int]],
        now: float,
    ) -> tuple[SlotDemand, ...]:
        """Return what this box reports of its brittle services.

        `held` is the number of this box's calls at each of their engines.
        """
        self._own = {key: own for key, own in self._own.items() if key in brittle}
        self._kept = {one: calls for one, calls in self._kept.items() if one.service_key in brittle}
        reported = {key: self._demand_tenths(key, one.slots, now) for key, one in brittle.items()}
        if reported != self._reported:
            self._reported = reported
            self._count_own()
        excess: dict[int, dict[int, int]] = {key: {} for key in brittle}
        for engine, calls in held:
            above = calls - self._split(engine) if calls else 0
            if above > 0:
                excess[engine.service_key][engine.key] = above
        return tuple(
            SlotDemand(key, reported[key], one.seconds, excess[key]) for key, one in brittle.items()
        )

    def _demand_tenths(self, service_key: int, slots: int, now: float) -> int:
        if self._divides_equally:
            return 0
        own = self._own.get(service_key)
        calls = own.reported if own else 0.0
        if not self._silent_boxes or now < self._first_contact_until:
            calls += IDLE_SHARE * slots / len(self._boxes)
        return math.ceil(calls * TENTHS)

    def report_sent(self, box: str, seq: int, report: SlotReport | None) -> None:
        """Record that message `seq`, with this report, was sent to a listed box."""
        peer = self._peers.get(box)
        if peer is None:
            return
        demands = report.demands if report else ()
        if demands or not peer.sent_nothing:
            # Without a brittle service nothing is acknowledged, so one such message stands for all.
            demand_of = {one.service_key: one.demand_tenths for one in demands}
            self._grants.record_sent(box, seq, demand_of)
            peer.sent_nothing = not demands
        if any(one.brittle_seconds >= ANNOUNCED_SECONDS for one in demands):
            peer.announced_seq = peer.announced_seq or seq
        elif not demands:
            peer.announced_seq = 0
            peer.missing_reports = 0
        self._count_own()

    # Queries.

    @property
    def _divides_equally(self) -> bool:
        """Whether the slots are divided equally, as between boxes that send no reports."""
        return not self._all_exchange or any(peer.older for peer in self._peers.values())

    @property
    def may_grow(self) -> bool:
        """Whether every listed box reports and knows of this one, so that its demand can count."""
        if not self.enabled or self._divides_equally:
            return False
        return all(peer.knows_me for peer in self._peers.values())

    def share(self, engine: BrittleEngine, equal_share: int) -> int:
        """Return this box's share of an engine's slots.

        `equal_share` is what it has where the slots are divided equally.
        """
        if not self.enabled or not self._all_exchange:
            return equal_share
        if self._divides_equally:
            return min(equal_share, self._split(engine)) if self._joined else equal_share
        return self._split(engine) if self._joined else 0

    def room(self, engine: BrittleEngine, equal_share: int) -> int:
        """Return how many calls this box may hold at an engine.

        A share that grew is used as far as others hold nothing above theirs.
        """
        share = self.share(engine, equal_share)
        if not self.enabled or not self._all_exchange:
            return share
        room = min(share, max(self._kept.get(engine, 0), share - self._excess[engine.key]))
        self._kept[engine] = room
        return room

    def _split(self, engine: BrittleEngine) -> int:
        """Return this box's part of an engine's slots by demand."""
        rounding = hash32(engine.incarnation) % ROUNDINGS
        known = (engine.service_key, rounding, engine.slots)
        if known not in self._splits:
            self._splits[known] = self._compute_split(*known)
        return self._splits[known]

    def _compute_split(self, service_key: int, rounding: int, slots: int) -> int:
        reserved = int(slots * RESERVED_SHARE)
        offsets = self._offsets.get(rounding)
        if offsets is None:
            offsets = self._offsets[rounding] = {
                box: (hash32(box) / HASH32_SPAN + rounding / ROUNDINGS) % 1.0 for box in self._boxes
            }
        equal = dict.fromkeys(self._boxes, NO_DEMAND_WEIGHT)
        weights = {box: equal[box] + self._demand_of(box, service_key) for box in self._boxes}
        mine = split_slots(reserved, equal, offsets)[self._me] if reserved else 0
        return mine + split_slots(slots - reserved, weights, offsets)[self._me]

    def _demand_of(self, box: str, service_key: int) -> float:
        if box != self._me:
            return self._peers[box].demand(service_key)
        return self._counted.get(service_key, 0.0)


def _sharing(demands: Mapping[int, SlotDemand]) -> list[tuple[int, int, dict[int, int]]]:
    """Return the part of a report that shares depend on."""
    return [(one.service_key, one.demand_tenths, one.excess) for one in demands.values()]
