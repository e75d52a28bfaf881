"""A compact table of adapters that takes tens of bytes for each."""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingovalve.generated.ids import AdapterId, ModelId

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable, Iterator

    from flamingovalve.generated.settings import Adapter


@dataclass(slots=True, frozen=True)
class AdapterRecord:
    """The inventory entry of one adapter."""

    id: AdapterId
    model: ModelId
    versions: tuple[str, ...]
    current: str
    applications: frozenset[str]


class Interner:
    """Stores equal values once and identifies them by index."""

    def __init__(self) -> None:
        """Create an interner without values."""
        self.entries: list[Hashable] = []
        self._index_by_entry: dict[Hashable, int] = {}

    def intern(self, entry: Hashable) -> int:
        """Return the index of ``entry``, adding the entry if it is new."""
        known = self._index_by_entry.get(entry)
        if known is None:
            known = len(self.entries)
            self._index_by_entry[entry] = known
            self.entries.append(entry)
        return known


class AdapterTable:
    """Adapters sorted by id, in arrays and one string of bytes.

    A dict of dataclasses takes about a kilobyte per adapter; 100,000
    adapters would take three times the memory budget of a VM for control
    data. Most adapters share their model, versions and applications, so
    each combination of these is stored once and referred to by index.
    """

    def __init__(
        self,
        attributes: list[Hashable],
        indexed_names: Iterable[tuple[bytes, int]],
    ) -> None:
        """Build the table.

        :param attributes: combinations of model, versions, current version
            and applications
        :param indexed_names: unique names in ascending order, each with the
            index of its combination in ``attributes``
        """
        self._attributes = attributes
        self._starts = array('I', [0])
        self._attribute_indexes = array('I')
        names = bytearray()
        for name, index in indexed_names:
            names += name
            self._starts.append(len(names))
            self._attribute_indexes.append(index)
        self._names = bytes(names)

    def __len__(self) -> int:
        """Return the number of adapters."""
        return len(self._attribute_indexes)

    def __iter__(self) -> Iterator[AdapterRecord]:
        """Yield every adapter in ascending order of id."""
        yield from map(self._record, range(len(self)))

    def find(self, adapter_id: str) -> AdapterRecord | None:
        """Return the adapter with this id, or None."""
        encoded_id = adapter_id.encode()
        if not self._covers(encoded_id):
            return None
        low, high = 0, len(self)
        while low < high:
            middle = (low + high) // 2
            if self._name(middle) < encoded_id:
                low = middle + 1
            else:
                high = middle
        if low == len(self) or self._name(low) != encoded_id:
            return None
        return self._record(low)

    def names(self) -> Iterator[bytes]:
        """Yield every adapter id, encoded, in ascending order."""
        yield from map(self._name, range(len(self)))

    def _covers(self, name: bytes) -> bool:
        if not len(self):
            return False
        return self._name(0) <= name <= self._name(len(self) - 1)

    def _name(self, index: int) -> bytes:
        return self._names[self._starts[index] : self._starts[index + 1]]

    def _record(self, index: int) -> AdapterRecord:
        attributes = self._attributes[self._attribute_indexes[index]]
        model, versions, current, applications = attributes  # type: ignore[misc]
        return AdapterRecord(
            AdapterId(self._name(index).decode()),
            model,
            versions,
            current,
            applications,
        )


class AdapterCatalog:
    """Looks adapters up in one table per inventory page.

    Tables of unchanged pages are reused. Pages change one at a time,
    thousands of times a day, and rebuilding a single table of 100,000
    adapters for each change would delay every request.
    """

    def __init__(self, tables: list[AdapterTable]) -> None:
        """Create a catalogue of the non-empty ``tables``."""
        self._tables = [table for table in tables if len(table)]

    def __len__(self) -> int:
        """Return the number of adapters."""
        return sum(map(len, self._tables))

    def __iter__(self) -> Iterator[AdapterRecord]:
        """Yield every adapter, table by table."""
        for table in self._tables:
            yield from table

    def find(self, adapter_id: str) -> AdapterRecord | None:
        """Return the adapter with this id, or None."""
        for table in self._tables:
            record = table.find(adapter_id)
            if record is not None:
                return record
        return None

    def duplicate_ids(self) -> list[str]:
        """Return the adapter ids that occur in more than one table."""
        seen: set[bytes] = set()
        found = []
        for table in self._tables:
            names = set(table.names())
            found.extend(sorted(seen & names))
            seen |= names
        return [name.decode() for name in found]


class AdapterTableBuilder:
    """Builds a table from adapters that are added one by one.

    Takes little more memory than the table itself.
    """

    def __init__(self) -> None:
        """Create a builder without adapters."""
        self._attributes = Interner()
        self._index_by_name: dict[bytes, int] = {}

    def __contains__(self, adapter_id: str) -> bool:
        """Return whether an adapter with this id was added."""
        return adapter_id.encode() in self._index_by_name

    def add(self, adapter: Adapter) -> bool:
        """Add an adapter.

        :returns: whether no earlier adapter has the same model, versions,
            current version and applications
        """
        next_index = len(self._attributes.entries)
        index = self._attributes.intern(_shared_attributes_of(adapter))
        self._index_by_name[adapter.id.encode()] = index
        return index == next_index

    def build(self) -> AdapterTable:
        """Return a table of all adapters added so far."""
        indexed_names = sorted(self._index_by_name.items())
        return AdapterTable(self._attributes.entries, indexed_names)


def _shared_attributes_of(adapter: Adapter) -> Hashable:
    return (
        adapter.model,
        tuple(adapter.versions),
        adapter.current,
        frozenset(adapter.applications),
    )
