"""Reads the weights of workspaces from the settings.

The check of the settings and the owners of groups use the same reader, so a
weight that passes the check is the one that is applied.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.errors import Fault
from flamingovalve.generated.ids import WorkspaceId

if TYPE_CHECKING:
    from collections.abc import Iterable

_PLACE: Final = 'gateway.workspace_weights'
# Beyond these bounds leads overflow, or a workspace gets no place at all.
_MIN_WEIGHT: Final = 0.001
_MAX_WEIGHT: Final = 1000.0
_RANGE: Final = f'a weight from {_MIN_WEIGHT:g} to {_MAX_WEIGHT:g}'
_REMEDY: Final = f'use NAME=WEIGHT with {_RANGE}, each name once'


def read_weights(
    entries: Iterable[str],
) -> tuple[dict[WorkspaceId, float], list[Fault]]:
    """Read entries of the form ``NAME=WEIGHT``.

    :returns: the valid weights by workspace, and a fault for each other entry
    """
    weights: dict[WorkspaceId, float] = {}
    faults: list[Fault] = []
    for index, entry in enumerate(entries):
        name, _separator, text = entry.partition('=')
        workspace = WorkspaceId(name.strip())
        weight = _read_weight(text)
        problem = f'is not NAME=WEIGHT with {_RANGE}'
        if workspace in weights:
            problem = 'names a workspace that already has a weight'
        elif workspace and weight:
            weights[workspace] = weight
            continue
        faults.append(
            Fault(f'{_PLACE}[{index}]', f'{entry!r} {problem}', _REMEDY)
        )
    return weights, faults


def _read_weight(text: str) -> float:
    """Return a weight within the bounds, or 0 if ``text`` is none."""
    try:
        weight = float(text)
    except ValueError:
        return 0
    return weight if _MIN_WEIGHT <= weight <= _MAX_WEIGHT else 0
