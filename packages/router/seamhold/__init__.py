"""The seamhold router and its command line."""

__version__ = '0.1.0'
