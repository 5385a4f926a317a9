"""The calls of one box: running at an engine, waiting for one engine, or for any slot."""

import math
import random
from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

from seamhold_attempts.retry import Outcome
from seamhold_membership import ServiceUse
from seamhold_messages.errors import (
    DeadlinePassed,
    DeadlineUnmeetable,
    EnginesResting,
    FleetFull,
    NoEngine,
    NotReady,
    SeamholdError,
)
from seamhold_messages.fleet import Phase
from seamhold_messages.hashing import HASH32_SPAN, hash32
from seamhold_messages.work import (
    Call,
    Decision,
    Placed,
    Priority,
    Queued,
    Refused,
    WaitingCalls,
)
from seamhold_placement import Chooser, ColdShares
from seamhold_placement.prediction import Basis
from seamhold_settings import Tree

from .backlogs import Backlogs
from .beliefs import Belief, Sign
from .exchange import FleetState, PeerExchange
from .plans import plan_for
from .predictions import ServicePredictions
from .service import ServiceRouter

NO_ENGINE_RETRY_SECONDS = 1.0
#: Refusals of calls that more slots would have served.
NO_ROOM_CODES = frozenset({NoEngine.code, FleetFull.code, DeadlineUnmeetable.code})
#: A call waits for resting engines if the first rest ends within this share of its objective.
REST_WAIT_SHARE = 0.5
#: Callers refused while all engines rest return within this time of the first rest's end, in
#: seconds, urgent ones first: together they would overload that engine again.
RETURN_SPREAD_SECONDS = 0.3
STOPPING_DETAIL = 'this box is stopping; retry at another box'
#: Interval between checks of the calls that wait for any slot.  They are also checked each
#: time a call ends or a peer reports its load.
QUEUE_CHECK_SECONDS = 0.05


class _ActiveCall(Struct):
    call: Call
    engine: str = ''
    patience_ends: float = 0.0
    #: When the call was sent to its engine; None before that and once its answer has begun.
    sent_at: float | None = None
    #: What its response time is compared with, None if nothing is predicted.
    basis: Basis | None = None


