"""A serving layer for large numbers of LoRA adapters."""

from typing import Final

VERSION: Final = '0.1.0'
