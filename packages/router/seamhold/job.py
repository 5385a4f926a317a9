"""The state of one call while it runs: its request, its retry rule and its attempts."""

from msgspec import Struct, field

from seamhold_attempts.retry import RetryRule
from seamhold_messages.work import Call, Placed
from seamhold_quarantine import RequestIdentity

from .guards import Guard
from .ports import Cancellation, EngineLoad, EngineRequest


class Attempt(Struct):
    """One attempt as it is logged; `began_at` is in seconds on the box's clock."""

    placed: Placed
    began_at: float
    #: When the head of the answer arrived, on the box's clock; None if it never did.
    answered_at: float | None = None
    outcome: str = ''
    code: str = ''
    seconds: float = 0.0
    #: What marks the end of the answer; '' if none began.
    framing: str = ''
    #: The peer that carried the connection; '' for a connection of this box's own.
    carrier: str = ''
    #: The events of the answer that were passed on, and the ids of the first and the last.
    events: int = 0
    first_event: str = ''
    last_event: str = ''
    #: The load that the backend server reported; None if it did not.
    reported_load: EngineLoad | None = None
    #: Why the backend server refused the attempt; '' if it did not.
    refusal: str = ''
    #: Whether the backend server said that it takes no new work.
    leaving: bool = False
    #: How long the backend server wants no requests from this box, in seconds; 0 for none.
    rest_seconds: float = 0.0

    def as_log(self) -> dict:
        """Return plain values for the log: the basis of the placement and the outcome."""
        placed = self.placed
        return {
            'engine': placed.engine,
            'version': placed.version,
            'rank': placed.rank,
            'spilled': placed.spilled,
            'holders': placed.holders,
            'fetched_from': placed.fetch_engine,
            'load': placed.load,
            'mean': placed.mean,
            'mean_of_all': placed.mean_of_all,
            'engines': placed.engines,
            'idle': placed.idle,
            'silent': placed.silent,
            'limit': None if placed.limit is None else round(placed.limit, 2),
            'predicted': None if placed.predicted is None else round(placed.predicted, 3),
            'load_age': None if placed.load_age is None else round(placed.load_age, 3),
            'told': None if self.reported_load is None else self.reported_load.requests,
            'outcome': self.outcome,
            'code': self.code,
            'refusal': self.refusal,
            'leaving': self.leaving,
            'framing': self.framing,
            'carrier': self.carrier,
            'events': self.events,
            'first_event': self.first_event,
            'last_event': self.last_event,
            'rest': round(self.rest_seconds, 3),
            'answered': None
            if self.answered_at is None
            else round(self.answered_at - self.began_at, 3),
            'seconds': round(self.seconds, 3),
        }


class Job(Struct):
    """One call and the state of its execution.

    `streamed` means that the answer is passed on as it arrives; `shared_tokens`
    is the length of the prompt's part that other calls may share.  `resumes` is the id of the
    request that began the stream which this one takes up, '' if it begins one.
    """

    call: Call
    request: EngineRequest
    rule: RetryRule
    guard: Guard
    streamed: bool = False
    shared_tokens: int = 0
    resumes: str = ''
    #: The key under which the origin of this stream is recorded, '' if it cannot be taken up.
    stream_key: str = ''
    #: When the caller stops waiting, on the box's clock; later than the call's deadline if the
    #: route limits that further.
    caller_waits_until: float = 0.0
    origin_recorded: bool = False
    cancellation: Cancellation = field(default_factory=Cancellation)
    #: Attempts that reached a backend server, and connection attempts that none answered.
    sent: int = 0
    silent: int = 0
    maybe_ran: bool = False
    #: The feature under which engines ended: the call runs alone, and peers learn the result.  ''
    #: if it may run beside others.
    tried_for: str = ''
    #: Ids of the prompt parts that other requests may share.
    shared_parts: tuple[str, ...] = ()
    #: Whether a large answer may be passed on before it is complete.
    passes_on_large: bool = False
    #: Whether an engine answered the call, even with a failure.
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def identity(self) -> RequestIdentity:
        """The identity that this call shares with other calls of the same request."""
        request = self.request
        return RequestIdentity(
            self.call.workspace,
            request.host,
            request.method,
            request.path,
            request.body,
            self.shared_parts,
        )
