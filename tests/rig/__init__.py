"""Whole daemons on loopback sockets under a virtual clock."""
