"""Tests of all packages; `python -m tests` runs them.

Hypothesis runs the same examples every time; HYPOTHESIS_PROFILE=explore
looks for new ones.
"""

import os

import hypothesis

hypothesis.settings.register_profile('fixed', derandomize=True, database=None, deadline=None)
hypothesis.settings.register_profile('explore', max_examples=2000, deadline=None)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'fixed'))
