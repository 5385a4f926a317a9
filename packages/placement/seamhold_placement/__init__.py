"""Rank engines for a chat and keep them within a load bound."""

from .bound import BoundPolicy, Candidate, Choice, Chooser, Totals, choose, choose_least_loaded
from .cold import ColdShares
from .concurrency import ConcurrencyLimits
from .holders import HolderTable
from .load import LoadTable
from .rank import Ranking
from .speeds import Slowness, SpeedTable

__all__ = [
    'BoundPolicy',
    'Candidate',
    'Choice',
    'Chooser',
    'ColdShares',
    'ConcurrencyLimits',
    'HolderTable',
    'LoadTable',
    'Ranking',
    'Slowness',
    'SpeedTable',
    'Totals',
    'choose',
    'choose_least_loaded',
]
