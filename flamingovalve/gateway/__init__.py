"""Gateway that routes requests of published routes to their upstreams."""
