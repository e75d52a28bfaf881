"""Fencing numbers of an owner's orders, which never go down at an engine.

Some engines don't refuse an order with a lower number than the last one, so
whoever orders must know better. A claim's number exceeds those of all claims
that were heard of, which is enough while owners follow each other. Cut off
from the others, a VM may not know of an owner whose number was higher. The
store's revision is one count for all and only grows; a number taken from it
after an engine was seen to obey somebody else exceeds theirs.

A number found in that way is told to the others like a claim, so that the next
owner exceeds it also while the store is away.
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

# Low bits of a fencing number that name its VM.
_FENCE_BITS: Final = 24
# No order may carry this; a fencing number is still to be found.
NO_FENCE: Final = 0
# A store that did not answer is asked again after this; each engine of a
# group would otherwise ask it on its own.
_RETRY_SECONDS: Final = 0.5


def fence_of(vm: VmId, epoch: int) -> int:
    """Give the fencing number of a VM in an epoch.

    Two VMs in the same epoch must not share a number, so its low bits are
    the VM's address, of which the last three parts are its own.
    """
    host, _port = split_address(vm)
    number = 0
    for part in host.split('.')[1:]:
        number = number << 8 | int(part)
    return epoch << _FENCE_BITS | number


class Fences:
    """Finds the fencing number for the orders of one owner."""

    def __init__(
        self,
        vm: VmId,
        fresh_revision: FreshRevision,
        epoch: int,
    ) -> None:
        """Start with the number of a claim.

        :param fresh_revision: asks the store for its revision of the moment
        :param epoch: of the claim; 0 where it was made without knowing of
            the other VMs, or without the store
        """
        self._vm = vm
        self._fresh_revision = fresh_revision
        self._epoch = epoch
        self._found_at = float('-inf')
        self._retry_at = float('-inf')
        self._finding = curio.Lock()

    @property
    def epoch(self) -> int:
        """Give the newest epoch of this owner; 0 while it has none."""
        return self._epoch

    @property
    def claimed(self) -> int:
        """Give the number of the claim, where nothing newer can be had."""
        return fence_of(self._vm, self._epoch) if self._epoch else NO_FENCE

    def renew(self, epoch: int) -> None:
        """Take the epoch of a newer claim."""
        self._epoch = max(self._epoch, epoch)

    def outbid(self) -> None:
        """Order with a higher number: an engine has seen one."""
        self._epoch += 1

    async def found_after(self, moment: float) -> int:
        """Give a number that was found after ``moment``, or none."""
        async with self._finding:
            if self._found_at <= moment:
                await self._find()
            found = self._found_at > moment
        return self.claimed if found else NO_FENCE

    async def _find(self) -> None:
        began = clock.now()
        if began < self._retry_at:
            return
        revision = await self._fresh_revision()
        if revision is None:
            self._retry_at = clock.now() + _RETRY_SECONDS
            return
        self._epoch = max(self._epoch, revision)
        self._found_at = began
