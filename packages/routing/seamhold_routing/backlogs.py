"""The calls that wait on this box and its peers, by service and rank.

Applies `placement.predictive_admission`: without it nothing is reported, and calls that wait
elsewhere have no effect here.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from functools import partial

from seamhold_limits import Hold, PeerBacklogs, WaitQueue
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Call, WaitingCalls
from seamhold_settings.schema import Placement


class Backlogs:
    """Connects the queues of one box to what its peers report of theirs."""

    def __init__(self, peers: PeerBacklogs, counts: Counter[str]):
        self._peers = peers
        self._counts = counts
        self._settings = Placement()
        self._queues: dict[str, WaitQueue] = {}
        self._holds: dict[str, Hold] = defaultdict(Hold)

    def add_queue(self, service: str, queue: WaitQueue) -> None:
        """Let the queue of a service use the reports of peers and the common counters."""
        queue.counts = self._counts
        queue.predictive = self._settings.predictive_admission
        queue.within_objective = self._settings.start_within_objective
        queue.elsewhere = partial(self._peers.ahead, hash32(service), queue.size)
        self._queues[service] = queue

    def use_settings(self, settings: Placement) -> None:
        """Apply changed settings, after the queues' sizes were set."""
        self._settings = settings
        for service, queue in self._queues.items():
            self.add_queue(service, queue)

    def holds_back(self, call: Call, now: float) -> bool:
        """Whether a new call has to wait, although there is room for it.

        That is so while calls of its own or a more urgent rank wait elsewhere for long, for
        the short time that `Hold` allows.
        """
        if not self._settings.predictive_admission:
            return False
        if not self._peers.wait_for_long(hash32(call.service), call.rank, now):
            return False
        if not self._holds[call.service].begin(call, now):
            return False
        self._counts['held.for_peers'] += 1
        return True

    def is_held(self, service: str, now: float) -> bool:
        """Whether the calls that wait here for `service` are held back now.

        A hold ends as soon as no calls wait elsewhere for long, and does not apply to a call
        that is more urgent than those.
        """
        hold = self._holds.get(service)
        if hold is None or not hold.active(now):
            return False
        calls = self._queues[service].peek(now)
        if calls and self._peers.wait_for_long(hash32(service), calls[0].rank, now):
            return True
        hold.end()
        return False

    def record_room(self, service: str, is_left: bool) -> None:
        """Record whether there was room for the first call that waits."""
        if service in self._holds:
            self._holds[service].record_room(is_left)

    def hold_ends(self, service: str, now: float, otherwise: float) -> float:
        """Return when the hold of a service ends, `otherwise` if there is none before."""
        hold = self._holds.get(service)
        return min(hold.until, otherwise) if hold and hold.active(now) else otherwise

    def report(self, now: float) -> tuple[WaitingCalls, ...]:
        """Return the calls that wait on this box, for its peers."""
        if not self._settings.predictive_admission:
            return ()
        return tuple(_reports(self._queues, now))


def _reports(queues: Mapping[str, WaitQueue], now: float) -> Iterable[WaitingCalls]:
    for service, queue in queues.items():
        if len(queue):
            yield from queue.waiting_calls(hash32(service), now)
