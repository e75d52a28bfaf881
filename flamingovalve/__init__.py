"""A serving layer for very many LoRA adapters."""

from typing import Final

VERSION: Final = '0.1.0'
