"""Small specifications of the core protocol, checked state by state.

Each model has a variant with one mechanism broken, which must give a
counterexample: that shows that the check can fail.  The transition functions
are the packages' own wherever that is possible.
"""
