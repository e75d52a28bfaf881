"""A compact table of adapters: tens of bytes for each, not kilobytes."""

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
    """What the inventory says of one adapter."""

    id: AdapterId
    model: ModelId
    versions: tuple[str, ...]
    current: str
    applications: frozenset[str]


class Interner:
    """Gives equal values one small number."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: list[Hashable] = []
        self._number_by_entry: dict[Hashable, int] = {}

    def number(self, entry: Hashable) -> int:
        """Give the number of ``entry``, a new one if it is new."""
        known = self._number_by_entry.get(entry)
        if known is None:
            known = len(self.entries)
            self._number_by_entry[entry] = known
            self.entries.append(entry)
        return known


class AdapterTable:
    """Adapters sorted by id, in arrays and one string of bytes.

    A dict of dataclasses costs about a kilobyte an adapter; 100,000 of them
    would take three times the memory that a VM may spend on control. Most
    adapters share their model, versions and applications, so these are kept
    once and named by number.
    """

    def __init__(
        self,
        facts: list[Hashable],
        named: Iterable[tuple[bytes, int]],
    ) -> None:
        """Build the table.

        :param facts: what adapters share
        :param named: unique names in order, each with the number of its
            facts
        """
        self._facts = facts
        self._starts = array('I', [0])
        self._numbers = array('I')
        names = bytearray()
        for name, number in named:
            names += name
            self._starts.append(len(names))
            self._numbers.append(number)
        self._names = bytes(names)

    def __len__(self) -> int:
        """Count the adapters."""
        return len(self._numbers)

    def __iter__(self) -> Iterator[AdapterRecord]:
        """Give every adapter in the order of ids."""
        yield from map(self._record, range(len(self)))

    def find(self, adapter_id: str) -> AdapterRecord | None:
        """Give the adapter of that id, if there is one."""
        wanted = adapter_id.encode()
        if not self._covers(wanted):
            return None
        low, high = 0, len(self)
        while low < high:
            middle = (low + high) // 2
            if self._name(middle) < wanted:
                low = middle + 1
            else:
                high = middle
        if low == len(self) or self._name(low) != wanted:
            return None
        return self._record(low)

    def names(self) -> Iterator[bytes]:
        """Give every name in order."""
        yield from map(self._name, range(len(self)))

    def _covers(self, name: bytes) -> bool:
        if not len(self):
            return False
        return self._name(0) <= name <= self._name(len(self) - 1)

    def _name(self, index: int) -> bytes:
        return self._names[self._starts[index] : self._starts[index + 1]]

    def _record(self, index: int) -> AdapterRecord:
        facts = self._facts[self._numbers[index]]
        model, versions, current, applications = facts  # type: ignore[misc]
        return AdapterRecord(
            AdapterId(self._name(index).decode()),
            model,
            versions,
            current,
            applications,
        )


class AdapterCatalog:
    """The tables of all pages; pages that did not change are shared.

    One page changes at a time, thousands of times a day. Building one table
    of 100,000 adapters for each change would hold up every request.
    """

    def __init__(self, tables: list[AdapterTable]) -> None:
        """Look adapters up in ``tables``."""
        self._tables = [table for table in tables if len(table)]

    def __len__(self) -> int:
        """Count the adapters."""
        return sum(map(len, self._tables))

    def __iter__(self) -> Iterator[AdapterRecord]:
        """Give every adapter."""
        for table in self._tables:
            yield from table

    def find(self, adapter_id: str) -> AdapterRecord | None:
        """Give the adapter of that id, if there is one."""
        for table in self._tables:
            record = table.find(adapter_id)
            if record is not None:
                return record
        return None

    def repeated(self) -> list[str]:
        """Give the names that stand in more than one table."""
        seen: set[bytes] = set()
        found = []
        for table in self._tables:
            names = set(table.names())
            found.extend(sorted(seen & names))
            seen |= names
        return [name.decode() for name in found]


class AdapterTableBuilder:
    """Takes adapters page by page, in little more memory than the table."""

    def __init__(self) -> None:
        """Start without adapters."""
        self._facts = Interner()
        self._numbers_by_name: dict[bytes, int] = {}

    def __contains__(self, adapter_id: str) -> bool:
        """Tell whether an adapter of that id was added."""
        return adapter_id.encode() in self._numbers_by_name

    def add(self, adapter: Adapter) -> bool:
        """Add an adapter; tell whether its facts are new."""
        known = len(self._facts.entries)
        number = self._facts.number(_facts_of(adapter))
        self._numbers_by_name[adapter.id.encode()] = number
        return number == known

    def build(self) -> AdapterTable:
        """Give the table."""
        named = sorted(self._numbers_by_name.items())
        return AdapterTable(self._facts.entries, named)


def _facts_of(adapter: Adapter) -> Hashable:
    return (
        adapter.model,
        tuple(adapter.versions),
        adapter.current,
        frozenset(adapter.applications),
    )
