"""Benchmarks, each of which prints a table of figures from its own runs."""
