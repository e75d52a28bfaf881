"""Which VMs are there, by gossip and the published list."""
