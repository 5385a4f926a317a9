"""Typed messages and errors that seamhold's parts exchange."""

__version__ = '0.1.0'
