"""Fencing numbers of an owner's orders, which never decrease at an engine.

Some engines accept an order with a lower number than the last one, so the
sender has to ensure that numbers increase. A claim's number exceeds those of
all known claims, which suffices while owners succeed each other. A partitioned
VM may not know of an owner with a higher number. The store's revision is
shared by all VMs and only grows, so a number derived from it after an engine
was seen to accept another owner's order exceeds that owner's number.

Such a number is gossiped like a claim, so that the next owner exceeds it even
while the store is unavailable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.util import clock
from flamingovalve.util.listeners import split_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.generated.ids import VmId

    FreshRevision = Callable[[], Awaitable[int | None]]

# Number of low bits of a fencing number that identify its VM.
_VM_BITS: Final = 24
# Placeholder while no fencing number is known; no order may carry it.
NO_FENCE: Final = 0
# Pause after a failed query of the store. Without it, each engine of a group
# would cause a query of its own.
_STORE_RETRY_SECONDS: Final = 0.5


def fence_of(vm: VmId, epoch: int) -> int:
    """Return the fencing number of a VM in an epoch.

    Two VMs in the same epoch must not share a number, so its low bits are
    the last three bytes of the VM's IPv4 address, which are unique to the VM.
    """
    host, _port = split_address(vm)
    number = 0
    for part in host.split('.')[1:]:
        number = number << 8 | int(part)
    return epoch << _VM_BITS | number


class Fences:
    """Provides the fencing numbers for the orders of one owner."""

    def __init__(
        self,
        vm: VmId,
        fresh_revision: FreshRevision,
        epoch: int,
    ) -> None:
        """Start with the epoch of a claim.

        :param fresh_revision: reads the current revision from the store
        :param epoch: epoch of the claim; 0 if the claim was made without
            knowledge of the other VMs, or without the store
        """
        self._vm = vm
        self._fresh_revision = fresh_revision
        self._epoch = epoch
        self._refreshed_at = float('-inf')
        self._retry_at = float('-inf')
        self._refresh_lock = curio.Lock()

    @property
    def epoch(self) -> int:
        """Newest epoch of this owner; 0 while it has none."""
        return self._epoch

    @property
    def claimed(self) -> int:
        """Fencing number of the newest known epoch, or ``NO_FENCE``."""
        return fence_of(self._vm, self._epoch) if self._epoch else NO_FENCE

    def renew(self, epoch: int) -> None:
        """Raise the epoch to that of a newer claim."""
        self._epoch = max(self._epoch, epoch)

    def outbid(self) -> None:
        """Raise the epoch, as an engine has seen a higher fencing number."""
        self._epoch += 1

    async def found_after(self, since: float) -> int:
        """Return a number based on a revision read after ``since``.

        :returns: the number, or ``NO_FENCE`` if the store did not answer
        """
        async with self._refresh_lock:
            if self._refreshed_at <= since:
                await self._refresh()
            is_fresh = self._refreshed_at > since
        return self.claimed if is_fresh else NO_FENCE

    async def _refresh(self) -> None:
        started_at = clock.now()
        if started_at < self._retry_at:
            return
        revision = await self._fresh_revision()
        if revision is None:
            self._retry_at = clock.now() + _STORE_RETRY_SECONDS
            return
        self._epoch = max(self._epoch, revision)
        self._refreshed_at = started_at
