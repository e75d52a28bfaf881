"""Faults aimed at the VM that sent the last order, and at the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from tests.rig.site_faults import FaultySite

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.platform_runner import AcceptedOrder

_BEATS_SECONDS: Final = (0.25, 0.5, 1.0, 2.0)
_SLOW_BEAT_SECONDS: Final = 30.0
_MAX_LATE_SECONDS: Final = 1.0


class HolderFaults(FaultySite):
    """Adds faults of the last holder and of the store to those of a site.

    It is combined with the class of a site, whose faults it keeps. Engines
    write their entries at an interval that depends on the seed,
    so the store's revision grows fast or slowly, and at times stands still.
    """

    def __init__(self, seed: int, *extra_args: Any) -> None:
        """Start the site.

        :param extra_args: further arguments of the class of the site
        """
        self._beat_seconds = _BEATS_SECONDS[seed % len(_BEATS_SECONDS)]
        self._steady_beat_seconds = self._beat_seconds
        self._written_at = 0.0
        super().__init__(seed, *extra_args)

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults, those aimed at the last holder three times."""
        aimed = [self.kill_holder, self.cut_holder, self.delay_order]
        store = [self.cut_all_from_store, self.stop_writes, self.resume_writes]
        return [*super().faults(), *aimed, *aimed, *aimed, *store]

    def write_entries(self) -> None:
        """Write an entry if the interval between two has passed."""
        now = self.site.world.monotonic()
        if now - self._written_at >= self._beat_seconds:
            self._written_at = now
            super().write_entries()

    def last_holder(self) -> str | None:
        """Return the VM that sent the last accepted order, if it runs."""
        orders: list[AcceptedOrder] = [
            engine.accepted[-1]
            for engine in self.site.engines
            if engine.accepted
        ]
        if not orders:
            return None
        holder = max(orders, key=_accepted_at).holder
        found = [
            vm_id
            for vm_id in self.running()
            if self.site.vms_by_id[vm_id].peer == holder
        ]
        return found[0] if found else None

    # -- Faults

    def kill_holder(self) -> None:
        """Kill the VM that sent the last order."""
        holder = self.last_holder()
        if holder is not None and len(self.running()) > 1:
            self.disturb([holder])
            self.site.kill(holder)

    def cut_holder(self) -> None:
        """Cut the VM that sent the last order off from the other VMs."""
        holder = self.last_holder()
        if holder is not None:
            others = [name for name in self.site.vms_by_id if name != holder]
            self.disturb(self.site.vms_by_id)
            self.site.links.partition([holder], others)

    def delay_order(self) -> None:
        """Let the next order of an engine arrive late, without an answer."""
        engine = self.rng.choice(self.site.engines)
        engine.late_orders = 1
        engine.late_seconds = self.rng.uniform(0, _MAX_LATE_SECONDS)

    def cut_all_from_store(self) -> None:
        """Cut all VMs off from the store."""
        self.site.links.partition(list(self.site.vms_by_id), ['store'])

    def stop_writes(self) -> None:
        """Let the revision of the store stand almost still."""
        self._beat_seconds = _SLOW_BEAT_SECONDS

    def resume_writes(self) -> None:
        """Let the revision of the store grow as before."""
        self._beat_seconds = self._steady_beat_seconds

    def settle(self) -> None:
        """End all faults and wait for the site to recover."""
        self.resume_writes()
        for engine in self.site.engines:
            engine.late_orders = 0
        super().settle()


def _accepted_at(order: AcceptedOrder) -> float:
    return order.at
