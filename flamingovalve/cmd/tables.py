"""Plain-text tables for terminal output."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a table with columns as wide as their widest cell."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [
        max(len(row[index]) for row in cells) for index in range(len(headings))
    ]
    lines = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return '\n'.join(lines)


def state_table(state: dict[str, Any]) -> str:
    """Return the state dump of a VM as text with tables."""
    configuration = state['configuration']
    parts = [
        f'{state["vm"]} in {state["failure_domain"]}: '
        f'{"ready" if state["ready"] else "not ready"}'
        f'{", leaving" if state["leaving"] else ""}, '
        f'{state["requests_in_progress"]} requests in progress',
        f'inventory {configuration["version"]} with '
        f'{configuration["adapters"]} adapters',
        *(f'refused: {fault}' for fault in configuration['faults']),
        '',
        _members(state),
        '',
        _engines(state),
    ]
    return '\n'.join(parts)


def _members(state: dict[str, Any]) -> str:
    rows = (
        (
            vm_id,
            member['state'],
            'yes' if member['present'] else 'no',
            'direct' if member['direct_path'] else 'through others',
        )
        for vm_id, member in state['members'].items()
    )
    return table(('VM', 'STATE', 'PRESENT', 'PATH'), rows)


def _engines(state: dict[str, Any]) -> str:
    rows = (
        (
            engine_id,
            engine['state'],
            engine['running'],
            engine['waiting'],
            len(engine['residents']),
            engine['counts']['loads'],
            round(engine['counts']['stall_seconds'], 1),
        )
        for engine_id, engine in state['engines'].items()
    )
    headings = (
        'ENGINE',
        'STATE',
        'RUNNING',
        'WAITING',
        'ADAPTERS',
        'LOADS',
        'STALL S',
    )
    return table(headings, rows)
