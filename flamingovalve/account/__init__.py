"""Analysis of lost requests from the structured logs of several VMs."""
