"""Helpers that are independent of serving."""
