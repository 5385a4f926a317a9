"""Scripted failures over real processes, in Gherkin."""
