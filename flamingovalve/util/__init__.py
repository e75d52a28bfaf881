"""Small helpers that know nothing of serving."""
