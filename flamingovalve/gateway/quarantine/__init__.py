"""Quarantine of what crashes the upstreams that run it."""
