"""Requests that wait for one engine."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.generated.settings import Priority
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from flamingovalve.engines.residents import Resident
    from flamingovalve.errors import ServingError

_RANKS: Final = {
    Priority.URGENT: 0,
    Priority.PRIORITY: 1,
    Priority.ORDINARY: 2,
}


@dataclass(eq=False, slots=True)
class Ticket:
    """A request's place in the queue of an engine.

    :ivar name: ``ADAPTER@VERSION`` that it needs
    :ivar deadline: on our clock
    :ivar isolated: run it apart from every other request
    :ivar resident: the adapter in its slot, once it is dispatched
    :ivar stalled: whether it had to wait for a load
    :ivar granted_at: when it was dispatched; negative before that
    """

    name: str
    priority: Priority
    deadline: float
    isolated: bool = False
    entered_at: float = 0
    granted_at: float = -1
    resident: Resident | None = None
    stalled: bool = False
    stall_seconds: float = 0
    refused: ServingError | None = None
    called: curio.Event = field(default_factory=curio.Event)


class TicketQueue:
    """Tickets by adapter, in order of priority and arrival."""

    def __init__(self, starvation_seconds: float) -> None:
        """Call a ticket starved that waited for ``starvation_seconds``."""
        self._starvation = starvation_seconds
        self._by_name: dict[str, list[Ticket]] = {}
        self._length = 0

    def __len__(self) -> int:
        """Count the tickets."""
        return self._length

    def __iter__(self) -> Iterator[Ticket]:
        """Give every ticket."""
        for waiting in self._by_name.values():
            yield from waiting

    def names(self) -> list[str]:
        """Give the adapters that are waited for."""
        return list(self._by_name)

    def waiting(self, name: str) -> list[Ticket]:
        """Give the tickets that wait for ``name``, the next one first."""
        return self._by_name.get(name, [])

    def add(self, ticket: Ticket) -> None:
        """Append a ticket behind those of its priority."""
        ticket.entered_at = clock.now()
        waiting = self._by_name.setdefault(ticket.name, [])
        rank = _RANKS[ticket.priority]
        place = len(waiting)
        while place and _RANKS[waiting[place - 1].priority] > rank:
            place -= 1
        waiting.insert(place, ticket)
        self._length += 1

    def remove(self, ticket: Ticket) -> bool:
        """Take a ticket out; tell whether it was there."""
        waiting = self._by_name.get(ticket.name, [])
        if ticket not in waiting:
            return False
        waiting.remove(ticket)
        self._length -= 1
        if not waiting:
            del self._by_name[ticket.name]
        return True

    def mark_stalled(self, name: str) -> None:
        """Note that the tickets of an adapter wait for its load."""
        for ticket in self._by_name.get(name, []):
            ticket.stalled = True

    def urgency(self, ticket: Ticket) -> tuple[int, float]:
        """Give the sort key of a ticket; smaller goes first."""
        return _RANKS[ticket.priority], ticket.entered_at

    def starved(self, usable: Callable[[str], bool]) -> Ticket | None:
        """Give the oldest ticket if it has waited for too long."""
        waiting = [
            ticket
            for name in self._by_name
            if usable(name)
            for ticket in self._by_name[name]
        ]
        oldest = min(
            waiting,
            key=lambda ticket: ticket.entered_at,
            default=None,
        )
        if oldest is None:
            return None
        waited = clock.now() - oldest.entered_at
        return oldest if waited > self._starvation else None

    def head(self, name: str) -> Ticket:
        """Give the ticket of ``name`` that goes first."""
        return min(self._by_name[name], key=self.urgency)

    def first(self, usable: Callable[[str], bool]) -> Ticket | None:
        """Give the ticket that goes first among adapters that are usable."""
        heads = [self.head(name) for name in self._by_name if usable(name)]
        return min(heads, key=self.urgency, default=None)

    def ahead_of(self, ticket: Ticket) -> int:
        """Count the tickets that would be dispatched before ``ticket``."""
        key = self.urgency(ticket)
        return sum(1 for other in self if self.urgency(other) < key)
