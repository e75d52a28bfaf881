"""Test rig: whole daemons on loopback sockets and a virtual clock."""
