"""Bounds the data that a VM holds for all of its callers together.

Addresses many callers that read slowly at the same time: a bound for each
connection would allow their sum to exceed the memory of the process, and an
upstream cuts off a response that is read only as fast as its caller reads.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Self

_BYTES_PER_MB: Final = 1_000_000
# Callers that hold less than an equal part of the bound go on above it, so
# that the one that fills it does not delay the others. Above this multiple of
# the bound, every caller that holds data waits.
_HARD_SHARE: Final = 1.25
# All waiting callers go on below this share of the bound; between it and the
# bound, one goes on for each write, as else all would compete for each byte.
_LOW_SHARE: Final = 0.9


@dataclass
class HeldCounts:
    """Counters of the data held for callers.

    ``ended_at_bound`` counts the callers in ``ended`` that waited for the
    bound when they were ended.
    """

    waits: int = 0
    ended: int = 0
    ended_at_bound: int = 0
    refused_bodies: int = 0


@dataclass(slots=True, eq=False)
class HeldAccount:
    """The data held for one caller, in bytes."""

    size: int = 0


class HeldData:
    """The accounts of all callers of a VM, and their common bound.

    :ivar bound: bytes that the accounts and the bodies may hold together; 0
        for no bound
    :ivar total: bytes of all accounts and bodies
    :ivar bodies: bytes of the bodies of requests in progress
    :ivar peak: largest ``total`` so far
    """

    def __init__(self, bound: int = 0) -> None:
        """Start without data."""
        self.bound = bound
        self.total = 0
        self.bodies = 0
        self.peak = 0
        self.counts = HeldCounts()
        self._holders: set[HeldAccount] = set()
        self._waiting: dict[HeldAccount, None] = {}

    @classmethod
    def from_config(cls, memory_mb: float, share: float) -> Self:
        """Create the accounts of a process with ``memory_mb`` of memory.

        :param memory_mb: 0 if unknown, and then there is no bound
        :param share: share of the memory that held data may take
        """
        return cls(int(memory_mb * _BYTES_PER_MB * share))

    @property
    def callers(self) -> int:
        """Number of callers for which data is held."""
        return len(self._holders)

    def add(self, account: HeldAccount, size: int) -> None:
        """Count ``size`` more bytes for a caller."""
        account.size += size
        self._holders.add(account)
        self._change(size)

    def remove(self, account: HeldAccount, size: int) -> list[HeldAccount]:
        """Count ``size`` fewer bytes for a caller.

        :returns: the accounts that need not wait any longer
        """
        account.size -= size
        if not account.size:
            self._holders.discard(account)
        self._change(-size)
        return self._resumable(account)

    def must_wait(self, account: HeldAccount) -> bool:
        """Return whether a caller holds too much to read on for it."""
        if not account.size or not self.bound or self.total <= self.bound:
            return False
        if self.total > self.bound * _HARD_SHARE:
            return True
        room = max(self.bound - self.bodies, 0)
        return account.size * len(self._holders) >= room

    def wait(self, account: HeldAccount) -> None:
        """Record that a caller waits until it holds less."""
        self._waiting[account] = None

    def stop_waiting(self, account: HeldAccount) -> bool:
        """Record that a caller waits no longer; return whether it waited."""
        is_waiting = account in self._waiting
        self._waiting.pop(account, None)
        return is_waiting

    def may_add_body(self, size: int) -> bool:
        """Return whether a body of ``size`` more bytes may be read.

        Only other bodies count: slow callers wait for the bound themselves,
        and must not keep requests of other callers from being read.
        """
        if not self.bound or not self.bodies:
            return True
        return self.bodies + size <= self.bound

    def add_body(self, size: int) -> None:
        """Count ``size`` bytes of the body of a request."""
        self.bodies += size
        self._change(size)

    def remove_body(self, size: int) -> list[HeldAccount]:
        """Count a body as released.

        :returns: the accounts that need not wait any longer
        """
        self.bodies -= size
        self._change(-size)
        return self._resumable(HeldAccount())

    def _change(self, size: int) -> None:
        self.total += size
        self.peak = max(self.peak, self.total)

    def _resumable(self, changed: HeldAccount) -> list[HeldAccount]:
        if not self._waiting:
            return []
        resumed: list[HeldAccount] = []
        if self.total <= self.bound * _LOW_SHARE:
            resumed = list(self._waiting)
        elif self.total <= self.bound:
            resumed = [next(iter(self._waiting))]
        for account in resumed:
            del self._waiting[account]
        if changed in self._waiting and not self.must_wait(changed):
            del self._waiting[changed]
            resumed.append(changed)
        return resumed
