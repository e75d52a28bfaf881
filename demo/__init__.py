"""Demonstrates flamingovalve with a small fleet of real processes."""
