"""Orders that had no answer and may still arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId


class LateOrders:
    """The orders without an answer of one engine.

    An engine that is loading an adapter, or waits to unload it, accepts
    another such order, whatever count that names. A late order would then come
    after orders with higher numbers.
    """

    def __init__(self) -> None:
        """Start without orders."""
        self._until_by_adapter: dict[AdapterId, float] = {}

    def record(self, name: AdapterId, seconds: float) -> None:
        """Record an order for an adapter that may arrive for some seconds."""
        now = clock.now()
        self._until_by_adapter = {
            other: until
            for other, until in self._until_by_adapter.items()
            if until > now
        }
        self._until_by_adapter[name] = now + seconds

    def may_come(self, name: AdapterId) -> bool:
        """Return whether an order for an adapter may still arrive."""
        return clock.now() < self._until_by_adapter.get(name, 0)

    def clear(self) -> None:
        """Forget all orders, as after a restart of the engine."""
        self._until_by_adapter.clear()
