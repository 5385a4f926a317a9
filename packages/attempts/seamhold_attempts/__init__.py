"""Retries, tickets and claims: a call runs at most once."""

from .claims import ClaimBucket, ClaimState, claim_bucket_of
from .retry import Outcome, RetryBudget, RetryRule, may_retry
from .tickets import TicketBook, TicketState, parse_ticket

__all__ = [
    'ClaimBucket',
    'ClaimState',
    'Outcome',
    'RetryBudget',
    'RetryRule',
    'TicketBook',
    'TicketState',
    'claim_bucket_of',
    'may_retry',
    'parse_ticket',
]
