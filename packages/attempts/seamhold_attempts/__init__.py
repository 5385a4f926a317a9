"""Retries, tickets and claims, by which a call runs at most once, and the origins of streams."""

from .claims import ClaimBucket, ClaimState, claim_bucket_of
from .retry import Outcome, RetryBudget, RetryRule, may_retry
from .streams import StreamOrigin, StreamPage, StreamRecord, StreamTable, stream_key
from .tickets import TicketState, TicketStore, parse_ticket

__all__ = [
    'ClaimBucket',
    'ClaimState',
    'Outcome',
    'RetryBudget',
    'RetryRule',
    'StreamOrigin',
    'StreamPage',
    'StreamRecord',
    'StreamTable',
    'TicketState',
    'TicketStore',
    'claim_bucket_of',
    'may_retry',
    'parse_ticket',
    'stream_key',
]
