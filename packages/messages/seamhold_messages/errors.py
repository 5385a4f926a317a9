"""Errors of calls and operations, each with a stable code.

The meaning of a released code never changes because callers and operators match
on it.  `docs/OPERATIONS.md` lists the action to take for each code.
The first line of a class's docstring is the title that callers receive with the code, so it
stays as released.
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
    """A fault of seamhold itself; the call may have run."""

    code = 'internal'
    ran = Ran.UNKNOWN


class BoxFull(SeamholdError):
    """This box answers as many calls as it may; another may have room."""

    code = 'box_full'
    status = 503


# Errors caused by the caller: by its request or its connection.


class BadRequest(SeamholdError):
    """The request is not one this route can read."""

    code = 'bad_request'
    status = 400


class BadJson(BadRequest):
    """The body is not a JSON object."""

    code = 'bad_json'


class Unauthorized(SeamholdError):
    """The key is missing or names no workspace."""

    code = 'unauthorized'
    status = 401


class BodyTooLarge(SeamholdError):
    """The body is larger than the route allows."""

    code = 'body_too_large'
    status = 413


class CallerTooSlow(SeamholdError):
    """The request's body did not come in time, or its caller left."""

    code = 'caller_too_slow'
    status = 408


class UnknownModel(SeamholdError):
    """The workspace has no service that serves this model."""

    code = 'unknown_model'
    status = 404


class UnknownRoute(SeamholdError):
    """No route begins this path at this host."""

    code = 'unknown_route'
    status = 404


class CallerLeft(SeamholdError):
    """The caller closed its connection before the answer was whole."""

    code = 'caller_left'
    status = 499
    ran = Ran.UNKNOWN


class UnknownService(SeamholdError):
    """The workspace has no service of this name."""

    code = 'unknown_service'
    status = 404


# Calls refused before anything was sent to an engine, or that the engine did not run.


class NoEngine(SeamholdError):
    """No live engine serves this service as far as this box knows."""

    code = 'no_engine'
    status = 503


class EnginesResting(SeamholdError):
    """Every engine of this service that may get work has asked for rest."""

    code = 'engines_resting'
    status = 503


class FleetFull(SeamholdError):
    """Every engine of the service is at its slots and the queue is full."""

    code = 'fleet_full'
    status = 503


class WorkspaceLimit(SeamholdError):
    """The workspace is at its limit."""

    code = 'workspace_limit'
    status = 429


class DeadlineUnmeetable(SeamholdError):
    """The queue is longer than the time the caller left."""

    code = 'deadline_unmeetable'
    status = 503


class DeadlinePassed(SeamholdError):
    """The caller's time ran out while the call was still waiting."""

    code = 'deadline_passed'
    status = 504


class NotReady(SeamholdError):
    """The box has no settings yet, or it is stopping."""

    code = 'not_ready'
    status = 503


class RetryBudgetSpent(SeamholdError):
    """Nothing ran, and this box has no retries left to spend on it."""

    code = 'retry_budget_spent'
    status = 503


class EngineUnreachable(SeamholdError):
    """The engine took no connection, so nothing was sent."""

    code = 'engine_unreachable'
    status = 503


class EngineRefused(SeamholdError):
    """The engine said that it did not run the call."""

    code = 'engine_refused'
    status = 503


class ClaimsUnavailable(SeamholdError):
    """The platform could not record the call's key, so it was not sent."""

    code = 'claims_unavailable'
    status = 503


class ClaimsFull(SeamholdError):
    """The bucket of recorded keys has no room until older ones expire."""

    code = 'claims_full'
    status = 503


class RequestQuarantined(SeamholdError):
    """Each engine that ran this request ended; it is not sent to another now."""

    code = 'request_quarantined'
    status = 503


class RequestOnTrial(SeamholdError):
    """Engines ended under this request; the same one runs alone elsewhere at the moment."""

    code = 'request_on_trial'
    status = 503


class StreamOriginUnknown(SeamholdError):
    """No box that answers knows which software version began this stream."""

    code = 'stream_origin_unknown'
    status = 503


class StreamRouteMoved(SeamholdError):
    """The stream's route no longer leads to the service that began it."""

    code = 'stream_route_moved'
    status = 503


class TicketsFull(SeamholdError):
    """The box holds as many open tickets as it may."""

    code = 'tickets_full'
    status = 503


# The call, or an earlier one with its key or ticket, may have run, unless `ran` is NO.


