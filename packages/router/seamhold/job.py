"""One call with everything that is needed to run it, and what became of its attempts."""

from msgspec import Struct, field

from seamhold_attempts.retry import RetryRule
from seamhold_messages.work import Call, Placed
from seamhold_quarantine import RequestIdentity

from .guards import Guard
from .ports import Cancellation, EngineLoad, EngineRequest


class Attempt(Struct):
    """One attempt, as the logs tell it; `began` is in seconds on the box's clock."""

    placed: Placed
    began: float
    #: When the head of its answer came, None if it never did.
    answered: float | None = None
    outcome: str = ''
    code: str = ''
    seconds: float = 0.0
    #: What its backend server told of itself, None if it did not.
    told: EngineLoad | None = None
    #: Why its backend server refused it, '' if it did not.
    refusal: str = ''

    def as_log(self) -> dict:
        """Plain values: what decided the attempt and how it ended."""
        placed = self.placed
        return {
            'engine': placed.engine,
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
            'load_age': None if placed.load_age is None else round(placed.load_age, 3),
            'told': None if self.told is None else self.told.requests,
            'outcome': self.outcome,
            'code': self.code,
            'refusal': self.refusal,
            'answered': None if self.answered is None else round(self.answered - self.began, 3),
            'seconds': round(self.seconds, 3),
        }


class Job(Struct):
    """One call with everything that is needed to run it.

    `streamed` tells that the answer is passed on as it comes; `shared_tokens`
    is how much of the prompt other calls may share.
    """

    call: Call
    request: EngineRequest
    rule: RetryRule
    guard: Guard
    streamed: bool = False
    shared_tokens: int = 0
    cancellation: Cancellation = field(default_factory=Cancellation)
    #: Attempts that reached a backend server, and those at which one said nothing.
    sent: int = 0
    silent: int = 0
    maybe_ran: bool = False
    #: Engines ended under its request: it runs alone, and what comes of that is told.
    on_trial: bool = False
    #: Whether its engine answered it, be it with a failure.
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def identity(self) -> RequestIdentity:
        """What the call has in common with others that ask for the same."""
        request = self.request
        return RequestIdentity(
            self.call.workspace, request.host, request.method, request.path, request.body
        )
