"""Stand-ins for external systems, used by tests, benchmarks and the demo."""
