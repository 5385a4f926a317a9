"""Turns a forwarded request into a job that can be placed and run."""

import math

from msgspec import Struct
from msgspec.structs import replace

from seamhold_attempts.retry import RetryRule
from seamhold_attempts.streams import StreamOrigin, stream_key
from seamhold_messages.errors import StreamRouteMoved, Unauthorized, UnknownRoute, UnknownService
from seamhold_messages.work import Call, Priority, Work
from seamhold_settings.forwarding import RouteTable, choose_service
from seamhold_settings.schema import ForwardedRoute, Policy

from ..callers import hash_key
from ..guards import NullGuard
from ..job import Job
from ..ports import CallerDialect, CallerMetadata, EngineRequest, PromptPart
from .heads import RequestHead, end_to_end

PRIORITY_MAX = max(Priority)
#: The urgency sent to backend servers is at most this.
URGENCY_MAX = 9


class RoutedRequest(Struct, frozen=True):
    """A request with its route, policy, workspace and service."""

    metadata: CallerMetadata
    route: ForwardedRoute
    policy: Policy
    workspace: str
    service: str


def find_route(table: RouteTable, metadata: CallerMetadata, head: RequestHead) -> RoutedRequest:
    """Find the route of a request and the workspace that sends it.

    Raises UnknownRoute, Unauthorized, or UnknownService if no service of the route has
    a weight above 0.
    """
    route = table.find(head.host, head.target)
    if route is None:
        raise UnknownRoute('no route matches this host and path')
    workspace = table.workspace_for_key(hash_key(metadata.key)) if metadata.key else None
    if workspace is None and not route.public and table.requires_key:
        raise Unauthorized(
            'the key belongs to no workspace' if metadata.key else 'a key is required'
        )
    service = choose_service(route.shares, metadata.resumes or metadata.request_id)
    if service is None:
        raise UnknownService('no service of this route has a weight above 0')
    policy = table.policy(route, service, workspace or '')
    return RoutedRequest(metadata, route, policy, workspace or '', service)


def can_be_taken_up(found: RoutedRequest) -> bool:
    """Whether the answer is a stream that callers may take up after it broke."""
    return found.route.streamed and bool(found.policy.resumable)


def seconds_left(found: RoutedRequest) -> float:
    """Return the time in which a request that just arrived can be served."""
    deadline = found.policy.deadline
    caller_seconds = _caller_seconds(found)
    return caller_seconds if deadline is None else min(caller_seconds, deadline)


def _caller_seconds(found: RoutedRequest) -> float:
    """Return how long the caller waits, infinity if it does not say."""
    remaining = found.metadata.remaining
    return math.inf if remaining is None else remaining


def follow_origin(table: RouteTable, found: RoutedRequest, origin: StreamOrigin) -> RoutedRequest:
    """Return the request for the service that began its stream.

    Raises StreamRouteMoved if its route no longer leads there: another service may have a version
    of the same name.
    """
    shares = found.route.shares
    if not any(share.service == origin.service and share.weight > 0 for share in shares):
        raise StreamRouteMoved(f'this stream began at service {origin.service!r}')
    policy = table.policy(found.route, origin.service, found.workspace)
    return replace(found, service=origin.service, policy=policy)


def prepare(
    table: RouteTable,
    dialect: CallerDialect,
    found: RoutedRequest,
    head: RequestHead,
    body: bytes,
    now: float,
    version: str | None = None,
) -> Job:
    """Return the job of a request that was completely read at `now`, in seconds.

    `version` is the software version that it is bound to, None if to none.
    """
    metadata, policy, route = found.metadata, found.policy, found.route
    headers = end_to_end(head.headers, dialect.never_passed_on())
    workspace_priority = table.workspace_priority(found.workspace)
    urgency = _urgency(workspace_priority, policy.priority)
    request = EngineRequest(
        metadata.request_id,
        head.method,
        head.target,
        headers,
        body,
        metadata.resume_after,
        found.workspace,
        urgency if metadata.prompt else None,
        head.host,
    )
    shared = shared_part(metadata.prompt)
    call = Call(
        metadata.request_id,
        found.workspace,
        found.service,
        shared.id if shared else metadata.request_id,
        Work(1, 1),
        now + seconds_left(found),
        Priority(min(policy.priority, PRIORITY_MAX)),
        sticky=shared is not None,
        objective=policy.objective,
        version=version,
        workspace_priority=workspace_priority,
        prompt_tokens=sum(part.tokens for part in metadata.prompt),
        shared_tokens=shared_tokens(metadata.prompt),
    )
    repeatable = policy.resumable if route.streamed else policy.repeatable
    rule = RetryRule(repeatable, policy.retries)
    return Job(
        call,
        request,
        rule,
        NullGuard(),
        route.streamed,
        shared_tokens(metadata.prompt),
        metadata.resumes,
        _stream_key(found),
        now + _caller_seconds(found),
        shared_parts=tuple(part.id for part in metadata.prompt[:-1]),
        passes_on_large=True,
    )


def _stream_key(found: RoutedRequest) -> str:
    metadata = found.metadata
    if not can_be_taken_up(found):
        return ''
    begun_as = metadata.resumes if metadata.resume_after else metadata.request_id
    return stream_key(found.workspace, found.route.host, begun_as) if begun_as else ''


def shared_part(prompt: tuple[PromptPart, ...]) -> PromptPart | None:
    """Return the last part that other requests may share; it decides the placement.

    A cached part can be reused only together with all parts before it, so the last
    shared part identifies the whole shared prefix.
    """
    if not prompt:
        return None
    return prompt[-2] if len(prompt) > 1 else prompt[0]


def shared_tokens(prompt: tuple[PromptPart, ...]) -> int:
    """Return the number of tokens of all parts that other requests may share."""
    return sum(part.tokens for part in (prompt[:-1] or prompt))


def _urgency(workspace_priority: int, route_priority: int) -> int:
    """Return 0 to URGENCY_MAX; the workspace's priority ranks before the route's."""
    return min(URGENCY_MAX, workspace_priority * 3 + route_priority)
