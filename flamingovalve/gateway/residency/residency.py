"""Decides which adapters may occupy slots of an engine."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.orders import OrderOutcome
from flamingovalve.gateway.residency.changes import ResidencyChange
from flamingovalve.gateway.residency.held import AdapterState, HeldAdapter

if TYPE_CHECKING:
    from flamingovalve.gateway.orders import EngineReport
    from flamingovalve.generated.ids import AdapterId


class SlotProof(Enum):
    """What the outcome of an order proves about the slot of its adapter."""

    FREE = 'free'
    OCCUPIED = 'occupied'
    NONE = 'none'


_PROOF_BY_LOAD_OUTCOME: Final = {
    OrderOutcome.ACCEPTED: SlotProof.OCCUPIED,
    OrderOutcome.HOLDS: SlotProof.OCCUPIED,
    OrderOutcome.UNKNOWN: SlotProof.NONE,
}
# An accepted unload waits for the runs of its adapter.
_PROOF_BY_UNLOAD_OUTCOME: Final = {
    OrderOutcome.HOLDS: SlotProof.FREE,
    OrderOutcome.ACCEPTED: SlotProof.NONE,
    OrderOutcome.UNKNOWN: SlotProof.NONE,
}


def proof_of_load(outcome: OrderOutcome) -> SlotProof:
    """Return what the outcome of a load proves."""
    return _PROOF_BY_LOAD_OUTCOME.get(outcome, SlotProof.FREE)


def proof_of_unload(outcome: OrderOutcome) -> SlotProof:
    """Return what the outcome of the unload of a confirmed adapter proves.

    An engine also answers that the unload holds while it loads the adapter;
    therefore only confirmed adapters are unloaded.
    """
    return _PROOF_BY_UNLOAD_OUTCOME.get(outcome, SlotProof.OCCUPIED)


class Residency:
    """The adapters that may occupy slots of one engine.

    An adapter keeps its slot until the engine is known to have freed it: by
    the outcome of an order, by a report that counts all orders about the
    adapter and shows no order in progress, or by a restart.

    :ivar by_name: the adapters, by name
    """

    def __init__(self) -> None:
        """Start without adapters."""
        self.by_name: dict[AdapterId, HeldAdapter] = {}

    def holds(self, held: HeldAdapter) -> bool:
        """Return whether an entry is the current one of its adapter."""
        return self.by_name.get(held.name) is held

    def has_room(self, held: HeldAdapter, slots: int) -> bool:
        """Return whether the engine is known to have a slot for a load.

        :param held: the adapter to load
        :param slots: number of adapters that the engine can hold
        """
        if not self.holds(held):
            return False
        occupying = {
            entry.name for entry in self.by_name.values() if entry.may_occupy()
        }
        return len(occupying | {held.name}) <= slots

    def begin_load(self, held: HeldAdapter) -> None:
        """Reserve a slot for a load that is about to be ordered."""
        held.is_ordered = False
        self.by_name[held.name] = held

    def begin_unload(self, victim: HeldAdapter) -> None:
        """Record that the unload of an adapter is about to be ordered."""
        victim.state = AdapterState.UNLOADING
        victim.is_ordered = False

    def record_load(
        self, held: HeldAdapter, outcome: OrderOutcome, named: int
    ) -> SlotProof:
        """Record the outcome of a load.

        :param named: count of orders that the order named
        :returns: what it proves about the slot; the caller frees a free one
        """
        proof = proof_of_load(outcome)
        held.is_ordered = True
        if proof is SlotProof.OCCUPIED:
            return proof
        if not self.holds(held):
            self._unlink(held)
            return SlotProof.NONE
        if held.replaces is not None:
            # The slot stays occupied, by one of both versions.
            self.by_name[held.name] = held.replaces
            return SlotProof.OCCUPIED
        if proof is SlotProof.NONE:
            held.state = AdapterState.UNPROVEN
            held.is_confirmed = False
            held.named = named
        return proof

    def _unlink(self, failed: HeldAdapter) -> None:
        """Remove a failed load from the load that was to replace it."""
        current = self.by_name.get(failed.name)
        if current is not None and current.replaces is failed:
            current.replaces = failed.replaces

    def record_unload(
        self, victim: HeldAdapter, outcome: OrderOutcome
    ) -> SlotProof:
        """Record the outcome of an unload.

        :returns: what it proves about the slot; the caller frees a free one
        """
        proof = proof_of_unload(outcome)
        victim.is_ordered = True
        if proof is SlotProof.OCCUPIED:
            victim.state = AdapterState.RESIDENT
        return proof

    def remove(self, name: AdapterId) -> HeldAdapter | None:
        """Free the slot of an adapter; return its entry, if there was one."""
        removed = self.by_name.pop(name, None)
        if removed is not None:
            removed.state = AdapterState.UNLOADING
        return removed

    def clear(self) -> None:
        """Free all slots after a restart of the engine."""
        self.by_name.clear()

    def has_waiting_unload(self) -> bool:
        """Return whether an ordered unload has not ended."""
        return any(
            held.state is AdapterState.UNLOADING and held.is_ordered
            for held in self.by_name.values()
        )

    def adopt(
        self, report: EngineReport, ready_at: float, oldest_use: float
    ) -> ResidencyChange:
        """Update the adapters from a report that counts the last order.

        :param ready_at: when loads that were not known should end, on the
            monotonic clock
        :param oldest_use: confirmed adapters used since this time are not
            forgotten
        :returns: the adapters that were added, and those to be freed
        """
        shown = {*report.resident, *report.coming}
        change = ResidencyChange(
            adopted=[name for name in shown if name not in self.by_name],
            forgotten=self._missing(report, shown, oldest_use),
        )
        for held in self.by_name.values():
            if held.name not in shown and held.is_ordered:
                held.is_confirmed = False
        for name, version in report.resident.items():
            if name not in report.coming:
                self._adopt_resident(name, version, report)
        for name in report.coming:
            self._adopt_coming(name, ready_at)
        return change

    def _adopt_resident(
        self, name: AdapterId, version: int, report: EngineReport
    ) -> None:
        known = self.by_name.get(name)
        if known is None:
            known = HeldAdapter(name, version, AdapterState.RESIDENT)
            self.by_name[name] = known
        if version < known.version:
            # The report is older than the load of this version.
            return
        known.version = version
        # Any adapter may be the one that a busy engine is about to drop.
        known.is_confirmed = not report.is_busy
        if known.state is AdapterState.UNLOADING:
            if known.is_ordered and not report.is_busy:
                known.state = AdapterState.RESIDENT
            return
        known.state = AdapterState.RESIDENT

    def _adopt_coming(self, name: AdapterId, ready_at: float) -> None:
        known = self.by_name.get(name)
        if known is None:
            known = HeldAdapter(name, 0, AdapterState.LOADING)
            self.by_name[name] = known
        elif known.state is not AdapterState.UNPROVEN:
            return
        known.state = AdapterState.LOADING
        known.is_confirmed = True
        known.ready_at = ready_at

    def _missing(
        self, report: EngineReport, shown: set[AdapterId], oldest_use: float
    ) -> list[AdapterId]:
        """Return the adapters that a report proves to be gone.

        A busy engine may have an adapter in use that it is about to drop.
        """
        if report.is_busy:
            return []
        missing = [
            held
            for held in self.by_name.values()
            if held.name not in shown and held.is_ordered and not held.uses
        ]
        return [
            held.name
            for held in missing
            if not _may_arrive(held, report)
            and not (held.is_confirmed and held.used_at >= oldest_use)
        ]


def _may_arrive(held: HeldAdapter, report: EngineReport) -> bool:
    """Return whether a load without an answer may still be accepted.

    The engine refuses it for good once it counts more orders than the load
    named.
    """
    if held.state is not AdapterState.UNPROVEN:
        return False
    return report.sequence <= held.named
