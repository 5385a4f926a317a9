"""Behave scenarios that inject failures into real processes."""
