"""Callers of several ranks before servers of few slots, with calls rejected by prediction."""

from collections import defaultdict

from msgspec import Struct
from msgspec.structs import replace

from seamhold_messages.work import Call, Decision, Placed, Refused
from seamhold_settings import Tree

from .gossip_fleet import GossipBox
from .queued_servers import OBJECTIVE_SECONDS, QueuedServers

#: Share of an objective for which a call may be held without a cost.
FREE_SHARE = 0.125
WORKSPACE_PRIORITIES = 3


class Ending(Struct, frozen=True):
    """What the caller of one call got, `seconds` after its arrival at `at`."""

    at: float
    rank: int
    seconds: float
    served: bool
    code: str = ''
    retry_after: float = 0.0


class RankedCallers(QueuedServers):
    """Calls of three workspaces, one of each priority; records what each caller gets."""

    def __init__(self, *sizes, predictive: bool, seed=1, in_objective=False, learned=True):
        super().__init__(*sizes, learned=learned, seed=seed)
        self.endings: list[Ending] = []
        self._ranked: dict[str, tuple[float, int]] = {}
        for box in self.boxes.values():
            fleet = box.router.tree.fleet
            placement = replace(
                fleet.placement,
                predictive_admission=predictive,
                start_within_objective=in_objective,
            )
            box.router.use_settings(Tree(replace(fleet, placement=placement)))

    def _new_call(self) -> Call:
        level = self._rng.randrange(WORKSPACE_PRIORITIES)
        call = replace(super()._new_call(), workspace=f'w{level}', workspace_priority=level)
        self._ranked[call.id] = (self.now, call.rank)
        return call

    def _handle_decisions(self, box: GossipBox, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Refused):
                retry_after = decision.retry_after or 0.0
                self._end_call(decision.call_id, False, decision.code, retry_after)
        super()._handle_decisions(box, decisions)

    def _notice_answer(self, box: GossipBox, placed: Placed) -> None:
        self._end_call(placed.call_id, True)
        super()._notice_answer(box, placed)

    def _end_call(self, call_id: str, served: bool, code='', retry_after=0.0) -> None:
        at, rank = self._ranked.pop(call_id)
        self.endings.append(Ending(at, rank, self.now - at, served, code, retry_after))

    def served_by_rank(self, since: float) -> dict[int, float]:
        """Return the fraction of calls answered within the objective, by rank."""
        served = defaultdict(list)
        for one in self.endings:
            if one.at >= since:
                served[one.rank].append(one.served and one.seconds <= OBJECTIVE_SECONDS)
        return {rank: sum(all_) / len(all_) for rank, all_ in sorted(served.items())}

    def refusals(self, since: float) -> list[Ending]:
        """Return the endings of the calls that were refused."""
        return [one for one in self.endings if one.at >= since and not one.served]

    def held_share(self, since: float) -> float:
        """Return the fraction of calls that were refused after being held for long."""
        held = [one for one in self.refusals(since) if one.seconds > FREE_SHARE * OBJECTIVE_SECONDS]
        return len(held) / sum(one.at >= since for one in self.endings)
