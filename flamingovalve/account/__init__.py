"""What the structured log lines of many VMs say about lost requests."""
