"""Forwards requests unchanged, in the dialect of the platform.

Routes, keys and policies come from the settings tree.  This package carries a request
from the caller's connection to a backend server and the answer back.
"""
