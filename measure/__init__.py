"""Measurements of the decision libraries and of real processes.

The simulations run the packages' own `Router`, one per box, with fake engines
and callers on a simulated clock.  No decision logic is duplicated here.
"""
