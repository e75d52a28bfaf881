"""Calls to upstreams and the checks on their answers."""
