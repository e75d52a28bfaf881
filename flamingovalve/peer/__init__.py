"""The protocol between VMs."""
