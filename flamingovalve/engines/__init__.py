"""Owning model engines: orders, scheduling, reports."""
