"""Orders to an engine, made safe by the engine's own count of them.

An engine counts the orders that it accepted and refuses one that names
another count. So of two VMs that both believe to own it, only the one that
knows the last order gets through; the other learns that somebody else has
ordered and stands down for longer than a lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId, ModelId


# By then a report shows every order that an engine has accepted.
_SHOWN_SECONDS: Final = 1.0


class Action(Enum):
    """What an order asks for."""

    LOAD = 'load'
    UNLOAD = 'unload'


class OrderOutcome(Enum):
    """What became of an order.

    ``HELD_BACK`` was not sent, as two VMs might take turns; ``REFUSED`` is
    one that the engine will never carry out, such as an unknown adapter.
    """

    HOLDS = 'holds'
    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    OUTBID = 'outbid'
    REFUSED = 'refused'
    HELD_BACK = 'held_back'
    GONE = 'gone'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Order:
    """One order.

    :ivar sequence: orders that the engine has accepted so far, as we know
    :ivar fence: fencing number of our ownership
    :ivar version: version to load; 0 for the newest
    """

    action: Action
    model: ModelId
    adapter: AdapterId
    sequence: int
    holder: str
    fence: int
    version: int = 0


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself, some hundred milliseconds old.

    :ivar sequence: orders that it has accepted since it started
    :ivar born: when it started, in its own words; changes with each start
    :ivar resident: versions of the adapters that it holds
    :ivar coming: adapters on their way to it
    :ivar at_hand: models whose weights it keeps in its memory or on its disk
    """

    sequence: int
    born: int
    models: list[ModelId]
    resident: dict[AdapterId, int]
    coming: list[AdapterId]
    at_hand: frozenset[ModelId] = frozenset()


@dataclass(slots=True)
class OrderChain:
    """What one VM knows of the orders that an engine has accepted.

    :ivar sequence: the count that our next order names; none until a report
        was read
    :ivar ordered: whether the last order known was ours
    :ivar unanswered: whether our last order got no answer, so that the
        engine's count may be one higher
    :ivar predecessor_ended: whether whoever owned the engine before us has
        provably stopped ordering
    :ivar quiet_since: since when the count has not changed by others
    :ivar foreign: how often the count had changed by others
    :ivar stands_down_until: no order before this moment, on our clock
    :ivar began_at: when we began to follow the engine, on our clock
    :ivar accepted_at: when it accepted our last order, on our clock
    """

    lease_seconds: float
    lag_seconds: float
    stands_down_until: float
    sequence: int | None = None
    ordered: bool = False
    unanswered: bool = False
    predecessor_ended: bool = False
    quiet_since: float = 0
    foreign: int = 0
    began_at: float = field(default_factory=clock.now)
    accepted_at: float = float('-inf')

    def may_order(self) -> bool:
        """Tell whether an order could not make two VMs take turns.

        Whoever ordered last may go on. Otherwise the last holder must have
        ended, or been quiet for a lease, before another one begins.
        """
        moment = clock.now()
        if self.sequence is None or moment < self.stands_down_until:
            return False
        if self.unanswered:
            return False
        if self.ordered or self.sequence == 0 or self.predecessor_ended:
            return True
        quiet = moment - self.quiet_since
        return quiet > self.lease_seconds + self.lag_seconds

    def note_accepted(self) -> None:
        """Count an order of ours that moved the engine's count."""
        if self.sequence is not None:
            self.sequence += 1
        self.ordered = True
        self.accepted_at = clock.now()

    def note_unanswered(self) -> None:
        """Order nothing until a report shows whether the order was taken."""
        self.unanswered = True
        self._pause(2 * self.lag_seconds)

    def note_conflict(self) -> None:
        """Wait for a report that tells whether somebody else has ordered.

        An engine also refuses an order while it is busy with others.
        """
        self._pause(2 * self.lag_seconds)

    def note_report(self, report: EngineReport) -> bool:
        """Compare a report with what we know.

        :returns: whether it shows an order that is not ours
        """
        known = self.sequence
        if self._has_counted_too_many(report):
            self.sequence = report.sequence
            return False
        self.sequence = max(report.sequence, known or 0)
        if known is None:
            self.quiet_since = clock.now()
            return False
        if self.unanswered and clock.now() >= self.stands_down_until:
            self.unanswered = False
            known += report.sequence == known + 1
        if report.sequence <= known:
            return False
        return self._note_foreign()

    def _has_counted_too_many(self, report: EngineReport) -> bool:
        """Tell whether an order that we count was none to the engine.

        An engine that has nothing to do for an order answers like one that
        carries it out. It would refuse every later one, which names a count
        that it never reaches.
        """
        if self.sequence is None or report.sequence >= self.sequence:
            return False
        return clock.now() > self.accepted_at + _SHOWN_SECONDS

    def restart(self) -> None:
        """Begin anew with an engine that has forgotten all orders."""
        self.sequence = None
        self.ordered = False
        self.unanswered = False

    def _note_foreign(self) -> bool:
        """Stand down: somebody else orders this engine.

        Ordering again within a lease would make two holders take turns, and
        each would undo the other's loads.
        """
        self.quiet_since = clock.now()
        if self._is_predecessors_last():
            return False
        self.foreign += 1
        self.predecessor_ended = False
        if not self.ordered:
            return False
        self.ordered = False
        self._pause(self.lease_seconds + 2 * self.lag_seconds)
        return True

    def _is_predecessors_last(self) -> bool:
        """Tell whether an order was the last of an owner that has ended.

        Reports are late, so what it ordered just before its end shows after
        our first look. Taken for another owner's, it cost the engine's
        callers a lease without loads.
        """
        if self.ordered or not self.predecessor_ended:
            return False
        return clock.now() < self.began_at + _SHOWN_SECONDS

    def _pause(self, seconds: float) -> None:
        until = clock.now() + seconds
        self.stands_down_until = max(self.stands_down_until, until)
