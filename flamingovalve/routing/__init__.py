"""Which VM and which engine serve a request."""
