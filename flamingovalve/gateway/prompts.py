"""Which parts of prompts an engine has read and need not read again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId
    from flamingovalve.generated.messages import PlaceAsk

# Parts that are remembered for each adapter, the latest ones.
_REMEMBERED_PARTS: Final = 64


class ReadParts:
    """Shared parts of prompts, by the adapter for which they were read."""

    def __init__(self) -> None:
        """Know of none."""
        self._by_adapter: dict[AdapterId, dict[str, None]] = {}

    def tokens_of(self, ask: PlaceAsk) -> int:
        """Give the tokens of a prompt that were read before.

        An engine reuses a part only behind the same ones and for the same
        adapter.
        """
        known = self._by_adapter.get(ask.adapter)
        tokens = 0
        if known is not None:
            for key, size in _part_keys(ask):
                if key not in known:
                    break
                tokens += size
        return tokens

    def add(self, ask: PlaceAsk) -> None:
        """Note that a prompt is read."""
        known = self._by_adapter.setdefault(ask.adapter, {})
        for key, _size in _part_keys(ask):
            known.pop(key, None)
            known[key] = None
        while len(known) > _REMEMBERED_PARTS:
            known.pop(next(iter(known)))

    def forget(self, adapter: AdapterId) -> None:
        """Count what was read for an adapter as dropped with it."""
        self._by_adapter.pop(adapter, None)

    def clear(self) -> None:
        """Count everything as dropped."""
        self._by_adapter.clear()


def _part_keys(ask: PlaceAsk) -> list[tuple[str, int]]:
    """Give a key and the size of each shared part, in order.

    The key holds all parts before.
    """
    keys = []
    path = ''
    for part in ask.parts[:-1]:
        path = f'{path}/{part.id}'
        keys.append((path, part.tokens))
    return keys
