"""Borrows credit of the retry budget that other VMs leave unused."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import RetryLoanAsk, RetryLoanReply
from flamingovalve.util import clock, hashing

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.generated.ids import ServiceId, VmId

# Time from the request for a loan in which its credit may be used.
LOAN_SECONDS: Final = 0.4
# Smaller differences between sums of credit are due to rounding.
ROUNDING_ERROR: Final = 1e-6
_ASK_SECONDS: Final = 0.1
_MAX_VMS_ASKED: Final = 3
# VMs that a VM borrows from at all; each keeps a connection open.
_MAX_LENDERS: Final = 16
# A VM that had too little credit is not asked again for this long.
_EMPTY_SECONDS: Final = 1.0
# After a search for credit has failed, none is made for this long.
_SEARCH_PAUSE_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class Loan:
    """Credit that another VM has booked as spent.

    :ivar amount: in retries, mostly less than one
    :ivar expires_at: latest time of its use, on the clock that counts
        suspensions
    """

    amount: float
    expires_at: float

    def is_valid(self) -> bool:
        """Return whether it may still be used."""
        return clock.boot() <= self.expires_at


class RetryLoans:
    """Asks other VMs for credit, a few at a time and seldom if all lack it.

    :ivar borrowed: credit that other VMs have lent, in retries
    """

    def __init__(
        self, peers: KeeperClient, rng: random.Random, name: str = ''
    ) -> None:
        """Ask through ``peers``, in random order.

        :param name: name of this VM, which decides whom it asks in a large
            fleet
        """
        self.borrowed = 0.0
        self._name = name
        self._peers = peers
        self._rng = rng
        self._empty_until: dict[tuple[ServiceId, VmId], float] = {}
        self._paused_until: dict[ServiceId, float] = {}

    async def borrow(self, service: ServiceId, wanted: float) -> list[Loan]:
        """Borrow credit for repeats to a service.

        Asks for all of it first, as parts of it are of no use without the
        rest.

        :returns: loans of ``wanted`` in all, or less
        """
        if clock.now() < self._paused_until.get(service, 0):
            return []
        available_by_vm: dict[VmId, float] = {}
        for vm in self._lenders(service):
            reply, loan = await self._ask(vm, service, wanted, wanted)
            if loan.amount:
                return [loan]
            available_by_vm[vm] = reply.available
            if not reply.available:
                self._empty_until[service, vm] = clock.now() + _EMPTY_SECONDS
        if sum(available_by_vm.values()) >= wanted:
            return await self._collect(service, wanted, available_by_vm)
        self._paused_until[service] = clock.now() + _SEARCH_PAUSE_SECONDS
        return []

    async def _collect(
        self,
        service: ServiceId,
        wanted: float,
        available_by_vm: dict[VmId, float],
    ) -> list[Loan]:
        loans: list[Loan] = []
        for vm, available in available_by_vm.items():
            missing = wanted - total(loans)
            if missing > ROUNDING_ERROR and available:
                _reply, loan = await self._ask(vm, service, missing, 0)
                loans.append(loan)
        return loans

    async def _ask(
        self, vm: VmId, service: ServiceId, wanted: float, least: float
    ) -> tuple[RetryLoanReply, Loan]:
        expires_at = clock.boot() + LOAN_SECONDS
        ask = RetryLoanAsk(service, wanted, least)
        reply = await self._peers.ask(vm, ask, _ASK_SECONDS)
        if not isinstance(reply, RetryLoanReply):
            reply = RetryLoanReply()
        loan = Loan(min(reply.granted, wanted), expires_at)
        self.borrowed += loan.amount
        return reply, loan

    def _lenders(self, service: ServiceId) -> list[VmId]:
        """Return the VMs to ask, in this order."""
        now = clock.now()
        candidates = [
            member.vm.id
            for member in self._peers.reachable()
            if not self._peers.is_here(member.vm.id)
            and now >= self._empty_until.get((service, member.vm.id), 0)
        ]
        if len(candidates) > _MAX_LENDERS:
            key = f'loans {self._name}'
            candidates = hashing.first(key, candidates, _MAX_LENDERS)
        count = min(_MAX_VMS_ASKED, len(candidates))
        return self._rng.sample(candidates, count)


def total(loans: Iterable[Loan]) -> float:
    """Return the credit of loans that may still be used, in retries."""
    return sum(loan.amount for loan in loans if loan.is_valid())
