"""Tests of all packages; `python -m tests` runs them."""
