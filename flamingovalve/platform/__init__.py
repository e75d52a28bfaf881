"""Names, formats and calls of the users' platform, and only these."""
