"""Bounds on the answers of upstreams, and large ones that are passed on."""
