"""Bounded readers of the fields of documents that others write.

Python's integers and texts have no bounds of their own, and an integer that
fits no float or a text that has no encoding fails far from where it was read.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.errors import Undecodable

if TYPE_CHECKING:
    from collections.abc import Iterator

# Numbers up to this are exact in any JSON parser.
_EXACT_BITS: Final = 53
MAX_EXACT: Final = 2**_EXACT_BITS - 1
MAX_ENTRIES: Final = 200_000
_MAX_PLACE_CHARACTERS: Final = 100
_VISIBLE: Final = re.compile('[!-~]+')
_VISIBLE_OR_EMPTY: Final = re.compile('[!-~]*')
_PRINTABLE: Final = re.compile('[ -~]*')


@dataclass(frozen=True, slots=True)
class Range:
    """The values that a number may have, both ends included."""

    low: float
    high: float

    def __str__(self) -> str:
        """Return the range for a message."""
        return f'from {self.low} to {self.high}'

    def integer(self, raw: Any, place: str) -> int:
        """Return ``raw`` if it is an integer in the range.

        :raises Undecodable: if it is not
        """
        is_integer = isinstance(raw, int) and not isinstance(raw, bool)
        if not is_integer or not self.low <= raw <= self.high:
            raise Undecodable(f'{place} is not an integer {self}')
        return int(raw)

    def number(self, raw: Any, place: str) -> float:
        """Return ``raw`` if it is a number in the range.

        :raises Undecodable: if it is not
        """
        is_number = isinstance(raw, int | float) and not isinstance(raw, bool)
        if not is_number or not self.low <= raw <= self.high:
            raise Undecodable(f'{place} is not a number {self}')
        return float(raw)


@dataclass(frozen=True, slots=True)
class Text:
    """The texts that a field may hold.

    :ivar max_bytes: upper limit of the length in UTF-8
    :ivar pattern: what it matches as a whole; None for any text
    """

    max_bytes: int
    pattern: re.Pattern[str] | None = None

    def read(self, raw: Any, place: str) -> str:
        """Return ``raw`` if it is such a text.

        :raises Undecodable: if it is not
        """
        if not isinstance(raw, str) or len(raw) > self.max_bytes:
            raise Undecodable(f'{place} is not a text {self}')
        try:
            size = len(raw.encode())
        except UnicodeEncodeError as bad:
            raise Undecodable(f'{place} has no encoding in UTF-8') from bad
        if size > self.max_bytes:
            raise Undecodable(f'{place} is not a text {self}')
        if self.pattern is not None and not self.pattern.fullmatch(raw):
            raise Undecodable(f'{place} has characters that it may not have')
        return raw

    def __str__(self) -> str:
        """Return the bound for a message."""
        return f'of at most {self.max_bytes} bytes'


MAX_NAME_BYTES: Final = 256
MAX_LONG_TEXT_BYTES: Final = 8192
NAME: Final = Text(MAX_NAME_BYTES)
# Sent to upstreams in headers.
IDENTIFIER: Final = Text(MAX_NAME_BYTES, _VISIBLE)
LABEL: Final = Text(MAX_NAME_BYTES, _PRINTABLE)
LONG_TEXT: Final = Text(MAX_LONG_TEXT_BYTES)
# Sent to upstreams as the target of a request, if there is one.
OPTIONAL_TARGET: Final = Text(MAX_LONG_TEXT_BYTES, _VISIBLE_OR_EMPTY)


class Fields:
    """The fields of one JSON object; ``null`` counts as a missing field."""

    def __init__(self, raw: Any, place: str = '') -> None:
        """Read the object ``raw``.

        :param place: path of the object in its document
        :raises Undecodable: if it is not an object
        """
        if not isinstance(raw, dict):
            raise Undecodable(f'{place or "the document"} is not an object')
        self._raw = raw
        self._place = place

    @classmethod
    def of(cls, content: bytes) -> Fields:
        """Parse a document that is one JSON object.

        :raises Undecodable: if it is not
        """
        try:
            return cls(json.loads(content))
        except RecursionError as deep:
            raise Undecodable('JSON that is nested too deeply') from deep
        except ValueError as bad:
            raise Undecodable('not JSON, or a number too long') from bad

    def has(self, name: str) -> bool:
        """Return whether a field is present, and neither empty nor zero."""
        return bool(self._get(name))

    def contains(self, name: str) -> bool:
        """Return whether a field is present."""
        return self._get(name) is not None

    def is_true(self, name: str) -> bool:
        """Return whether a field is ``true``."""
        return self._get(name) is True

    def integer(
        self, name: str, bounds: Range, default: int | None = None
    ) -> int:
        """Read an integer; ``default`` stands for a missing one."""
        raw = self._get(name)
        if raw is None and default is not None:
            return default
        return bounds.integer(raw, self._place_of(name))

    def number(
        self, name: str, bounds: Range, default: float | None = None
    ) -> float:
        """Read a number; ``default`` stands for a missing one."""
        raw = self._get(name)
        if raw is None and default is not None:
            return default
        return bounds.number(raw, self._place_of(name))

    def text(self, name: str, kind: Text, default: str | None = None) -> str:
        """Read a text; ``default`` stands for a missing one."""
        raw = self._get(name)
        if raw is None and default is not None:
            return default
        return kind.read(raw, self._place_of(name))

    def texts(
        self, name: str, kind: Text, default: list[str] | None = None
    ) -> list[str]:
        """Read a list of texts; ``default`` stands for a missing one."""
        if self._get(name) is None and default is not None:
            return default
        return [kind.read(raw, place) for raw, place in self.entries(name)]

    def fields(self, name: str) -> Fields:
        """Read an object; a missing one is empty."""
        raw = self._get(name)
        return Fields({} if raw is None else raw, self._place_of(name))

    def each_fields(self, name: str) -> list[Fields]:
        """Read a list of objects."""
        return [Fields(raw, place) for raw, place in self.entries(name)]

    def entries(self, name: str) -> Iterator[tuple[Any, str]]:
        """Iterate over a list; yield each entry and its place.

        :raises Undecodable: if it is not a list, or too long
        """
        place = self._place_of(name)
        raw = self._get(name)
        if not isinstance(raw, list) or len(raw) > MAX_ENTRIES:
            raise Undecodable(
                f'{place} is not a list of at most {MAX_ENTRIES} entries'
            )
        for index, entry in enumerate(raw):
            yield entry, f'{place}[{index}]'

    def _get(self, name: str) -> Any:
        return self._raw.get(name)

    def _place_of(self, name: str) -> str:
        place = f'{self._place}.{name}' if self._place else name
        return place[-_MAX_PLACE_CHARACTERS:]
