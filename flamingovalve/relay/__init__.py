"""Calls to upstreams and checks of their responses."""
