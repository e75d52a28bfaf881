"""The peer protocol: authenticated connections between VMs."""
