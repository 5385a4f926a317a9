"""Converts callers' requests to calls that can be placed."""

import hashlib
import json
import math
import re
from collections.abc import Mapping

from msgspec import Struct

from seamhold_messages.errors import (
    BadJson,
    BadRequest,
    BodyTooLarge,
    Unauthorized,
    UnknownModel,
    UnknownService,
)
from seamhold_messages.work import PRIORITIES, Call, Priority, Work
from seamhold_settings import ResolvedRoute, ServiceKind, Tree, resolve
from seamhold_settings.forwarding import workspace_priority
from seamhold_settings.resolve import service_of_model

from . import headers as names
from .ports import EngineRequest

BYTES_PER_TOKEN = 4
CHAT_PATH = '/v1/chat/completions'
SERVICES_PREFIX = '/services/'
BEARER = 'bearer '
#: Maximum body size of any route; a route's own limit is usually lower.
BODY_MAX_BYTES = 64 * 1024 * 1024
KEY_MAX_CHARS = 255
FIRST_MESSAGES = 2
HINT_PATTERN = re.compile('[0-9a-f]{8}')


class IncomingRequest(Struct, frozen=True):
    """A caller's request, from the entry port or relayed by a peer."""

    id: str
    workspace: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class PreparedRequest(Struct, frozen=True):
    """A request that was parsed and checked against the settings in force."""

    call: Call
    request: EngineRequest
    route: ResolvedRoute
    repeatable: bool
    streamed: bool
    idempotency_key: str
    ticket: str
    body_hash: str


def hash_key(key: str) -> str:
    """Return the hash of a caller's key, as the settings contain it."""
    return 'sha256:' + hashlib.sha256(key.encode()).hexdigest()


def authenticate(tree: Tree, authorization: str) -> str:
    """Return the workspace of a bearer key; raises Unauthorized."""
    if not authorization.lower().startswith(BEARER):
        raise Unauthorized('send "Authorization: Bearer KEY"')
    key_hash = hash_key(authorization[len(BEARER) :].strip())
    found = [name for name, space in tree.workspaces.items() if key_hash in space.keys]
    # A key in two workspaces would let one of them act as the other.
    if len(found) != 1:
        raise Unauthorized('the key belongs to no workspace')
    return found[0]


def prepare(tree: Tree, incoming: IncomingRequest, now: float) -> PreparedRequest:
    """Parse a chat or a plain call; raises a SeamholdError that the caller has to fix."""
    if incoming.path == CHAT_PATH:
        return _chat(tree, incoming, now)
    if incoming.path.startswith(SERVICES_PREFIX):
        return _plain(tree, incoming, now)
    raise UnknownService('there is no such page')


def _json_object(body: bytes) -> dict:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadJson(f'the body is not JSON: {error}') from error
    if not isinstance(value, dict):
        raise BadJson('the body is not a JSON object')
    return value


def _chat(tree: Tree, incoming: IncomingRequest, now: float) -> PreparedRequest:
    value = _json_object(incoming.body)
    model = value.get('model')
    messages = value.get('messages')
    if not isinstance(model, str) or not isinstance(messages, list):
        raise BadRequest('"model" must be a string and "messages" a list')
    service = service_of_model(tree, model)
    route = service and resolve(tree, incoming.workspace, service, _route_name(incoming))
    if not route:
        raise UnknownModel(f'this workspace has no model {model!r}')
    value['cache_salt'] = cache_salt(incoming.workspace)
    chat = value.get('prompt_cache_key') or incoming.headers.get(names.CHAT)
    work = Work(1, _tokens(value, incoming, route))
    body = json.dumps(value).encode()
    sent_headers = {'Content-Type': 'application/json'}
    request = EngineRequest(incoming.id, 'POST', CHAT_PATH, sent_headers, body)
    call = _call(tree, incoming, route, str(chat or _unnamed_chat_key(messages)), work, now)
    return _prepared(incoming, call, request, route, value.get('stream') is True)


