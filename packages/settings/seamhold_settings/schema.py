"""Schema of the settings, validated by msgspec.

Every level has a `policy`; a key that a level omits is inherited from the level
above.  Unknown keys are errors at every level.

msgspec validates in compiled code.  A library that builds its validators in Python took
a third of the CPU time of a box's start (340 of 1,050 ms of imports); `python -m measure
start` measures it.
"""

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern=r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z')]
#: A service that other programs name, as its entries in the list of engines do.
ServiceName = Annotated[str, Meta(pattern=r'^[!-~]{1,253}\Z')]
KeyHash = Annotated[str, Meta(pattern=r'^sha256:[0-9a-f]{64}\Z')]
RouteName = Annotated[str, Meta(pattern=r'^[A-Za-z0-9/_.-]{1,128}\Z')]

#: Limit on numbers that have no other one.
INTEGER_MAX = 2**31 - 1


class Strict(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all levels: immutable, and unknown keys are errors."""


class ServiceKind(StrEnum):
    """Protocol of a service: model services use the chat protocol, plain ones any HTTP."""

    MODEL = 'model'
    PLAIN = 'plain'


class PlatformOutage(StrEnum):
    """How a non-repeatable call with an idempotency key is handled in a platform outage."""

    REFUSE = 'refuse'
    RUN_UNCLAIMED = 'run-unclaimed'


class Policy(Strict):
    """How calls are handled; None means inherited from the level above.

    Times are in seconds, sizes in bytes; `priority` 0 goes first, and those beyond the last one
    that is distinguished go with it.
    `objective` is the target time to the first byte, `pause` the target for the
    longest gap within a stream; a `resumable` stream may be continued by another
    backend server.
    """

    repeatable: bool | None = None
    deadline: Annotated[float, Meta(gt=0, le=INTEGER_MAX)] | None = None
    priority: Annotated[int, Meta(ge=0, le=INTEGER_MAX)] | None = None
    objective: Annotated[float, Meta(gt=0, le=INTEGER_MAX)] | None = None
    pause: Annotated[float, Meta(gt=0, le=INTEGER_MAX)] | None = None
    resumable: bool | None = None
    retries: Annotated[int, Meta(ge=0, le=INTEGER_MAX)] | None = None
    max_body_bytes: Annotated[int, Meta(ge=1, le=64 * 1024 * 1024)] | None = None
    expected_output_tokens: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None
    queue_calls: Annotated[int, Meta(ge=0, le=10_000)] | None = None
    platform_outage: PlatformOutage | None = None


class Limits(Strict):
    """Fleet-wide limits of a workspace; None means no limit.

    The in-flight limits count concurrent calls and their estimated tokens.
    """

    requests_in_flight: Annotated[int, Meta(ge=1)] | None = None
    tokens_in_flight: Annotated[int, Meta(ge=1)] | None = None
    requests_per_second: Annotated[float, Meta(gt=0)] | None = None


class RouteSpec(Strict):
    """One route of a service, the lowest level of the tree."""

    policy: Policy = Policy()


class ServiceSpec(Strict):
    """A workspace's settings for one service."""

    policy: Policy = Policy()
    routes: dict[RouteName, RouteSpec] = {}


class ServiceShare(Strict):
    """A service and its share of a route's requests, relative to the route's other shares."""

    service: ServiceName
    weight: Annotated[float, Meta(ge=0, le=1_000_000)] = 1.0


class ForwardedRoute(Strict):
    """A route that forwards requests unchanged, by host and path prefix.

    The answers of a `streamed` route are event streams; a `public` route needs
    no key.
    """

    host: Annotated[str, Meta(min_length=1, max_length=255)]
    path_prefix: Annotated[str, Meta(pattern=r'^/(.*/)?\Z', max_length=4096)]
    shares: Annotated[list[ServiceShare], Meta(min_length=1)]
    streamed: bool = False
    public: bool = False
    policy: Policy = Policy()


class CallerBounds(Strict):
    """Limits on a caller's request, in bytes, and on its duration, in seconds."""

    head_bytes: Annotated[int, Meta(ge=1024, le=1024 * 1024)] = 16 * 1024
    body_bytes: Annotated[int, Meta(ge=1, le=64 * 1024 * 1024)] = 4 * 1024 * 1024
    head_seconds: Annotated[float, Meta(gt=0, le=600)] = 10.0
    idle_seconds: Annotated[float, Meta(gt=0, le=3600)] = 30.0


class FleetService(Strict):
    """A service that the fleet offers; `models` are the names callers use.

    A backend server of the service accepts `connections` from all boxes together.  With
    `keeps_prompts` it caches processed prompts and reports which ones.  For `cold_seconds`
    after a start it can serve `cold_requests_per_second` from all boxes together; 0 means
    that its capacity is not reduced.
    """

    kind: ServiceKind
    models: list[str] = []
    connections: Annotated[int, Meta(ge=1)] | None = None
    keeps_prompts: bool = False
    cold_seconds: Annotated[float, Meta(ge=0, le=3600)] = 0.0
    cold_requests_per_second: Annotated[float, Meta(ge=0, le=1_000_000)] = 0.0
    policy: Policy = Policy()

    def __post_init__(self):
        if self.kind is ServiceKind.MODEL and not self.models:
            raise ValueError('a model service needs at least one model')
        if self.kind is ServiceKind.PLAIN and self.models:
            raise ValueError('a plain service cannot have models')


class Placement(Strict):
    """The load bound, and how engines enter and leave use.

    `load_multiple` is the guaranteed bound as a multiple of the mean load; admission uses
    `admit_multiple`, or `admit_share * load_multiple` if `admit_share` is given.
    `patience` is how long a call waits for the engine that holds its cache before it goes
    to another.  With `learned_concurrency` each box limits its concurrent calls at servers
    that do not report their load by their response times and rejections, and not by what
    other boxes report.  With `predictive_admission` calls wait in the order of their workspace's
    priority first, and a call that is predicted to start after its deadline is rejected at
    once; with `start_within_objective` one that is predicted to start after its objective.
    With `predicted_placement` calls go to the engines with the shortest predicted time to the
    first event, where engines report their speed.  With `brittle_slots_by_demand` a box's share
    of the slots of brittle engines follows its demand.  At most
    `max_ejection_share` of a service's live engines, but always
    at least one, may be out of use because of failed calls.  Times are in seconds.
    """

    load_multiple: Annotated[float, Meta(ge=1.05, le=10)] = 1.5
    admit_multiple: Annotated[float, Meta(ge=1.05, le=10)] = 1.25
    admit_share: Annotated[float, Meta(gt=0, le=1)] | None = None
    floor_requests: Annotated[int, Meta(ge=1)] = 2
    floor_tokens: Annotated[int, Meta(ge=0)] = 0
    peer_growth: Annotated[float, Meta(ge=0, le=1)] = 0.5
    patience: Annotated[float, Meta(ge=0, le=2)] = 0.1
    rising_seconds: Annotated[float, Meta(ge=0, le=600)] = 10.0
    suspect_seconds: Annotated[float, Meta(gt=0, le=60)] = 2.0
    learned_concurrency: bool = False
    brittle_slots_by_demand: bool = False
    predictive_admission: bool = False
    start_within_objective: bool = False
    predicted_placement: bool = False
    max_ejection_share: Annotated[float, Meta(ge=0, le=1)] = 1 / 3

    def __post_init__(self):
        if self.admitted_multiple > self.load_multiple:
            raise ValueError('admit_multiple must not exceed load_multiple')

    @property
    def admitted_multiple(self) -> float:
        """The multiple of the mean load that admission enforces."""
        if self.admit_share is None:
            return self.admit_multiple
        return self.admit_share * self.load_multiple


class Control(Strict):
    """Control traffic of a box, retry budgets, tickets and claims.

    Every `digest_seconds` a box sends a digest to `digest_peers` of its peers, in turn,
    and these pass new updates on.  If engines do not report their load, a peer that
    receives digests less often has a less accurate view of the load.

    A service's retries within any `retry_window_seconds`, over all boxes, stay
    below `retry_budget_ratio` of its calls plus `retry_reserve`.
    """

    control_bytes_per_second: Annotated[int, Meta(ge=256, le=8192)] = 2048
    digest_seconds: Annotated[float, Meta(ge=0.05, le=5)] = 0.3
    digest_peers: Annotated[int, Meta(ge=1, le=100)] = 12
    retry_budget_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    retry_window_seconds: Annotated[float, Meta(gt=0, le=600)] = 10.0
    retry_reserve: Annotated[float, Meta(ge=0, le=100_000)] = 80.0
    ticket_seconds: Annotated[float, Meta(gt=0, le=86_400)] = 900
    claim_seconds: Annotated[float, Meta(gt=0, le=86_400)] = 3600
    claim_buckets: Annotated[int, Meta(ge=1, le=64)] = 16


class FleetSpec(Strict):
    """The top level of the tree, inherited by all workspaces."""

    policy: Policy = Policy()
    placement: Placement = Placement()
    control: Control = Control()
    services: dict[ServiceName, FleetService] = {}
    forwarding: list[ForwardedRoute] = []
    caller_bounds: CallerBounds = CallerBounds()

    def __post_init__(self):
        owners: dict[str, str] = {}
        for name, service in self.services.items():
            for model in service.models:
                if model in owners:
                    raise ValueError(f'model {model!r} is in both {owners[model]!r} and {name!r}')
                owners[model] = name


class WorkspaceSpec(Strict):
    """One workspace: its keys, limits and the services it may call."""

    keys: list[KeyHash] = []
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    limits: Limits = Limits()
    policy: Policy = Policy()
    services: dict[Name, ServiceSpec] = {}
