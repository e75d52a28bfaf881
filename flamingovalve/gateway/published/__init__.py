"""Which of the published documents a VM knows, and how far completely."""
