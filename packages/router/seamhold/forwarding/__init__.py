"""Requests that are forwarded unchanged, in whatever dialect the platform speaks.

Routes, keys and policies come from the tree; this package carries a request
from a caller's connection to a backend server's and back.
"""
