"""Generates the metrics reference page."""

from __future__ import annotations

from pathlib import Path

from flamingovalve.metrics import reference

PAGE = Path(__file__).parent.parent.parent / 'docs' / 'metrics.md'


def main() -> None:
    """Write the page."""
    PAGE.write_text(reference(), 'utf-8')


if __name__ == '__main__':
    main()
