"""Renders the deployment's settings template as the platform does."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Final

TEMPLATE: Final = Path(__file__).parents[2] / 'deploy' / 'settings.ini'

_SECTION = re.compile(r'\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n', re.DOTALL)
_INVERTED_SECTION = re.compile(
    r'\{\{\^([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n', re.DOTALL
)
_VARIABLE = re.compile(r'\{\{([\w.]+)\}\}')


def render(fields: dict[str, str]) -> str:
    """Return the template with the values of its fields."""
    text = TEMPLATE.read_text('utf-8')
    text = _SECTION.sub(lambda f: f[2] if f[1] in fields else '', text)
    text = _INVERTED_SECTION.sub(lambda f: '' if f[1] in fields else f[2], text)
    return _VARIABLE.sub(lambda f: fields.get(f[1], ''), text)
