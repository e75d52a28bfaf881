"""Orders to an engine, protected by the engine's count of accepted orders.

An engine counts the orders that it has accepted and refuses an order that
names a different count. If two VMs both consider themselves its owner, only
the one that knows the last order succeeds; the other detects an order of
another VM and sends none itself for longer than a lease.

An engine does not compare counts for an order that it is already carrying out.
So a VM is the *holder* of an engine only for a lease after an order that the
engine has counted: other VMs send none within that time. A VM that is not the
holder first sends an order whose count the engine compares.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

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


def _is_true() -> bool:
    """Return True."""
    return True


@dataclass(slots=True)
class OrderChain:
    """What one VM knows of the orders that an engine has accepted.

    All times are on the monotonic clock.

    :ivar sequence: the count that the next order of this VM names; None until
        a report was read
    :ivar ordered: whether the last known order was sent by this VM
    :ivar in_flight: whether an order of this VM is being answered, so that
        a report may show it before its answer arrives
    :ivar unanswered: whether it is not known if the engine counted the last
        order of this VM, so that its count may be one higher
    :ivar is_refuted: whether the engine has refused the count
    :ivar settled_after: a report requested since this time shows how the
        last order ended
    :ivar starts: number of restarts of the engine that were observed
    :ivar predecessor_ended: whether the previous owner of the engine has
        provably stopped sending orders
    :ivar quiet_since: when an order of another VM was last observed, or the
        first report was read
    :ivar foreign: how often orders of other VMs were observed
    :ivar paused_until: time before which no order may be sent
    :ivar began_at: when this VM began to monitor the engine
    :ivar accepted_at: when the engine accepted the last order of this VM
    :ivar sent_at: when the last order of this VM was sent
    :ivar was_holder: whether no other VM was to send one when it was sent, as
        this one was the holder, succeeded one that has ended, or was
        established
    :ivar counted_at: when the last order was sent that the engine has counted
    :ivar is_established: returns whether this VM sees most VMs that may be
        alive and knows their claims, so that at most one VM can say so
    :ivar sees_all: returns whether it is established and sees all VMs that may
        be alive
    :ivar unsure_seconds: how much longer than a lease this VM waits otherwise
        before an order whose count the engine may not compare
    """

    lease_seconds: float
    lag_seconds: float
    paused_until: float
    sequence: int | None = None
    ordered: bool = False
    in_flight: bool = False
    unanswered: bool = False
    is_refuted: bool = False
    settled_after: float = float('-inf')
    starts: int = 0
    predecessor_ended: bool = False
    quiet_since: float = 0
    foreign: int = 0
    began_at: float = field(default_factory=clock.now)
    accepted_at: float = float('-inf')
    sent_at: float = float('inf')
    was_holder: bool = False
    counted_at: float = float('-inf')
    is_established: Callable[[], bool] = _is_true
    sees_all: Callable[[], bool] = _is_true
    unsure_seconds: float = 0

    def is_holder(self) -> bool:
        """Return whether no other VM may have sent an order since the own one.

        Others wait for more than a lease after they have seen it counted. The
        lag is left for orders that are on their way.
        """
        ends_at = self.counted_at + self.lease_seconds - self.lag_seconds
        return self.ordered and clock.now() < ends_at

    def may_order(self) -> bool:
        """Return whether this VM may send an order now.

        Two VMs must not alternate as holders. The sender of the last known
        order may send more; any other VM must wait until the last holder has
        ended or sent no order for a lease.
        """
        now = clock.now()
        if self.sequence is None or now < self.paused_until:
            return False
        if self.awaits_report():
            return False
        if self.ordered or self.predecessor_ended or self._is_first():
            return True
        return self._quiet_seconds() > self.lease_seconds + self.lag_seconds

    def may_order_uncompared(self) -> bool:
        """Return whether an order may be sent whose count may not be compared.

        A load that the engine is already carrying out is accepted from any
        VM. Of two VMs that cannot see each other, at most one is established;
        the other one leaves it more time.
        """
        if self.is_holder() or self.predecessor_ended or self.is_established():
            return True
        seconds = self.lease_seconds + self.lag_seconds + self.unsure_seconds
        return self._quiet_seconds() > seconds

    def shows_last_order(self) -> bool:
        """Return whether reports show the last order of an ended predecessor."""
        shown_at = self.began_at + 2 * self.lag_seconds
        return not self.predecessor_ended or clock.now() > shown_at

    def _is_first(self) -> bool:
        """Return whether no VM is likely to have ordered this engine."""
        return self.sequence == 0 and self.is_established()

    def _quiet_seconds(self) -> float:
        return clock.now() - self.quiet_since

    def awaits_report(self) -> bool:
        """Return whether only a report shows the engine's count."""
        return self.unanswered or self.is_refuted

    def record_sent(self) -> None:
        """Record that an order of this VM is about to be sent."""
        self.sent_at = clock.now()
        self.was_holder = (
            self.is_holder() or self.predecessor_ended or self.is_established()
        )

    def record_accepted(self, named: int | None = None) -> None:
        """Record an accepted order of this VM, which raised the count.

        :param named: count that the order named; None for the current one.
            A report may have shown the order before its answer arrived.
        """
        if self.sequence is not None:
            counted = self.sequence if named is None else named
            self.sequence = max(self.sequence, counted + 1)
        self.accepted_at = clock.now()
        self._record_counted()

    def record_acknowledged(self) -> None:
        """Record an order of this VM that the engine may not have counted.

        An engine also acknowledges orders that hold already or are being
        carried out, and does not count these.
        """
        self.ordered = self.ordered or self.was_holder
        self.accepted_at = clock.now()
        self.record_unanswered()

    def record_unanswered(self) -> None:
        """Pause until a report shows whether the last order was counted."""
        self.unanswered = True
        self._await_report()

    def record_conflict(self) -> None:
        """Pause until a report shows whether another VM has sent an order.

        An engine also refuses an order while it executes others.
        """
        self.is_refuted = True
        self._await_report()

    def record_report(self, report: EngineReport) -> bool:
        """Update the chain from a report.

        :returns: whether the report shows an order of another VM
        """
        known = self.sequence
        if known is None:
            self.sequence = report.sequence
            self.quiet_since = clock.now()
            return False
        if self.awaits_report() and report.asked_at >= self.settled_after:
            return self._settle(report, known)
        if self._has_overcounted(report):
            self.sequence = report.sequence
            return False
        if report.sequence <= known + self._may_be_counted():
            # Own orders, or a report older than the last of them.
            return False
        return self._record_foreign(report.sequence)

    def _may_be_counted(self) -> int:
        """Return the own orders that the engine may have counted unnoticed.

        Unless this VM was the holder when it sent one, another VM may have
        sent one with the same count, which was accepted in its place.
        """
        return int(self.was_holder and (self.in_flight or self.unanswered))

    def _settle(self, report: EngineReport, known: int) -> bool:
        """Take over the count of a report that shows how the last order ended.

        :returns: whether the report shows an order of another VM
        """
        own = self._may_be_counted()
        self.unanswered = False
        self.is_refuted = False
        if report.sequence > known + own:
            return self._record_foreign(report.sequence)
        self.sequence = report.sequence
        if report.sequence > known:
            self._record_counted()
        return False

    def _record_counted(self) -> None:
        """Record that the engine has counted the last order of this VM."""
        self.ordered = True
        self.predecessor_ended = False
        self.counted_at = min(self.sent_at, clock.now())

    def _has_overcounted(self, report: EngineReport) -> bool:
        """Return whether the local count includes an order without effect.

        An engine acknowledges an order that requires no work like any other,
        but does not count it. Without a correction it would refuse every
        later order, as these name a count that it never reaches.
        """
        if self.sequence is None or report.sequence >= self.sequence:
            return False
        shown_at = report.asked_at - _MAX_REPORT_DELAY_SECONDS
        return shown_at > self.accepted_at

    def stop(self) -> None:
        """Send no more orders; another chain may count the engine's."""
        self.paused_until = float('inf')

    def restart(self) -> None:
        """Reset the chain after the engine restarted and lost its count."""
        self.sequence = None
        self.ordered = False
        self.predecessor_ended = False
        self.counted_at = float('-inf')
        self.unanswered = False
        self.is_refuted = False
        self.starts += 1

    def _record_foreign(self, sequence: int) -> bool:
        """Pause for more than a lease after an order of another VM.

        If this VM sent orders within a lease, two holders would alternate,
        and each would undo the other's loads.

        :param sequence: count that the report shows
        """
        self.sequence = sequence
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

    def _await_report(self) -> None:
        self.settled_after = clock.now() + 2 * self.lag_seconds
        self._pause(2 * self.lag_seconds)

    def _pause(self, seconds: float) -> None:
        until = clock.now() + seconds
        self.paused_until = max(self.paused_until, until)
