"""Handles callers' requests from the entry port and from peers.

The entry port receives the requests of this box's callers; the peer port receives requests
that a peer relays because this box holds their ticket.
"""

from collections.abc import Iterator

from seamhold_attempts.claims import claim_bucket_of, claim_key
from seamhold_attempts.retry import RetryRule
from seamhold_attempts.tickets import TicketName, parse_ticket
from seamhold_messages.errors import (
    NotReady,
    SeamholdError,
    TicketUnknown,
    TicketUnreachable,
)
from seamhold_peers import AnswerEnd, AnswerHead, AnswerPart, ClaimRequest, RelayedCall
from seamhold_peers.calls import Header
from seamhold_routing import hint_for
from seamhold_settings.schema import PlatformOutage

from . import headers as names
from .callers import IncomingRequest, PreparedRequest, prepare
from .claims import ClaimWriter
from .context import Environment
from .engines import REQUEST_ID_HEADER
from .guards import ClaimGuard, Guard, NullGuard, TicketGuard
from .job import Job
from .metrics import Metrics
from .peer_calls import PeerCalls
from .ports import Answer
from .problems import problem_event
from .runner import Runner
from .settings_task import SettingsTask
from .tickets import IssueTickets, TicketTask

#: Maximum wait for a claim to be written, in seconds.
CLAIM_SECONDS = 2.0
#: Maximum wait for a reply of the ticket task, in seconds.
TASK_SECONDS = 5.0


