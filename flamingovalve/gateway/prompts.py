"""Prompt parts in the prefix cache of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId
    from flamingovalve.generated.messages import PlaceAsk

# Most recently used parts that are tracked for each adapter.
_MAX_CACHED_PARTS: Final = 64


class CachedParts:
    """Cached shared parts of prompts, by adapter."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._by_adapter: dict[AdapterId, dict[str, None]] = {}

    def cached_tokens(self, ask: PlaceAsk) -> int:
        """Return the number of tokens of a prompt that are cached.

        An engine reuses a part only after the same preceding parts and for
        the same adapter.
        """
        cached = self._by_adapter.get(ask.adapter)
        tokens = 0
        if cached is not None:
            for key, size in part_keys(ask):
                if key not in cached:
                    break
                tokens += size
        return tokens

    def add(self, ask: PlaceAsk) -> None:
        """Record that a prompt is processed."""
        cached = self._by_adapter.setdefault(ask.adapter, {})
        for key, _size in part_keys(ask):
            cached.pop(key, None)
            cached[key] = None
        while len(cached) > _MAX_CACHED_PARTS:
            cached.pop(next(iter(cached)))

    def forget(self, adapter: AdapterId) -> None:
        """Drop the parts of an adapter that was unloaded."""
        self._by_adapter.pop(adapter, None)

    def clear(self) -> None:
        """Drop all parts."""
        self._by_adapter.clear()


def part_keys(ask: PlaceAsk) -> list[tuple[str, int]]:
    """Return a key and the token count of each shared part, in order.

    The key of a part includes all preceding parts. The last part of a prompt
    is not shared.
    """
    keys = []
    path = ''
    for part in ask.parts[:-1]:
        path = f'{path}/{part.id}'
        keys.append((path, part.tokens))
    return keys
