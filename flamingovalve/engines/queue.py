"""Queue of the requests that wait for one engine."""

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
    """A request in the queue of an engine, or dispatched to the engine.

    :ivar name: ``ADAPTER@VERSION`` that the request needs
    :ivar deadline: time on the monotonic clock
    :ivar isolated: whether to run it while no other request runs
    :ivar entered_at: when it was queued, on the monotonic clock
    :ivar dispatched_at: when it was dispatched; negative before that
    :ivar resident: the adapter in its slot, once it is dispatched
    :ivar stalled: whether it had to wait for a load
    :ivar stall_seconds: how long it waited for the load
    :ivar refused: the error, if it was refused
    :ivar decided: set when it is dispatched or refused
    """

    name: str
    priority: Priority
    deadline: float
    isolated: bool = False
    entered_at: float = 0
    dispatched_at: float = -1
    resident: Resident | None = None
    stalled: bool = False
    stall_seconds: float = 0
    refused: ServingError | None = None
    decided: curio.Event = field(default_factory=curio.Event)


class TicketQueue:
    """Tickets by adapter, ordered by priority, then by arrival."""

    def __init__(self, starvation_seconds: float) -> None:
        """Count tickets as starved after ``starvation_seconds``."""
        self._starvation_seconds = starvation_seconds
        self._by_name: dict[str, list[Ticket]] = {}
        self._length = 0

    def __len__(self) -> int:
        """Return the number of tickets."""
        return self._length

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over all tickets."""
        for waiting in self._by_name.values():
            yield from waiting

    def names(self) -> list[str]:
        """Return the adapters that tickets wait for."""
        return list(self._by_name)

    def waiting(self, name: str) -> list[Ticket]:
        """Return the tickets that wait for ``name``, the next one first."""
        return self._by_name.get(name, [])

    def add(self, ticket: Ticket) -> None:
        """Insert a ticket after those of its priority."""
        ticket.entered_at = clock.now()
        waiting = self._by_name.setdefault(ticket.name, [])
        rank = _RANKS[ticket.priority]
        index = len(waiting)
        while index and _RANKS[waiting[index - 1].priority] > rank:
            index -= 1
        waiting.insert(index, ticket)
        self._length += 1

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it was queued."""
        waiting = self._by_name.get(ticket.name, [])
        if ticket not in waiting:
            return False
        waiting.remove(ticket)
        self._length -= 1
        if not waiting:
            del self._by_name[ticket.name]
        return True

    def mark_stalled(self, name: str) -> None:
        """Mark the tickets of an adapter as waiting for its load."""
        for ticket in self._by_name.get(name, []):
            ticket.stalled = True

    def urgency(self, ticket: Ticket) -> tuple[int, float]:
        """Return the sort key of a ticket; the smallest goes first."""
        return _RANKS[ticket.priority], ticket.entered_at

    def starved(self, is_usable: Callable[[str], bool]) -> Ticket | None:
        """Return the oldest ticket if it is starved, else None.

        :param is_usable: returns whether tickets of an adapter are considered
        """
        waiting = [
            ticket
            for name in self._by_name
            if is_usable(name)
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
        return oldest if waited > self._starvation_seconds else None

    def head(self, name: str) -> Ticket:
        """Return the ticket of ``name`` that goes first."""
        return min(self._by_name[name], key=self.urgency)

    def first(self, is_usable: Callable[[str], bool]) -> Ticket | None:
        """Return the ticket to dispatch next, or None.

        :param is_usable: returns whether tickets of an adapter are considered
        """
        heads = [self.head(name) for name in self._by_name if is_usable(name)]
        return min(heads, key=self.urgency, default=None)

    def count_before(self, ticket: Ticket) -> int:
        """Return how many tickets would be dispatched before ``ticket``."""
        key = self.urgency(ticket)
        return sum(1 for other in self if self.urgency(other) < key)
