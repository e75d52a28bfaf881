"""Settings and the published inventory."""
