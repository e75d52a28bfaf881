"""Decodes the reports of engines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import Undecodable
from flamingovalve.gateway.orders import EngineReport
from flamingovalve.generated.ids import AdapterId, ModelId
from flamingovalve.platform.decode import (
    ADAPTER_VERSIONS,
    ORDER_COUNTS,
    START_TIMES_MS,
)
from flamingovalve.platform.fields import MAX_NAME_BYTES, NAME, Fields, Text

if TYPE_CHECKING:
    from collections.abc import Iterator

# ``MODEL/NAME@VERSION``.
_ADAPTER: Final = Text(3 * MAX_NAME_BYTES)


@dataclass(frozen=True, slots=True)
class _ListedAdapter:
    """An adapter and its version, as an engine lists them."""

    name: AdapterId
    version: int


def report(raw: Fields, asked_at: float) -> EngineReport:
    """Decode what an engine says that it holds.

    :param asked_at: when it was asked, on the monotonic clock
    :raises Undecodable: when a field is missing, of another type or out of
        its bounds
    """
    models = raw.each_fields('Models')
    resident = [
        _listed_adapter(entry)
        for held in models
        for entry in held.texts('Adapters', _ADAPTER, [])
    ]
    return EngineReport(
        sequence=raw.integer('Seq', ORDER_COUNTS),
        born=raw.integer('born', START_TIMES_MS, 0),
        models=[ModelId(held.text('Name', NAME)) for held in models],
        resident={adapter.name: adapter.version for adapter in resident},
        coming=[
            _listed_adapter(entry.partition('/')[2]).name
            for entry in raw.texts('Coming', _ADAPTER, [])
        ],
        at_hand=frozenset(_at_hand(raw.fields('AtHand'))),
        is_busy=raw.has('Busy'),
        asked_at=asked_at,
    )


def _at_hand(raw: Fields) -> Iterator[ModelId]:
    for location in ('InMemory', 'OnDisk'):
        for name in raw.texts(location, NAME, []):
            yield ModelId(name)


def _listed_adapter(entry: str) -> _ListedAdapter:
    """Split ``NAME@VERSION``; the version defaults to 1."""
    text, _at, version = entry.partition('@')
    name = AdapterId(NAME.read(text, 'the name of an adapter'))
    if not version:
        return _ListedAdapter(name, 1)
    if not (version.isascii() and version.isdigit()):
        raise Undecodable('the version of an adapter is not a number')
    place = 'the version of an adapter'
    return _ListedAdapter(name, ADAPTER_VERSIONS.integer(int(version), place))