class CallHandler:
    """Validates requests, guards them against a second run, and runs or relays them."""

    def __init__(
        self,
        box: str,
        incarnation: str,
        settings_task: SettingsTask,
        runner: Runner,
        tickets: TicketTask,
        claims: ClaimWriter,
        peers: PeerCalls,
        environment: Environment,
        metrics: Metrics,
    ):
        self._box = box
        self._incarnation = incarnation
        self._settings_task = settings_task
        self._runner = runner
        self._tickets = tickets
        self._claims = claims
        self._peers = peers
        self._environment = environment
        self._metrics = metrics

    @property
    def tree(self):
        """The settings in force; raises NotReady before there are any."""
        snapshot = self._settings_task.snapshot
        if not snapshot.ready:
            raise NotReady('this box has no settings yet', 1.0)
        return snapshot.tree

    def issue_tickets(self, workspace: str, count: int) -> list[str]:
        """Return `count` new tickets of this box."""
        lifetime = self.tree.fleet.control.ticket_seconds
        message = IssueTickets(workspace, count, lifetime)
        return self._tickets.query(message).result(TASK_SECONDS)

    def answer(self, incoming: IncomingRequest) -> Answer:
        """Return the answer to a request from the entry port."""
        prepared = prepare(self.tree, incoming, self._environment.monotonic())
        if not prepared.ticket:
            return self._run(prepared)
        ticket = parse_ticket(prepared.ticket)
        if (ticket.box, ticket.incarnation) == (self._box, self._incarnation):
            return self._run(prepared)
        return self._relay(incoming, prepared, ticket)

    def answer_relayed(self, relayed: RelayedCall) -> Iterator[AnswerPart]:
        """Yield the answer to a request that a peer relayed because of its ticket."""
        try:
            answer = self._run(self._prepare_relayed(relayed))
        except SeamholdError as error:
            yield AnswerEnd(error)
            return
        headers = tuple(Header(name, value) for name, value in answer.headers.items())
        yield AnswerHead(answer.status, headers)
        if isinstance(answer.body, bytes):
            yield answer.body
            yield AnswerEnd()
            return
        try:
            yield from answer.body
        except SeamholdError as error:
            yield AnswerEnd(error)
        else:
            yield AnswerEnd()

    def _prepare_relayed(self, relayed: RelayedCall) -> PreparedRequest:
        headers = {header.name: header.value for header in relayed.headers}
        headers[names.TICKET] = relayed.ticket
        headers[names.TIMEOUT] = str(relayed.remaining)
        incoming = IncomingRequest(
            relayed.request_id,
            relayed.workspace,
            relayed.method,
            relayed.path,
            headers,
            relayed.body,
        )
        prepared = prepare(self.tree, incoming, self._environment.monotonic())
        ticket = parse_ticket(prepared.ticket)
        if (ticket.box, ticket.incarnation) != (self._box, self._incarnation):
            raise TicketUnknown('the box that held the ticket has restarted')
        return prepared

    def _run(self, prepared: PreparedRequest) -> Answer:
        rule = RetryRule(prepared.repeatable, prepared.route.policy.retries)
        job = Job(prepared.call, prepared.request, rule, self._guard(prepared), prepared.streamed)
        answer = self._runner.run(job)
        headers = names.headers_for_caller(answer.headers.items())
        headers[REQUEST_ID_HEADER] = prepared.call.id
        headers[names.SERVED_BY] = f'{answer.placed.engine}; rank={answer.placed.rank}'
        headers[names.CHAT_HINT] = hint_for(answer.placed.engine)
        answer.headers = headers
        if not isinstance(answer.body, bytes):
            answer.body = self._append_problem(answer.body, prepared.call.id)
        return answer

    def _append_problem(self, body: Iterator[bytes], request_id: str) -> Iterator[bytes]:
        """Yield a stream; if it fails, append a problem event before the error."""
        try:
            yield from body
        except SeamholdError as error:
            self._metrics.count(f'stream_failed.{error.code}')
            yield problem_event(error, request_id)
            raise

    def _guard(self, prepared: PreparedRequest) -> Guard:
        call = prepared.call
        if prepared.ticket:
            ticket = parse_ticket(prepared.ticket)
            return TicketGuard(self._tickets, ticket, call.workspace, prepared.body_hash)
        if prepared.repeatable or not prepared.idempotency_key:
            return NullGuard()
        key = claim_key(call.workspace, call.service, prepared.idempotency_key)
        bucket = claim_bucket_of(key, self.tree.fleet.control.claim_buckets)
        owner = f'{self._incarnation}:{call.id}'
        remaining = call.deadline - self._environment.monotonic()
        claim_request = ClaimRequest(
            bucket, key, owner, prepared.body_hash, min(CLAIM_SECONDS, remaining)
        )
        outage = prepared.route.policy.platform_outage
        return ClaimGuard(
            claim_request,
            self._peers.claim,
            self._claims,
            self._metrics,
            outage is PlatformOutage.RUN_UNCLAIMED,
        )

    def _relay(
        self, incoming: IncomingRequest, prepared: PreparedRequest, ticket: TicketName
    ) -> Answer:
        """Relay a request to the box that holds its ticket."""
        self._metrics.count('relayed')
        remaining = prepared.call.deadline - self._environment.monotonic()
        headers = names.headers_for_engine(incoming.headers)
        for name in (names.ROUTE, names.CHAT, names.CHAT_HINT):
            if name in incoming.headers:
                headers[name] = incoming.headers[name]
        relayed = RelayedCall(
            incoming.id,
            incoming.workspace,
            prepared.ticket,
            incoming.method,
            incoming.path,
            tuple(Header(name, value) for name, value in headers.items()),
            incoming.body,
            remaining,
        )
        parts = self._peers.relay(ticket, relayed)
        head = next(parts, None)
        if isinstance(head, AnswerEnd) and head.error:
            raise head.error
        if not isinstance(head, AnswerHead):
            raise TicketUnreachable('the box that holds the ticket closed the connection')
        headers = {header.name: header.value for header in head.headers}
        body = self._relayed_body(parts)
        if prepared.streamed:
            return Answer(head.status, headers, body)
        return Answer(head.status, headers, b''.join(body))

    @staticmethod
    def _relayed_body(parts: Iterator[AnswerPart]) -> Iterator[bytes]:
        """Yield the data of a relayed answer; raises an error if its end is missing."""
        for part in parts:
            if isinstance(part, bytes):
                yield part
            elif isinstance(part, AnswerEnd):
                if part.error:
                    raise part.error
                return
        raise TicketUnreachable('the box that holds the ticket closed the connection')
