"""HTTP/1.1 over curio sockets, with h11 as the protocol parser."""
