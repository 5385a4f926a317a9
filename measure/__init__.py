"""Measurements of the decision libraries, with a hand-set clock.

`python -m measure` drives the packages' own `Router`, one per box, with fake
engines and callers.  Nothing here is a copy of a decision.
"""
