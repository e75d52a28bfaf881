"""Which adapters occupy the slots of an engine."""
