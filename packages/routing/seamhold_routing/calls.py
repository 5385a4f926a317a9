"""The calls of one box: placed at engines, waiting for one, or for any slot."""

import math
from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

from seamhold_attempts.retry import Outcome
from seamhold_membership import ServiceUse
from seamhold_messages.errors import NoEngine, SeamholdError
from seamhold_messages.fleet import Phase
from seamhold_messages.work import Call, Decision, Placed, Queued, Refused
from seamhold_placement import Chooser, ColdShares
from seamhold_settings import Tree

from .beliefs import Belief, Sign
from .exchange import Knowledge, PeerExchange
from .plans import plan_for
from .service import ServiceRouter

NO_ENGINE_RETRY_SECONDS = 1.0
#: How often calls that wait for any slot are looked at, in seconds, beside each
#: time that a call ends or a peer tells its load.
QUEUE_LOOK_SECONDS = 0.05


class _Active(Struct):
    call: Call
    engine: str = ''
    patient_until: float = 0.0
    #: When it was sent to its engine, None once its answer has begun.
    sent_at: float | None = None


class BoxCalls:
    """Places the calls of one box, lets them wait or refuses them, and follows them.

    It decides by `known` and adds to that what its own calls meet; `exchange` hears of
    what peers should know.
    """

    def __init__(
        self,
        known: Knowledge,
        exchange: PeerExchange,
        chooser: Chooser,
        failure_domain: str,
        cold_shares: ColdShares,
    ):
        self._known = known
        self._exchange = exchange
        self._chooser = chooser
        self._failure_domain = failure_domain
        self._cold_shares = cold_shares
        self._tree = Tree()
        self._services: dict[str, ServiceRouter] = {}
        self._active: dict[str, _Active] = {}

    def __len__(self) -> int:
        """Calls that are placed or wait."""
        return len(self._active)

    @property
    def services(self) -> Iterable[str]:
        """The services that calls were for."""
        return self._services.keys()

    def engine_uses(self, now: float) -> list[ServiceUse]:
        """How many engines of each service that calls were for get new work."""
        return [self._known.engines.service_use(name, now) for name in self._services]

    def use_settings(self, tree: Tree) -> None:
        """Put a tree in force; calls in flight go on."""
        self._tree = tree
        for name, service in self._services.items():
            service.use_plan(plan_for(tree, name))

    # Of one call.

    def admit(self, call: Call, now: float) -> list[Decision]:
        """Place the call, let it wait, or refuse it.

        The first decision names the call; others may name calls that gave
        way to it.
        """
        try:
            decisions = self._admit(call, now)
        except SeamholdError as error:
            decisions = [Refused(call.id, error.code, error.detail, error.retry_after)]
        return self._count(decisions)

    def _admit(self, call: Call, now: float) -> list[Decision]:
        service = self._service(call.service)
        if not service.any_engine(now):
            raise NoEngine('no live engine serves this', NO_ENGINE_RETRY_SECONDS)
        self._known.limits.admit(call.workspace, call.work, now)
        self._active[call.id] = _Active(call)
        self._active[call.id].patient_until = now + service.plan.patience
        if len(service.queue):
            return self._enqueue(service, call, now)
        return self._place_or_wait(service, call, now)

    def _place_or_wait(self, service: ServiceRouter, call: Call, now: float) -> list[Decision]:
        """Place the call now, or let it wait for its engine or for any."""
        placed = service.place(call, now)
        if placed is None:
            return self._enqueue(service, call, now)
        patient = now < self._active[call.id].patient_until
        if patient and placed.spilled:
            service.patient.append(call.id)
            return [Queued(call.id)]
        return [self._start(placed, call, now)]

    def _enqueue(self, service: ServiceRouter, call: Call, now: float) -> list[Decision]:
        space = self._tree.workspaces.get(call.workspace)
        weight = space.weight if space else 1.0
        refused = service.queue.offer(call, now, weight)
        for refusal in refused:
            self._forget(refusal.call_id)
        own = [refusal for refusal in refused if refusal.call_id == call.id]
        others = [refusal for refusal in refused if refusal.call_id != call.id]
        return [*(own or [Queued(call.id)]), *others]

    def _service(self, name: str) -> ServiceRouter:
        service = self._services.get(name)
        if service is None:
            service = ServiceRouter(
                name,
                self._known.engines,
                self._known.loads,
                self._known.holders,
                self._chooser,
                self._failure_domain,
                self._cold_shares,
            )
            service.use_plan(plan_for(self._tree, name))
            self._services[name] = service
        return service

    def _start(self, placed: Placed, call: Call, now: float) -> Placed:
        self._active[call.id].engine = placed.engine
        self._active[call.id].sent_at = now
        self._service(call.service).note_sent(placed.engine, now)
        self._known.health.sent(call.id, placed.engine, call.objective, now)
        if call.sticky:
            self._exchange.placed(call.chat, placed.engine, now)
        self._known.loads.start(placed.engine, call.work, now)
        return placed

    def began(self, call_id: str, now: float) -> None:
        """The answer to a call begins."""
        self._known.health.began(call_id)
        active = self._active.get(call_id)
        if active is not None and active.sent_at is not None:
            self._known.loads.record_answer(active.engine, active.sent_at, now)
            active.sent_at = None

    def attempted(self, call_id: str, outcome: Outcome, now: float) -> list[Decision]:
        """An attempt ended; the call keeps its part of the limits."""
        active = self._active.get(call_id)
        if active is None or not active.engine:
            return []
        engine, active.engine = active.engine, ''
        sent_at, active.sent_at = active.sent_at, None
        self._known.health.began(call_id)
        self._known.loads.finish(engine, active.call.work, now, sent_at)
        self._note_outcome(engine, outcome, now)
        return self._drain_queue(active.call.service, now)

    def _note_outcome(self, engine: str, outcome: Outcome, now: float) -> None:
        self._known.counts[f'outcome.{outcome}'] += 1
        if self._known.health.ended(engine, outcome, now):
            suspect = Belief(engine, Phase.SUSPECT, self._known.boxes.me, Sign.CALL)
            self._known.beliefs.append(suspect)

    def again(self, call_id: str, now: float, full_engine: str = '') -> list[Decision]:
        """Place a call anew, away from the engine of its last attempt.

        If that is the last one left and refused the call as full, which
        `full_engine` tells, the call waits for it.
        """
        active = self._active.get(call_id)
        if active is None:
            return []
        service = self._service(active.call.service)
        placed = service.place(active.call, now)
        if placed:
            return self._count([self._start(placed, active.call, now)])
        if not service.may_take_later(active.call, full_engine, now):
            error = NoEngine('no other engine serves this', NO_ENGINE_RETRY_SECONDS)
            return self._count([Refused(call_id, error.code, error.detail, error.retry_after)])
        if not service.any_engine(now, active.call.excluded):
            left = active.call.excluded - {full_engine}
            active.call = replace(active.call, excluded=left)
            service.note_full(full_engine, now)
        return self._count(self._enqueue(service, active.call, now))

    def exclude(self, call_id: str, engine: str) -> None:
        """Keep the call away from `engine` from here on."""
        active = self._active.get(call_id)
        if active is not None:
            excluded = active.call.excluded | {engine}
            active.call = replace(active.call, excluded=excluded, hint='')

    def close(self, call_id: str, now: float) -> list[Decision]:
        """The call is over, or its caller left while it waited."""
        active = self._active.get(call_id)
        if active is None:
            return []
        service = self._service(active.call.service)
        service.queue.remove(call_id)
        if active.engine:
            self._known.loads.finish(active.engine, active.call.work, now, active.sent_at)
        self._forget(call_id)
        return self._drain_queue(active.call.service, now)

    def _forget(self, call_id: str) -> None:
        active = self._active.pop(call_id, None)
        self._known.health.began(call_id)
        if active is not None:
            self._known.limits.release(active.call.workspace, active.call.work)

    def next_due(self, now: float) -> float:
        """When a wait ends of a call for its engine or a slot, infinity if none waits."""
        due = math.inf
        for service in self._services.values():
            if len(service.queue):
                due = min(due, now + QUEUE_LOOK_SECONDS)
            for call_id in service.patient:
                active = self._active.get(call_id)
                due = min(due, active.patient_until if active else now)
        return due

    # Of all that wait.

    def drain(self, now: float) -> list[Decision]:
        """Place calls that waited and may go now, and refuse those whose time is up."""
        decisions: list[Decision] = []
        for name in self._services:
            decisions += self._drain_queue(name, now)
        return decisions

    def _drain_queue(self, name: str, now: float) -> list[Decision]:
        service = self._services[name]
        decisions = self._drain_patient(service, now)
        if len(service.queue):
            decisions += self._drain_full(service, now)
        return self._count(decisions)

    def _drain_patient(self, service: ServiceRouter, now: float) -> list[Decision]:
        """Place calls that waited for their engine, now or in vain."""
        waiting, service.patient = service.patient, []
        decisions: list[Decision] = []
        for call_id in waiting:
            active = self._active.get(call_id)
            if active is not None:
                decisions += self._place_or_wait(service, active.call, now)
        return [decision for decision in decisions if not isinstance(decision, Queued)]

    def _drain_full(self, service: ServiceRouter, now: float) -> list[Decision]:
        """Place calls that waited for any slot, the next first."""
        decisions: list[Decision] = list(service.queue.expire(now))
        for refusal in decisions:
            self._forget(refusal.call_id)
        for call in service.queue.peek(now):
            placed = service.place(call, now)
            if placed is None:
                break
            service.queue.remove(call.id, now)
            decisions.append(self._start(placed, call, now))
        return decisions

    def _count(self, decisions: list[Decision]) -> list[Decision]:
        for decision in decisions:
            if isinstance(decision, Refused):
                self._known.counts[f'refused.{decision.code}'] += 1
            elif isinstance(decision, Placed):
                self._known.counts['placed.spilled' if decision.spilled else 'placed.first'] += 1
        return decisions
