"""Converts untyped values to generated dataclasses and lists faults."""

from __future__ import annotations

import dataclasses
from enum import Enum
from functools import cache
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

from expression import Error, Ok, Result

from flamingovalve.errors import Fault

Struct = TypeVar('Struct')

_TRUE_WORDS = frozenset(('1', 'true', 'yes', 'on'))
_FALSE_WORDS = frozenset(('0', 'false', 'no', 'off'))


def read_struct(
    kind: type[Struct],
    raw: object,
    place: str,
) -> Result[Struct, list[Fault]]:
    """Build a ``kind`` from a mapping of field names to values.

    :param kind: a generated dataclass
    :param raw: the mapping, from INI (strings) or JSON (typed values)
    :param place: location of the mapping, for fault messages
    :returns: the dataclass instance, or every fault found
    """
    reader = StructReader(place)
    built = reader.read(kind, raw, place)
    return Error(reader.faults) if reader.faults else Ok(built)


@cache
def _hints(kind: type[Any]) -> dict[str, Any]:
    return get_type_hints(kind)


class StructReader:
    """Converts values and collects the faults found."""

    def __init__(self, place: str) -> None:
        """Create a reader for the mapping at ``place``."""
        self.place = place
        self.faults: list[Fault] = []

    def read(self, kind: type[Any], raw: object, place: str) -> Any:
        """Convert ``raw`` to ``kind``; return a default on a fault."""
        if dataclasses.is_dataclass(kind):
            return self._read_dataclass(kind, raw, place)
        if get_origin(kind) is list:
            return self._read_list(get_args(kind)[0], raw, place)
        base_type = getattr(kind, '__supertype__', kind)
        if isinstance(base_type, type) and issubclass(base_type, Enum):
            return self._read_enum(base_type, raw, place)
        return self._read_scalar(base_type, raw, place)

    def _read_dataclass(self, kind: Any, raw: object, place: str) -> Any:
        built = kind()
        if not isinstance(raw, dict):
            self._add_fault(place, 'is not an object', 'use an object')
            return built
        hints = _hints(kind)
        known = {entry.name: entry for entry in dataclasses.fields(kind)}
        for name, found in raw.items():
            inner = f'{place}.{name}'
            if name not in known:
                names = ', '.join(sorted(known))
                self._add_fault(inner, 'is unknown', f'use one of {names}')
                continue
            faults_before = len(self.faults)
            setattr(built, name, self.read(hints[name], found, inner))
            if len(self.faults) == faults_before:
                self._check_range(known[name], getattr(built, name), inner)
        return built

    def _read_list(self, kind: Any, raw: object, place: str) -> list[Any]:
        if isinstance(raw, str):
            raw = [part.strip() for part in raw.split(',') if part.strip()]
        if not isinstance(raw, list):
            self._add_fault(place, 'is not a list', 'use a list')
            return []
        return [
            self.read(kind, entry, f'{place}[{index}]')
            for index, entry in enumerate(raw)
        ]

    def _read_enum(self, kind: type[Enum], raw: object, place: str) -> Enum:
        for member in kind:
            if member.value == raw:
                return member
        labels = ', '.join(member.value for member in kind)
        self._add_fault(
            place, f'{raw!r} is not allowed', f'use one of {labels}'
        )
        return next(iter(kind))

    def _read_scalar(self, kind: type, raw: object, place: str) -> Any:
        if kind is bool:
            return self._read_bool(raw, place)
        if kind is str and isinstance(raw, str):
            return raw
        if kind in {int, float} and not isinstance(raw, bool):
            try:
                return kind(raw)  # type: ignore[arg-type]
            except (TypeError, ValueError):
                self._add_fault(
                    place, f'{raw!r} is not a number', 'use a number'
                )
                return kind()
        self._add_fault(
            place,
            f'{raw!r} is not of type {kind.__name__}',
            f'use a value of type {kind.__name__}',
        )
        return kind()

    def _read_bool(self, raw: object, place: str) -> bool:
        if isinstance(raw, bool):
            return raw
        word = str(raw).lower()
        if word not in _TRUE_WORDS | _FALSE_WORDS:
            self._add_fault(place, f'{raw!r} is not a boolean', 'use yes or no')
        return word in _TRUE_WORDS

    def _check_range(self, entry: Any, found: Any, place: str) -> None:
        low = entry.metadata.get('low')
        high = entry.metadata.get('high')
        if low is None or low <= found <= high:
            return
        unit = entry.metadata.get('unit', '')
        self._add_fault(
            place,
            f'{found} is out of range',
            f'use {low:g} to {high:g} {unit}'.rstrip(),
        )

    def _add_fault(self, place: str, problem: str, remedy: str) -> None:
        self.faults.append(Fault(place, problem, remedy))
