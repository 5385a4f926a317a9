"""Small specifications of the core protocol, checked state by state.

Each model has variants in which one mechanism is broken.  The checker must find
a counterexample for each, which shows that the check can fail.  The transitions
call the packages' own functions wherever possible.
"""
