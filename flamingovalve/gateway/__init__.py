"""Serving published routes: each request to an upstream that may run it."""
