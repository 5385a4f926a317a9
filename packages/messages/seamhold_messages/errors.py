"""Errors of calls and operations, each with a stable code.

The meaning of a released code never changes because callers and operators match
on it.  `docs/OPERATIONS.md` lists the action to take for each code.
"""

from enum import StrEnum


class Ran(StrEnum):
    """Whether an engine may have executed a failed call."""

    NO = 'no'
    UNKNOWN = 'unknown'


class SeamholdError(Exception):
    """Base class of all errors.

    `code` is stable, `status` is the HTTP status returned to the caller, `ran` states
    whether the call may have run, `retry_after` is in seconds.
    """

    code = 'error'
    status = 500
    ran = Ran.NO

    def __init__(self, detail: str = '', retry_after: float | None = None):
        super().__init__(detail or self.code)
        self.detail = detail
        self.retry_after = retry_after


class Internal(SeamholdError):
    """An internal error of seamhold; the call may have run."""

    code = 'internal'
    ran = Ran.UNKNOWN


class BoxFull(SeamholdError):
    """This box is at its limit of concurrent calls; another box may have capacity."""

    code = 'box_full'
    status = 503


# Errors that the caller must correct.


class BadRequest(SeamholdError):
    """The request is malformed for this route."""

    code = 'bad_request'
    status = 400


class BadJson(BadRequest):
    """The body is not a JSON object."""

    code = 'bad_json'


class Unauthorized(SeamholdError):
    """The API key is missing or belongs to no workspace."""

    code = 'unauthorized'
    status = 401


class BodyTooLarge(SeamholdError):
    """The body is larger than the route allows."""

    code = 'body_too_large'
    status = 413


class CallerTooSlow(SeamholdError):
    """The request body did not arrive in time, or the caller disconnected while sending it."""

    code = 'caller_too_slow'
    status = 408


class UnknownModel(SeamholdError):
    """The workspace has no service that serves this model."""

    code = 'unknown_model'
    status = 404


class UnknownRoute(SeamholdError):
    """No route matches this host and path prefix."""

    code = 'unknown_route'
    status = 404


class CallerLeft(SeamholdError):
    """The caller closed its connection before the answer was complete."""

    code = 'caller_left'
    status = 499
    ran = Ran.UNKNOWN


class UnknownService(SeamholdError):
    """The workspace has no service of this name."""

    code = 'unknown_service'
    status = 404


# Calls refused before anything was sent to an engine, or that the engine did not run.


class NoEngine(SeamholdError):
    """This box knows of no live engine for the service."""

    code = 'no_engine'
    status = 503


class FleetFull(SeamholdError):
    """All slots of the service's engines are taken and the queue is full."""

    code = 'fleet_full'
    status = 503


class WorkspaceLimit(SeamholdError):
    """The workspace has reached one of its limits."""

    code = 'workspace_limit'
    status = 429


class DeadlineUnmeetable(SeamholdError):
    """The expected wait in the queue exceeds the time left until the call's deadline."""

    code = 'deadline_unmeetable'
    status = 503


class DeadlinePassed(SeamholdError):
    """The call's deadline passed while it was still queued."""

    code = 'deadline_passed'
    status = 504


class NotReady(SeamholdError):
    """The box has not loaded its settings yet, or it is shutting down."""

    code = 'not_ready'
    status = 503


class RetryBudgetSpent(SeamholdError):
    """The call did not run, and this box's retry budget is exhausted."""

    code = 'retry_budget_spent'
    status = 503


class EngineUnreachable(SeamholdError):
    """The engine accepted no connection, so nothing was sent."""

    code = 'engine_unreachable'
    status = 502


class EngineRefused(SeamholdError):
    """The engine reported that it did not run the call."""

    code = 'engine_refused'
    status = 503


class ClaimsUnavailable(SeamholdError):
    """The platform could not record the call's idempotency key, so the call was not sent."""

    code = 'claims_unavailable'
    status = 503


class ClaimsFull(SeamholdError):
    """The bucket of recorded idempotency keys is full until older keys expire."""

    code = 'claims_full'
    status = 503


