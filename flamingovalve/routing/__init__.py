"""Choice of the VM and the engine that serve a request."""
