"""Daemon settings and the published inventory."""
