"""Orders to an engine, protected by the engine's count of accepted orders.

An engine counts the orders that it has accepted and refuses an order that
names a different count. If two VMs both consider themselves its owner, only
the one that knows the last order succeeds; the other detects an order of
another VM and sends none itself for longer than a lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId, ModelId


# Maximum delay until a report reflects every order an engine has accepted.
_MAX_REPORT_DELAY_SECONDS: Final = 1.0


class Action(Enum):
    """The operation that an order requests."""

    LOAD = 'load'
    UNLOAD = 'unload'


class OrderOutcome(Enum):
    """The result of an order.

    ``HELD_BACK`` means that the order was not sent, as two VMs might
    alternate as holders. ``REFUSED`` means that the engine can never execute
    it, as for an unknown adapter.
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
    """A request to an engine to load or unload an adapter.

    :ivar sequence: number of orders that the engine has accepted so far, as
        known by the sender
    :ivar fence: fencing number of the sender's ownership
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
    """The state that an engine reports, some hundred milliseconds old.

    :ivar sequence: number of orders accepted since the engine started
    :ivar born: start time as stated by the engine; changes with each start
    :ivar resident: versions of the resident adapters
    :ivar coming: adapters that are being loaded
    :ivar at_hand: models whose weights are cached in memory or on disk
    :ivar is_busy: whether it carries out an order other than adapter loads
    :ivar asked_at: when it was requested, on the monotonic clock; the state
        may be older, but not newer than the response
    """

    sequence: int
    born: int
    models: list[ModelId]
    resident: dict[AdapterId, int]
    coming: list[AdapterId]
    at_hand: frozenset[ModelId] = frozenset()
    is_busy: bool = False
    asked_at: float = field(default_factory=clock.now)

    def age_seconds(self) -> float:
        """Return the seconds since it was requested."""
        return clock.now() - self.asked_at


@dataclass(slots=True)
class OrderChain:
    """What one VM knows of the orders that an engine has accepted.

    All times are on the monotonic clock.

    :ivar sequence: the count that the next order of this VM names; None until
        a report was read
    :ivar ordered: whether the last known order was sent by this VM
    :ivar unanswered: whether the last order of this VM got no response, so
        that the engine's count may be one higher
    :ivar predecessor_ended: whether the previous owner of the engine has
        provably stopped sending orders
    :ivar quiet_since: when an order of another VM was last observed, or the
        first report was read
    :ivar foreign: how often orders of other VMs were observed
    :ivar paused_until: time before which no order may be sent
    :ivar began_at: when this VM began to monitor the engine
    :ivar accepted_at: when the engine accepted the last order of this VM
    """

    lease_seconds: float
    lag_seconds: float
    paused_until: float
    sequence: int | None = None
    ordered: bool = False
    unanswered: bool = False
    predecessor_ended: bool = False
    quiet_since: float = 0
    foreign: int = 0
    began_at: float = field(default_factory=clock.now)
    accepted_at: float = float('-inf')

    def may_order(self) -> bool:
        """Return whether this VM may send an order now.

        Two VMs must not alternate as holders. The sender of the last order
        may send more; any other VM must wait until the last holder has ended
        or sent no order for a lease.
        """
        now = clock.now()
        if self.sequence is None or now < self.paused_until:
            return False
        if self.unanswered:
            return False
        if self.ordered or self.sequence == 0 or self.predecessor_ended:
            return True
        quiet = now - self.quiet_since
        return quiet > self.lease_seconds + self.lag_seconds

    def record_accepted(self) -> None:
        """Record an accepted order of this VM, which raised the count."""
        if self.sequence is not None:
            self.sequence += 1
        self.ordered = True
        self.accepted_at = clock.now()

    def record_unanswered(self) -> None:
        """Pause until a report shows whether the last order was accepted."""
        self.unanswered = True
        self._pause(2 * self.lag_seconds)

    def record_conflict(self) -> None:
        """Pause until a report shows whether another VM has sent an order.

        An engine also refuses an order while it executes others.
        """
        self._pause(2 * self.lag_seconds)

    def record_report(self, report: EngineReport) -> bool:
        """Update the chain from a report.

        :returns: whether the report shows an order of another VM
        """
        known = self.sequence
        if self._has_overcounted(report):
            self.sequence = report.sequence
            return False
        self.sequence = max(report.sequence, known or 0)
        if known is None:
            self.quiet_since = clock.now()
            return False
        if self.unanswered and clock.now() >= self.paused_until:
            self.unanswered = False
            known += report.sequence == known + 1
        if report.sequence <= known:
            return False
        return self._record_foreign()

    def _has_overcounted(self, report: EngineReport) -> bool:
        """Return whether the local count includes an order without effect.

        An engine acknowledges an order that requires no work like any other,
        but does not count it. Without a correction it would refuse every
        later order, as these name a count that it never reaches.
        """
        if self.sequence is None or report.sequence >= self.sequence:
            return False
        return clock.now() > self.accepted_at + _MAX_REPORT_DELAY_SECONDS

    def restart(self) -> None:
        """Reset the chain after the engine restarted and lost its count."""
        self.sequence = None
        self.ordered = False
        self.unanswered = False

    def _record_foreign(self) -> bool:
        """Pause for more than a lease after an order of another VM.

        If this VM sent orders within a lease, two holders would alternate,
        and each would undo the other's loads.
        """
        self.quiet_since = clock.now()
        if self._is_predecessor_order():
            return False
        self.foreign += 1
        self.predecessor_ended = False
        if not self.ordered:
            return False
        self.ordered = False
        self._pause(self.lease_seconds + 2 * self.lag_seconds)
        return True

    def _is_predecessor_order(self) -> bool:
        """Return whether an order was the last one of an owner that has ended.

        Reports lag, so an order sent just before that owner ended may appear
        only after the first report. Attributed to a live owner, it would
        block loads on the engine for a lease.
        """
        if self.ordered or not self.predecessor_ended:
            return False
        return clock.now() < self.began_at + _MAX_REPORT_DELAY_SECONDS

    def _pause(self, seconds: float) -> None:
        until = clock.now() + seconds
        self.paused_until = max(self.paused_until, until)
