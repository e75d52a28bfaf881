"""A serving layer for large numbers of LoRA adapters."""

# Without an import: no signal is handled until this package is imported.
VERSION = '0.1.0'
