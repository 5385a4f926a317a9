"""Rank engines for a chat and keep them within a load bound."""

from .bound import BoundPolicy, Choice, choose
from .load import LoadTable
from .rank import Ranking

__all__ = ['BoundPolicy', 'Choice', 'LoadTable', 'Ranking', 'choose']
