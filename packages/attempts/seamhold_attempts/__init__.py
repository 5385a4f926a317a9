"""Retries, tickets and claims: a call runs at most once."""

from .claims import ClaimBucket, ClaimState, claim_bucket_of
from .retry import Outcome, RetryBudget, RetryRule, may_retry
from .tickets import TicketState, TicketStore, parse_ticket

__all__ = [
    'ClaimBucket',
    'ClaimState',
    'Outcome',
    'RetryBudget',
    'RetryRule',
    'TicketState',
    'TicketStore',
    'claim_bucket_of',
    'may_retry',
    'parse_ticket',
]
