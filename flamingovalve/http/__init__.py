"""HTTP over curio sockets, by h11."""
