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

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.util import clock
from flamingovalve.util.listeners import split_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.generated.ids import VmId
    from flamingovalve.generated.messages import OwnerRumour

    FreshRevision = Callable[[], Awaitable[int | None]]
    KnownClaim = Callable[[], OwnerRumour | None]

# Number of low bits of a fencing number that identify its VM.
_VM_BITS: Final = 24
# Placeholder while no fencing number is known; no order may carry it.
NO_FENCE: Final = 0
# Pause after a failed query of the store. Without it, each engine of a group
# would cause a query of its own.
_STORE_RETRY_SECONDS: Final = 0.5


class NumberSource(Enum):
    """Where the newest epoch of an owner came from."""

    CLAIM = 'claim'
    STORE = 'store'
    RAISED = 'raised'


@dataclass(frozen=True, slots=True)
class NumberOrigin:
    """What a VM knew when it used a fencing number.

    :ivar epoch: epoch of the number; 0 if none was known
    :ivar source: name of the :class:`NumberSource` of the epoch
    :ivar revision: last revision that the owner read from the store; 0 for none
    :ivar revision_age: seconds since that read began; None without one
    :ivar known_epoch: highest epoch that other VMs have announced; 0 for none
    :ivar known_vm: the VM that has announced it
    """

    epoch: int
    source: str
    revision: int
    revision_age: float | None
    known_epoch: int
    known_vm: str


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
        known_claim: KnownClaim | None = None,
    ) -> None:
        """Start with the epoch of a claim.

        :param fresh_revision: reads the current revision from the store
        :param epoch: epoch of the claim; 0 if the claim was made without
            knowledge of the other VMs, or without the store
        :param known_claim: returns the claim of another VM with the highest
            known epoch, for the log
        """
        self._vm = vm
        self._fresh_revision = fresh_revision
        self._epoch = epoch
        self._refreshed_at = float('-inf')
        self._retry_at = float('-inf')
        self._refresh_lock = curio.Lock()
        self._known_claim = known_claim
        self._source = NumberSource.CLAIM
        self._revision = 0

    @property
    def epoch(self) -> int:
        """Newest epoch of this owner; 0 while it has none."""
        return self._epoch

    @property
    def claimed(self) -> int:
        """Fencing number of the newest known epoch, or ``NO_FENCE``."""
        return fence_of(self._vm, self._epoch) if self._epoch else NO_FENCE

    def origin(self) -> NumberOrigin:
        """Return where the newest epoch came from, and what is known beside."""
        known = self._known_claim() if self._known_claim else None
        age = None
        if self._revision:
            age = round(clock.now() - self._refreshed_at, 3)
        return NumberOrigin(
            self._epoch,
            self._source.value,
            self._revision,
            age,
            known.epoch if known else 0,
            known.vm if known else '',
        )

    def renew(self, epoch: int) -> None:
        """Raise the epoch to that of a newer claim."""
        if epoch > self._epoch:
            self._epoch = epoch
            self._source = NumberSource.CLAIM

    def outbid(self) -> None:
        """Raise the epoch, as an engine has seen a higher fencing number."""
        self._epoch += 1
        self._source = NumberSource.RAISED

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
        if revision > self._epoch:
            self._epoch = revision
            self._source = NumberSource.STORE
        self._revision = revision
        self._refreshed_at = started_at
