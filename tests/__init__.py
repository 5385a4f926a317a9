"""Tests of all packages; run them with `python -m tests`.

Hypothesis uses the same examples in every run; HYPOTHESIS_PROFILE=explore
generates new ones.
"""

import os

import hypothesis

hypothesis.settings.register_profile('fixed', derandomize=True, database=None, deadline=None)
hypothesis.settings.register_profile('explore', max_examples=2000, deadline=None)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'fixed'))
