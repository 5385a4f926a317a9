"""What operators may write, checked by pydantic.

Every level carries a `policy`; a key that a level leaves out is inherited
from the level above.  Unknown keys are refused everywhere.
"""

from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, model_validator

Name = Annotated[str, StringConstraints(pattern=r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$')]
KeyHash = Annotated[str, StringConstraints(pattern=r'^sha256:[0-9a-f]{64}$')]
RouteName = Annotated[str, StringConstraints(pattern=r'^[A-Za-z0-9/_.-]{1,128}$')]


class Strict(BaseModel):
    """Base of all levels: unknown keys are errors, values never change."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class ServiceKind(StrEnum):
    """Model services speak the chat protocol; plain ones any HTTP."""

    MODEL = 'model'
    PLAIN = 'plain'


class PlatformOutage(StrEnum):
    """What becomes of a keyed, not repeatable call in a platform outage."""

    REFUSE = 'refuse'
    RUN_UNCLAIMED = 'run-unclaimed'


class Policy(Strict):
    """How calls are treated; None means inherited from the level above.

    Times are in seconds, sizes in bytes, `priority` 0 goes first.
    `objective` is the time to the first byte that counts as in time, `pause`
    the longest gap inside a stream that does; `resumable` streams may go on
    from another backend server.
    """

    repeatable: bool | None = None
    deadline: float | None = Field(None, gt=0, le=3600)
    priority: int | None = Field(None, ge=0, le=9)
    objective: float | None = Field(None, gt=0, le=3600)
    pause: float | None = Field(None, gt=0, le=3600)
    resumable: bool | None = None
    retries: int | None = Field(None, ge=0, le=5)
    max_body_bytes: int | None = Field(None, ge=1, le=64 * 1024 * 1024)
    expected_output_tokens: int | None = Field(None, ge=1, le=1_000_000)
    queue_calls: int | None = Field(None, ge=0, le=10_000)
    platform_outage: PlatformOutage | None = None


class Limits(Strict):
    """Fleet-wide caps on a workspace; None is no cap.

    In flight: calls and tokens of work at once.  Rate: calls a second.
    """

    requests_in_flight: int | None = Field(None, ge=1)
    tokens_in_flight: int | None = Field(None, ge=1)
    requests_per_second: float | None = Field(None, gt=0)


class RouteSpec(Strict):
    """One route of a service: the last level of the tree."""

    policy: Policy = Policy()


class ServiceSpec(Strict):
    """A service as a workspace uses it."""

    policy: Policy = Policy()
    routes: dict[RouteName, RouteSpec] = {}


class ServiceShare(Strict):
    """A service and its part of a route's requests, relative to its siblings."""

    service: Name
    weight: float = Field(1.0, ge=0, le=1_000_000)


class ForwardedRoute(Strict):
    """Requests that are passed on unchanged, by host and path prefix.

    `streamed` tells that answers are event streams; a `public` route needs
    no key.
    """

    host: Annotated[str, StringConstraints(min_length=1, max_length=255)]
    path_prefix: Annotated[str, StringConstraints(pattern=r'^/(.*/)?$', max_length=4096)]
    shares: list[ServiceShare] = Field(min_length=1)
    streamed: bool = False
    public: bool = False
    policy: Policy = Policy()


class CallerBounds(Strict):
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    head_bytes: int = Field(16 * 1024, ge=1024, le=1024 * 1024)
    body_bytes: int = Field(4 * 1024 * 1024, ge=1, le=64 * 1024 * 1024)
    head_seconds: float = Field(10.0, gt=0, le=600)
    idle_seconds: float = Field(30.0, gt=0, le=3600)


class FleetService(Strict):
    """A service that the fleet offers; `models` are the names callers use.

    A backend server of it takes `connections` from all boxes together.  With
    `keeps_prompts` it keeps what it has read of a prompt, and tells what that is.
    """

    kind: ServiceKind
    models: list[str] = []
    connections: int | None = Field(None, ge=1)
    keeps_prompts: bool = False
    policy: Policy = Policy()

    @model_validator(mode='after')
    def _models_fit_kind(self):
        if self.kind is ServiceKind.MODEL and not self.models:
            raise ValueError('a model service names at least one model')
        if self.kind is ServiceKind.PLAIN and self.models:
            raise ValueError('a plain service has no models')
        return self


class Placement(Strict):
    """The load bound and how engines come and go.

    `load_multiple` is promised, `admit_multiple` is what admission holds
    to.  `slack_requests` are calls above it that chance alone brings, so that a
    chat does not leave its engine for them.  `patience` is how long a call waits
    for the engine that holds its cache before it goes to another.  Times are in
    seconds.
    """

    load_multiple: float = Field(1.5, ge=1.05, le=10)
    admit_multiple: float = Field(1.25, ge=1.05, le=10)
    floor_requests: int = Field(2, ge=1)
    floor_tokens: int = Field(0, ge=0)
    slack_requests: int = Field(0, ge=0, le=1000)
    peer_growth: float = Field(0.25, ge=0, le=1)
    patience: float = Field(0.1, ge=0, le=2)
    rising_seconds: float = Field(10.0, ge=0, le=600)
    suspect_seconds: float = Field(2.0, gt=0, le=60)

    @model_validator(mode='after')
    def _admit_within_promise(self):
        if self.admit_multiple > self.load_multiple:
            raise ValueError('admit_multiple must not exceed load_multiple')
        return self


class Control(Strict):
    """What a box may spend on control traffic, and how often it speaks.

    A service's retries within any `retry_window_seconds`, over all boxes, stay
    below `retry_budget_ratio` of its calls and `retry_reserve` more.
    """

    control_bytes_per_second: int = Field(2048, ge=256, le=8192)
    digest_seconds: float = Field(0.3, ge=0.05, le=5)
    retry_budget_ratio: float = Field(0.1, ge=0, le=1)
    retry_window_seconds: float = Field(10.0, gt=0, le=600)
    retry_reserve: float = Field(80.0, ge=0, le=100_000)
    ticket_seconds: float = Field(900, gt=0, le=86_400)
    claim_seconds: float = Field(3600, gt=0, le=86_400)
    claim_buckets: int = Field(16, ge=1, le=64)


class FleetSpec(Strict):
    """The top level: what all workspaces inherit."""

    policy: Policy = Policy()
    placement: Placement = Placement()
    control: Control = Control()
    services: dict[Name, FleetService] = {}
    forwarding: list[ForwardedRoute] = []
    caller_bounds: CallerBounds = CallerBounds()

    @model_validator(mode='after')
    def _models_are_unique(self):
        seen: dict[str, str] = {}
        for name, service in self.services.items():
            for model in service.models:
                if model in seen:
                    raise ValueError(f'model {model!r} is in both {seen[model]!r} and {name!r}')
                seen[model] = name
        return self


class WorkspaceSpec(Strict):
    """One workspace: its keys, limits and the services it may call."""

    keys: list[KeyHash] = []
    weight: float = Field(1.0, gt=0, le=1000)
    limits: Limits = Limits()
    policy: Policy = Policy()
    services: dict[Name, ServiceSpec] = {}
