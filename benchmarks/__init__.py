"""Measurements: each prints a table of figures from runs it has just made."""
