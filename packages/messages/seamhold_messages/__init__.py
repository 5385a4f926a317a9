"""Typed messages and errors shared by seamhold's packages."""

__version__ = '0.1.0'