class EngineFailed(SeamholdError):
    """The engine answered with an error, or the connection broke."""

    code = 'engine_failed'
    status = 502
    ran = Ran.UNKNOWN


class EngineMisdirected(SeamholdError):
    """Another incarnation has the engine's address; it did not run the call."""

    code = 'engine_misdirected'
    status = 503


class AnswerTimeout(SeamholdError):
    """The engine did not answer within the caller's time."""

    code = 'answer_timeout'
    status = 504
    ran = Ran.UNKNOWN


class AnswerCut(SeamholdError):
    """The answer ended before it was whole."""

    code = 'answer_cut'
    status = 502
    ran = Ran.UNKNOWN


class AnswerEndUnproven(AnswerCut):
    """The connection ended as an answer may, but its engine does not seem to be alive."""

    code = 'answer_end_unproven'


class AnswerUnreadable(SeamholdError):
    """A line of the answer's head, or between its chunks, is not as HTTP defines it."""

    code = 'answer_unreadable'
    status = 502
    ran = Ran.UNKNOWN


class AnswerMismatch(SeamholdError):
    """The engine answered with the id of another request."""

    code = 'answer_mismatch'
    status = 502
    ran = Ran.UNKNOWN


class EventOutOfOrder(SeamholdError):
    """An event of the stream is not above the one before it."""

    code = 'event_out_of_order'
    status = 502
    ran = Ran.UNKNOWN


class EventsMissing(SeamholdError):
    """The ids of the stream's events leave some out."""

    code = 'events_missing'
    status = 502
    ran = Ran.UNKNOWN


class AnswerTooLarge(SeamholdError):
    """An answer that has to be read whole is larger than the box holds of one."""

    code = 'answer_too_large'
    status = 502
    ran = Ran.UNKNOWN


class KeyInUse(SeamholdError):
    """An earlier arrival with this idempotency key was sent to an engine."""

    code = 'key_in_use'
    status = 409
    ran = Ran.UNKNOWN


class KeyMismatch(SeamholdError):
    """The idempotency key or ticket came before with another body."""

    code = 'key_mismatch'
    status = 422
    ran = Ran.UNKNOWN


class TicketUnknown(SeamholdError):
    """No living box remembers this ticket; it is never run again."""

    code = 'ticket_unknown'
    status = 409
    ran = Ran.UNKNOWN


class TicketUnreachable(SeamholdError):
    """The box that holds the ticket does not answer now."""

    code = 'ticket_unreachable'
    status = 503
    ran = Ran.UNKNOWN


# Errors of operators' commands and of the platform.


class SettingsInvalid(SeamholdError):
    """A tree or box file breaks the schema; `detail` names path and rule."""

    code = 'settings_invalid'
    status = 422


class SettingsConflict(SeamholdError):
    """Another operator changed the object first; nothing was written."""

    code = 'settings_conflict'
    status = 409


class PlatformUnavailable(SeamholdError):
    """The platform's object API did not answer; a write may have landed."""

    code = 'platform_unavailable'
    status = 503


class PlatformConflict(SeamholdError):
    """The object's version moved on before the conditional write."""

    code = 'platform_conflict'
    status = 409


class PlatformGone(SeamholdError):
    """The watch asked for a version the platform no longer keeps."""

    code = 'platform_gone'
    status = 410


class PlatformNotFound(SeamholdError):
    """The platform has no such object."""

    code = 'platform_not_found'
    status = 404


class PlatformThrottled(PlatformUnavailable):
    """The platform asks its callers to come back later."""

    code = 'platform_throttled'


class PlatformUnreadable(PlatformUnavailable):
    """The platform's answer cannot be read; a write may have landed."""

    code = 'platform_unreadable'


class EntryUnreadable(SeamholdError):
    """An entry of a list lacks a field or has one of another type: it names nothing."""

    code = 'entry_unreadable'


class EntryUnsound(EntryUnreadable):
    """An entry of a list has all its fields, and one says what cannot be."""

    code = 'entry_unsound'


def _errors_by_code(kind: type[SeamholdError]) -> dict[str, type[SeamholdError]]:
    errors = {kind.code: kind}
    for child in kind.__subclasses__():
        errors |= _errors_by_code(child)
    return errors


#: Maps each stable code to its exception class.
ERRORS_BY_CODE = _errors_by_code(SeamholdError)


def error_from(code: str, detail: str = '', retry_after: float | None = None):
    """Rebuild an error received from a peer; an unknown code becomes EngineFailed."""
    kind = ERRORS_BY_CODE.get(code, EngineFailed)
    return kind(detail, retry_after)
