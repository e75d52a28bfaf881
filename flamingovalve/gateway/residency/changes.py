"""What a report changes in what is known of an engine's adapters."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId

_MAX_LOGGED_NAMES: Final = 8


@dataclass(slots=True)
class ResidencyChange:
    """Adapters that a report added and removed.

    :ivar adopted: shown, and not known before
    :ivar forgotten: known before, and not shown
    """

    adopted: list[AdapterId] = field(default_factory=list)
    forgotten: list[AdapterId] = field(default_factory=list)

    def __bool__(self) -> bool:
        """Return whether anything has changed."""
        return bool(self.adopted or self.forgotten)


def logged_names(names: list[AdapterId]) -> list[str]:
    """Return the first names, and the number of those left out."""
    shown = [str(name) for name in names[:_MAX_LOGGED_NAMES]]
    left_out = len(names) - len(shown)
    return [*shown, f'and {left_out} more'] if left_out else shown