class BoxCalls:
    """Places, queues or refuses the calls of one box, and tracks them until they end.

    Decides on the basis of `state`, which it updates with the outcomes of the calls.  What
    peers should know of them is passed to `exchange`.
    """

    def __init__(
        self,
        state: FleetState,
        exchange: PeerExchange,
        chooser: Chooser,
        failure_domain: str,
        cold_shares: ColdShares,
        rng: random.Random | None = None,
    ):
        self._state = state
        self._exchange = exchange
        self._chooser = chooser
        self._failure_domain = failure_domain
        self._cold_shares = cold_shares
        self._rng = rng
        self._tree = Tree()
        self._services: dict[str, ServiceRouter] = {}
        self._active: dict[str, _ActiveCall] = {}
        self._backlogs = Backlogs(state.backlogs, state.counts)
        #: Whether calls that cannot be placed at once are refused, because the box is stopping.
        self._refuses_waiting = False

    def __len__(self) -> int:
        """Return the number of calls that are placed or wait."""
        return len(self._active)

    @property
    def services(self) -> Iterable[str]:
        """The names of the services that this box has received calls for."""
        return self._services.keys()

    def engine_uses(self, now: float) -> list[ServiceUse]:
        """Return the use of engines by each service that this box has received calls for."""
        uses = []
        for name, service in self._services.items():
            serving = self._state.engines.serving(name, now)
            ages = self._state.loads.speeds.ages([*serving.engines, *serving.unused], now)
            uses.append(
                replace(
                    self._state.engines.service_use(name, now),
                    concurrency_limit=service.concurrency_limit,
                    speeds=len(ages),
                    oldest_speed=max(ages, default=0.0),
                )
            )
        return uses

    def use_settings(self, tree: Tree) -> None:
        """Apply a settings tree; calls in flight continue."""
        self._tree = tree
        for name, service in self._services.items():
            service.use_plan(plan_for(tree, name))
        self._backlogs.use_settings(tree.fleet.placement)

    def waiting_calls(self, now: float) -> tuple[WaitingCalls, ...]:
        """Return the calls that wait for any slot, as reported to peers."""
        return self._backlogs.report(now)

    # One call.

    def admit(self, call: Call, now: float) -> list[Decision]:
        """Place the call, let it wait, or refuse it.

        The first decision is about the call itself; others are about calls that it displaced
        from the queue.
        """
        try:
            decisions = self._admit(call, now)
        except SeamholdError as error:
            decisions = [Refused(call.id, error.code, error.detail, error.retry_after)]
        self._record_no_room(call, decisions[0], now)
        return self._count(decisions)

    def _record_no_room(self, call: Call, decision: Decision, now: float) -> None:
        """Count a call that a brittle service has no room for towards this box's demand."""
        if isinstance(decision, Placed) or not self._state.slots.enabled:
            return
        if not self._state.engines.is_brittle(call.service, now):
            return
        self._state.engines.keep_brittle(call.service, now)
        if isinstance(decision, Refused) and decision.code in NO_ROOM_CODES:
            self._state.slots.record_refusal(hash32(call.service), now)
            self._state.counts['brittle.no_room'] += 1

    def report_demand(self, now: float) -> None:
        """Update the demand at brittle services with the calls that run and wait here."""
        if not self._state.slots.enabled:
            return
        for name, service in self._services.items():
            if self._state.engines.is_brittle(name, now):
                self._state.slots.set_calls(hash32(name), service.calls, now)
                if service.calls:
                    self._state.engines.keep_brittle(name, now)

    def _admit(self, call: Call, now: float) -> list[Decision]:
        service = self._service(call.service)
        if not service.any_engine(now) and not (
            self._may_wait_for_rest(call, now) or self._may_wait_for_share(call, now)
        ):
            raise self._no_engine(call, 'this service has no live engine', now)
        if call.version is not None and not service.any_engine(now, version=call.version):
            raise self._no_version(call)
        self._state.limits.admit(call.workspace, call.work, now)
        self._active[call.id] = _ActiveCall(call)
        self._active[call.id].patience_ends = now + service.plan.patience
        if len(service.queue) and call.version is None:
            return self._enqueue(service, call, now)
        return self._place_or_wait(service, call, now, arrives=True)

    def _may_wait_for_rest(self, call: Call, now: float) -> bool:
        """Whether a resting engine takes work again well within the call's objective."""
        left = self._state.engines.rest_left(call.service, now)
        if left is None or call.objective is None:
            return False
        return left <= REST_WAIT_SHARE * call.objective

    def _may_wait_for_share(self, call: Call, now: float) -> bool:
        """Whether this box may get a share of a brittle service's slots in time for the call.

        A raised demand counts after two rounds of digests through all boxes.
        """
        state = self._state
        if not state.engines.is_brittle(call.service, now) or not state.slots.may_grow:
            return False
        if not state.engines.serving(call.service, now).engines:
            return False
        control = self._tree.fleet.control
        rounds = math.ceil(len(state.boxes.peers()) / control.digest_peers)
        left = call.deadline - now if call.objective is None else call.objective
        return 2 * rounds * control.digest_seconds <= left

    def _no_engine(self, call: Call, detail: str, now: float) -> SeamholdError:
        """Return the error of a call that no engine may get now."""
        left = self._state.engines.rest_left(call.service, now)
        if left is None:
            return NoEngine(detail, NO_ENGINE_RETRY_SECONDS)
        return EnginesResting('all engines of this service rest', left + _return_spread(call))

    @staticmethod
    def _no_version(call: Call) -> SeamholdError:
        detail = f'no live engine of this service has software version {call.version}'
        return NoEngine(detail, NO_ENGINE_RETRY_SECONDS)

    def _place_or_wait(
        self, service: ServiceRouter, call: Call, now: float, arrives: bool = False
    ) -> list[Decision]:
        """Place the call now, or let it wait for the engine that holds its cache or for any.

        One that `arrives` may have to wait for more urgent ones at other boxes.
        """
        placed = service.place(call, now)
        if placed is None:
            return self._enqueue(service, call, now)
        patience = self._active[call.id].patience_ends - now
        if patience > 0 and placed.spilled and self._may_gain_by_waiting(placed, patience):
            service.waiting_for_holder.append(call.id)
            return [Queued(call.id)]
        if arrives and self._holds_back(service, call, now):
            hold_ends = self._backlogs.hold_ends(service.name, now, otherwise=now)
            return self._enqueue(service, call, now, exempt_until=hold_ends)
        service.queue.record_direct(call, now)
        return [self._start(placed, call, now)]

    @staticmethod
    def _may_gain_by_waiting(placed: Placed, patience: float) -> bool:
        """Whether the call may be answered earlier by a full engine that holds its cache."""
        if placed.predicted is None:
            return True
        at_holder = placed.faster_at_holder
        return at_holder is not None and at_holder + patience < placed.predicted

    def _holds_back(self, service: ServiceRouter, call: Call, now: float) -> bool:
        """Whether a new call has to wait for calls at other boxes, although there is room for it.

        With learned limits a call waits elsewhere for that box's own limit, not for this room.
        """
        if call.version is not None or service.learns_concurrency:
            return False
        return self._backlogs.holds_back(call, now)

    def _enqueue(
        self, service: ServiceRouter, call: Call, now: float, exempt_until: float = -math.inf
    ) -> list[Decision]:
        """Let a call wait for any slot; until `exempt_until` no prediction rejects it."""
        if self._refuses_waiting:
            return [self._refuse_stopping(call)]
        if call.version is not None:
            return self._wait_for_version(service, call)
        service.queue.late_last = service.learns_concurrency
        if service.learns_concurrency:
            self._state.counts['concurrency.no_room'] += 1
        workspace = self._tree.workspaces.get(call.workspace)
        weight = workspace.weight if workspace else 1.0
        refused = service.queue.offer(call, now, weight, exempt_until)
        for refusal in refused:
            self._forget(refusal.call_id)
        own = [refusal for refusal in refused if refusal.call_id == call.id]
        others = [refusal for refusal in refused if refusal.call_id != call.id]
        return [*(own or [Queued(call.id)]), *others]

    def _wait_for_version(self, service: ServiceRouter, call: Call) -> list[Decision]:
        """Let a call wait apart from the queue, where it would hold up calls of any version."""
        if len(service.waiting_for_version) >= service.queue.size:
            self._forget(call.id)
            detail = f'{service.queue.size} calls already wait for engines of one version'
            return [Refused(call.id, FleetFull.code, detail, NO_ENGINE_RETRY_SECONDS)]
        service.waiting_for_version.append(call.id)
        return [Queued(call.id)]

    def _service(self, name: str) -> ServiceRouter:
        service = self._services.get(name)
        if service is None:
            service = ServiceRouter(
                name,
                self._state.engines,
                self._state.loads,
                self._state.holders,
                self._chooser,
                self._failure_domain,
                self._cold_shares,
                self._state.slots,
                ServicePredictions(
                    self._state.loads.speeds, self._state.speed_trust[name], self._rng
                ),
            )
            service.use_plan(plan_for(self._tree, name))
            self._backlogs.add_queue(name, service.queue)
            self._services[name] = service
        return service

    def _start(self, placed: Placed, call: Call, now: float) -> Placed:
        self._active[call.id].engine = placed.engine
        self._active[call.id].sent_at = now
        self._active[call.id].basis = self._service(call.service).record_sent(call, placed, now)
        self._state.health.sent(call.id, placed.engine, call.objective, now)
        if call.sticky:
            self._exchange.placed(call.chat, placed.engine, now)
        self._state.loads.start(placed.engine, call.work, now)
        return placed

    def answer_started(self, call_id: str, now: float) -> None:
        """Record that an engine has begun to answer a call."""
        self._state.health.answer_started(call_id)
        active = self._active.get(call_id)
        if active is not None and active.sent_at is not None:
            self._state.loads.record_answer(active.engine, active.sent_at, now)
            self._services[active.call.service].record_response(
                active.engine, now - active.sent_at, active.call.objective, now
            )
            if active.basis is not None:
                self._services[active.call.service].predictions.record_response(active.basis, now)
            active.sent_at = None

    def attempt_ended(self, call_id: str, outcome: Outcome, now: float) -> list[Decision]:
        """Record an attempt's outcome; the call still counts towards the workspace's limits."""
        active = self._active.get(call_id)
        if active is None or not active.engine:
            return []
        engine, active.engine = active.engine, ''
        sent_at, active.sent_at = active.sent_at, None
        self._state.health.answer_started(call_id)
        self._state.loads.finish(engine, active.call.work, now, sent_at)
        waited = None if sent_at is None else now - sent_at
        service = self._services[active.call.service]
        service.record_attempt_end(engine, outcome, waited, active.call, now)
        if active.basis is not None and outcome is Outcome.DONE:
            service.predictions.record_duration(active.basis, now)
        self._record_outcome(engine, outcome, now)
        return self._drain_service(active.call.service, now)

    def _record_outcome(self, engine: str, outcome: Outcome, now: float) -> None:
        self._state.counts[f'outcome.{outcome}'] += 1
        if self._state.health.attempt_ended(engine, outcome, now):
            suspect = Belief(engine, Phase.SUSPECT, self._state.boxes.me, Sign.CALL)
            self._state.beliefs.append(suspect)

    def retry_call(
        self, call_id: str, now: float, full_engine: str = '', answering_engine: str = ''
    ) -> list[Decision]:
        """Place a call again after an attempt failed, at none of its excluded engines.

        `full_engine` names the engine that refused the call as full, '' for none.  If no
        other engine is left, the call waits for that one.  `answering_engine` names the engine
        that answered with a failure of its own, '' for none: it is up, so if no other engine is
        left and concurrency limits are used, it gets the retry.
        """
        active = self._active.get(call_id)
        if active is None:
            return []
        service = self._service(active.call.service)
        if (
            answering_engine
            and service.learns_concurrency
            and not service.any_engine(now, active.call.excluded, active.call.version)
        ):
            left = active.call.excluded - {answering_engine}
            active.call = replace(active.call, excluded=left)
        placed = service.place(active.call, now)
        if placed:
            return self._count([self._start(placed, active.call, now)])
        if not service.may_take_later(active.call, full_engine, now):
            error = self._no_engine(
                active.call, 'this service has no other engine for the call', now
            )
            return self._count([Refused(call_id, error.code, error.detail, error.retry_after)])
        if not service.any_engine(now, active.call.excluded, active.call.version):
            left = active.call.excluded - {full_engine}
            active.call = replace(active.call, excluded=left)
            service.record_full(full_engine, now)
        return self._count(self._enqueue(service, active.call, now, exempt_until=math.inf))

    def exclude(self, call_id: str, engine: str) -> None:
        """Exclude `engine` from further attempts of the call."""
        active = self._active.get(call_id)
        if active is not None:
            excluded = active.call.excluded | {engine}
            active.call = replace(active.call, excluded=excluded, hint='')

    def bind_version(self, call_id: str, version: str) -> None:
        """Allow further attempts of the call only at engines of one software version."""
        active = self._active.get(call_id)
        if active is not None:
            active.call = replace(active.call, version=version)

    def close(self, call_id: str, now: float) -> list[Decision]:
        """End a call: it is over, or its caller left while it waited."""
        active = self._active.get(call_id)
        if active is None:
            return []
        service = self._service(active.call.service)
        service.queue.remove(call_id, cancelled_at=now)
        if active.engine:
            sent_at = active.sent_at
            self._state.loads.finish(active.engine, active.call.work, now, sent_at)
            waited = None if sent_at is None else now - sent_at
            service.record_attempt_end(active.engine, Outcome.CANCELLED, waited, active.call, now)
        self._forget(call_id)
        return self._drain_service(active.call.service, now)

    def _forget(self, call_id: str) -> None:
        active = self._active.pop(call_id, None)
        self._state.health.answer_started(call_id)
        if active is not None:
            self._state.limits.release(active.call.workspace, active.call.work)

    def next_due(self, now: float) -> float:
        """Return when waiting calls must be checked next, infinity if none waits."""
        due = math.inf
        for name, service in self._services.items():
            if len(service.queue) or service.waiting_for_version:
                check = now + QUEUE_CHECK_SECONDS
                due = min(due, self._backlogs.hold_ends(name, now, otherwise=check))
            for call_id in service.waiting_for_holder:
                active = self._active.get(call_id)
                due = min(due, active.patience_ends if active else now)
        return due

    # All waiting calls.

    def refuse_waiting(self, now: float) -> list[Decision]:
        """Refuse the calls that wait for a slot, and from now on those that would have to wait.

        Calls that wait for the engine that holds their cache go on within their patience.
        """
        self._refuses_waiting = True
        refused: list[Decision] = []
        for service in self._services.values():
            for call in service.queue.peek(now):
                service.queue.remove(call.id, cancelled_at=now)
                refused.append(self._refuse_stopping(call))
            waiting, service.waiting_for_version = service.waiting_for_version, []
            refused += [
                self._refuse_stopping(self._active[call_id].call)
                for call_id in waiting
                if call_id in self._active
            ]
        return self._count(refused)

    def _refuse_stopping(self, call: Call) -> Refused:
        self._forget(call.id)
        return Refused(call.id, NotReady.code, STOPPING_DETAIL, _return_spread(call))

    def drain(self, now: float) -> list[Decision]:
        """Place the waiting calls that can be placed, and refuse those past their deadline."""
        decisions: list[Decision] = []
        for name in self._services:
            decisions += self._drain_service(name, now)
        return decisions

    def _drain_service(self, name: str, now: float) -> list[Decision]:
        service = self._services[name]
        decisions = self._drain_waiting_for_holder(service, now)
        decisions += self._drain_waiting_for_version(service, now)
        if len(service.queue):
            decisions += self._drain_slot_queue(service, now)
        return self._count(decisions)

    def _drain_waiting_for_holder(self, service: ServiceRouter, now: float) -> list[Decision]:
        """Place the calls that wait for their holder if it has room or their patience has ended."""
        waiting, service.waiting_for_holder = service.waiting_for_holder, []
        decisions: list[Decision] = []
        for call_id in waiting:
            active = self._active.get(call_id)
            if active is not None:
                decisions += self._place_or_wait(service, active.call, now)
        return [decision for decision in decisions if not isinstance(decision, Queued)]

    def _drain_waiting_for_version(self, service: ServiceRouter, now: float) -> list[Decision]:
        """Place the calls whose version has room, and refuse those that it cannot serve."""
        waiting, service.waiting_for_version = service.waiting_for_version, []
        decisions: list[Decision] = []
        for call_id in waiting:
            active = self._active.get(call_id)
            if active is not None:
                decisions += self._place_or_refuse(service, active.call, now)
        return [decision for decision in decisions if not isinstance(decision, Queued)]

    def _place_or_refuse(self, service: ServiceRouter, call: Call, now: float) -> list[Decision]:
        error: SeamholdError | None = None
        if now >= call.deadline:
            error = DeadlinePassed('the deadline passed while the call waited for its version')
        elif not service.any_engine(now, call.excluded, call.version):
            error = self._no_version(call)
        if error is None:
            return self._place_or_wait(service, call, now)
        self._forget(call.id)
        return [Refused(call.id, error.code, error.detail, error.retry_after)]

    def _drain_slot_queue(self, service: ServiceRouter, now: float) -> list[Decision]:
        """Place calls that wait for any slot, in queue order."""
        decisions: list[Decision] = list(service.queue.expire(now))
        for refusal in decisions:
            self._forget(refusal.call_id)
        if not service.any_engine(now):
            decisions += self._refuse_while_resting(service, now)
        if self._backlogs.is_held(service.name, now):
            return decisions
        for call in service.queue.peek(now):
            placed = service.place(call, now)
            self._backlogs.record_room(service.name, placed is not None)
            if placed is None:
                if call.excluded and service.learns_concurrency:
                    # A retry waits for certain engines, which must not hold up other calls.
                    continue
                break
            service.queue.remove(call.id, now)
            decisions.append(self._start(placed, call, now))
        rejected = service.queue.reject_unservable(now)
        for refusal in rejected:
            self._forget(refusal.call_id)
        return [*decisions, *rejected]

    def _refuse_while_resting(self, service: ServiceRouter, now: float) -> list[Decision]:
        """Refuse the waiting calls for which all rests end too late."""
        if self._state.engines.rest_left(service.name, now) is None:
            return []
        refused: list[Decision] = []
        for call in service.queue.peek(now):
            if self._may_wait_for_rest(call, now):
                continue
            service.queue.remove(call.id, cancelled_at=now)
            self._forget(call.id)
            error = self._no_engine(call, '', now)
            refused.append(Refused(call.id, error.code, error.detail, error.retry_after))
        return refused

    def _count(self, decisions: list[Decision]) -> list[Decision]:
        for decision in decisions:
            if isinstance(decision, Refused):
                self._state.counts[f'refused.{decision.code}'] += 1
            elif isinstance(decision, Placed):
                self._state.counts['placed.spilled' if decision.spilled else 'placed.first'] += 1
                if decision.predicted is not None:
                    self._state.counts['placed.predicted'] += 1
        return decisions


def _return_spread(call: Call) -> float:
    """Return how many seconds later than the first, an urgent one, a refused caller returns."""
    place = (call.priority + hash32(call.id) / HASH32_SPAN) / len(Priority)
    return RETURN_SPREAD_SECONDS * place
