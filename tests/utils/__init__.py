"""Helpers of the tests."""