def _plain(tree: Tree, incoming: IncomingRequest, now: float) -> PreparedRequest:
    service, _, rest = incoming.path.removeprefix(SERVICES_PREFIX).partition('/')
    name = service.partition('?')[0]
    route = resolve(tree, incoming.workspace, name, rest.partition('?')[0])
    if route is None or route.kind is not ServiceKind.PLAIN:
        raise UnknownService(f'this workspace has no service {name!r}')
    sent_headers = names.headers_for_engine(incoming.headers)
    sent_headers[names.WORKSPACE] = incoming.workspace
    path = f'/{rest}'
    request = EngineRequest(incoming.id, incoming.method, path, sent_headers, incoming.body)
    work = Work(1, 1 + len(incoming.body) // BYTES_PER_TOKEN)
    chat = incoming.headers.get(names.CHAT) or incoming.id
    call = _call(tree, incoming, route, chat, work, now)
    return _prepared(incoming, call, request, route, False)


def _route_name(incoming: IncomingRequest) -> str:
    return incoming.headers.get(names.ROUTE, '')


def cache_salt(workspace: str) -> str:
    """Return a salt that keeps a workspace's cached prompts from use by another workspace."""
    return hashlib.sha256(f'seamhold\0{workspace}'.encode()).hexdigest()[:32]


def _unnamed_chat_key(messages: list) -> str:
    """Return a key for a chat that the caller did not name.

    It is made of the first messages, which are the same in every turn.
    """
    text = json.dumps(messages[:FIRST_MESSAGES], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


def _tokens(value: dict, incoming: IncomingRequest, route: ResolvedRoute) -> int:
    """Return the expected work in tokens, estimated before dispatch."""
    requested = value.get('max_completion_tokens') or value.get('max_tokens')
    if requested is not None and (
        not isinstance(requested, int) or isinstance(requested, bool) or requested < 1
    ):
        raise BadRequest('"max_tokens" must be an integer above 0')
    output = requested or route.policy.expected_output_tokens
    return len(incoming.body) // BYTES_PER_TOKEN + output


def _call(
    tree: Tree, incoming: IncomingRequest, route: ResolvedRoute, chat: str, work: Work, now: float
) -> Call:
    if len(incoming.body) > route.policy.max_body_bytes:
        raise BodyTooLarge(f'this route accepts at most {route.policy.max_body_bytes} bytes')
    return Call(
        incoming.id,
        incoming.workspace,
        route.service,
        f'{incoming.workspace}\0{route.service}\0{chat}',
        work,
        now + _timeout(incoming, route.policy.deadline),
        Priority(min(route.policy.priority, PRIORITIES - 1)),
        _hint(incoming),
        workspace_priority=workspace_priority(tree, incoming.workspace),
    )


def _timeout(incoming: IncomingRequest, limit: float) -> float:
    """Return the timeout in seconds: the caller's can only shorten the route's."""
    text = incoming.headers.get(names.TIMEOUT)
    if not text:
        return limit
    try:
        requested = float(text)
    except ValueError:
        requested = math.nan
    if not math.isfinite(requested) or requested <= 0:
        raise BadRequest(f'{names.TIMEOUT} must be a number of seconds above 0')
    return min(requested, limit)


def _hint(incoming: IncomingRequest) -> str:
    """Return the chat hint, '' if there is none or it is invalid."""
    text = incoming.headers.get(names.CHAT_HINT, '')
    return text if HINT_PATTERN.fullmatch(text) else ''


def _prepared(
    incoming: IncomingRequest,
    call: Call,
    request: EngineRequest,
    route: ResolvedRoute,
    streamed: bool,
) -> PreparedRequest:
    key = incoming.headers.get(names.IDEMPOTENCY_KEY, '')
    if len(key) > KEY_MAX_CHARS:
        raise BadRequest(f'{names.IDEMPOTENCY_KEY} must have at most {KEY_MAX_CHARS} characters')
    marked = incoming.headers.get(names.REPEATABLE, '').lower()
    if marked not in ('', 'yes', 'no'):
        raise BadRequest(f'{names.REPEATABLE} must be "yes" or "no"')
    ticket = incoming.headers.get(names.TICKET, '')
    # A caller sends a ticket if the call must not run twice.
    repeatable = route.policy.repeatable and marked != 'no' and not ticket
    body_hash = hashlib.sha256(
        f'{incoming.method}\0{incoming.path}\0'.encode() + incoming.body
    ).hexdigest()[:32]
    return PreparedRequest(call, request, route, repeatable, streamed, key, ticket, body_hash)
