"""Fleet membership, from gossip and the published list of VMs."""