class RequestQuarantined(SeamholdError):
    """Each engine that ran this request ended; for now it is sent to no other engine."""

    code = 'request_quarantined'
    status = 503


class RequestOnTrial(SeamholdError):
    """Engines ended under this request, and a trial run of it is in progress elsewhere."""

    code = 'request_on_trial'
    status = 503


class TicketsFull(SeamholdError):
    """The box is at its limit of open tickets."""

    code = 'tickets_full'
    status = 503


# The call may have run.


class EngineFailed(SeamholdError):
    """The engine answered with an error, or the connection broke."""

    code = 'engine_failed'
    status = 502
    ran = Ran.UNKNOWN


class EngineMisdirected(SeamholdError):
    """Another incarnation now has the engine's address; it did not run the call."""

    code = 'engine_misdirected'
    status = 503


class AnswerTimeout(SeamholdError):
    """The engine did not answer before the call's deadline."""

    code = 'answer_timeout'
    status = 504
    ran = Ran.UNKNOWN


class AnswerCut(SeamholdError):
    """The answer ended before it was complete."""

    code = 'answer_cut'
    status = 502
    ran = Ran.UNKNOWN


class AnswerMismatch(SeamholdError):
    """The request id in the engine's answer is that of another request."""

    code = 'answer_mismatch'
    status = 502
    ran = Ran.UNKNOWN


class KeyInUse(SeamholdError):
    """An earlier request with this idempotency key was already sent to an engine."""

    code = 'key_in_use'
    status = 409
    ran = Ran.UNKNOWN


class KeyMismatch(SeamholdError):
    """The idempotency key or ticket was used before with a different body."""

    code = 'key_mismatch'
    status = 422
    ran = Ran.UNKNOWN


class TicketUnknown(SeamholdError):
    """No live box holds this ticket; its call is never run again."""

    code = 'ticket_unknown'
    status = 409
    ran = Ran.UNKNOWN


class TicketUnreachable(SeamholdError):
    """The box that holds the ticket does not answer at present."""

    code = 'ticket_unreachable'
    status = 503
    ran = Ran.UNKNOWN


# Errors of operators' commands and of the platform.


class SettingsInvalid(SeamholdError):
    """A settings tree or box file violates the schema; `detail` names the path and the rule."""

    code = 'settings_invalid'
    status = 422


class SettingsConflict(SeamholdError):
    """Another operator changed the object first; nothing was written."""

    code = 'settings_conflict'
    status = 409


class PlatformUnavailable(SeamholdError):
    """The platform's object API did not answer; a write may have been applied."""

    code = 'platform_unavailable'
    status = 503


class PlatformConflict(SeamholdError):
    """The object's version changed before the conditional write."""

    code = 'platform_conflict'
    status = 409


class PlatformGone(SeamholdError):
    """The watch requested a version that the platform no longer keeps."""

    code = 'platform_gone'
    status = 410


class PlatformNotFound(SeamholdError):
    """The platform has no such object."""

    code = 'platform_not_found'
    status = 404


class PlatformThrottled(PlatformUnavailable):
    """The platform rate-limits its clients; try again later."""

    code = 'platform_throttled'


class EntryUnreadable(SeamholdError):
    """A list entry lacks a field or has one of the wrong type, so it cannot be identified."""

    code = 'entry_unreadable'


class EntryUnsound(EntryUnreadable):
    """A list entry has all its fields, but one has an impossible value."""

    code = 'entry_unsound'


def _codes(kind: type[SeamholdError]) -> dict[str, type[SeamholdError]]:
    found = {kind.code: kind}
    for child in kind.__subclasses__():
        found |= _codes(child)
    return found


#: Maps each stable code to its exception class.
ERRORS_BY_CODE = _codes(SeamholdError)


def error_from(code: str, detail: str = '', retry_after: float | None = None):
    """Rebuild an error received from a peer; an unknown code becomes EngineFailed."""
    kind = ERRORS_BY_CODE.get(code, EngineFailed)
    return kind(detail, retry_after)
