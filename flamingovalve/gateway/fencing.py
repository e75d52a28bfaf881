"""Fencing numbers of orders, which never fall at an engine.

Some engines accept an order with a lower number than that of the last one, so
the senders have to ensure that numbers do not fall, including VMs that cannot
see each other. The engine is the only party that all of them have in common: it
says when it started, counts the orders that it accepts, and refuses an order
that names another count. So a VM makes its number from the start and the count
that its first order names, and keeps it until it sees an order of another VM.
The next VM's first order names a higher count, and a later start exceeds the
numbers of an earlier one as long as an engine accepts less than one order in a
millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.util.listeners import split_address

if TYPE_CHECKING:
    from flamingovalve.generated.ids import VmId

# Number of low bits of a fencing number that identify its VM.
_VM_BITS: Final = 24
# Odd, so that different addresses stay different. It spreads them over the
# high ones of these bits, which a parser of doubles keeps.
_SPREAD: Final = 0x9E3779
# Numbers of starts from 2020 on stay below 2**63 until 2037.
_FIRST_START_MS: Final = 1_577_836_800_000
# Start time of an engine that has not reported one; no order may name it.
UNKNOWN_START: Final = 0


class NumberSource(Enum):
    """What the number of an order was made from.

    ``RAISED`` means that the engine has refused a lower one.
    """

    COUNT = 'count'
    RAISED = 'raised'


@dataclass(frozen=True, slots=True)
class ClaimStatus:
    """What a VM knows of the ownership of a group of engines.

    :ivar is_established: whether it has seen most VMs that may be alive for
        so long that it knows of their claims, and its claim is confirmed
    :ivar sees_all: whether it sees all VMs that may be alive
    :ivar epoch: epoch of its claim; 0 without one
    :ivar known_epoch: highest epoch that other VMs have announced; 0 for none
    :ivar known_vm: the VM that has announced it
    """

    is_established: bool = True
    sees_all: bool = True
    epoch: int = 0
    known_epoch: int = 0
    known_vm: str = ''


class OrderNumbers:
    """Makes the fencing numbers of one VM's orders to one engine."""

    def __init__(self, vm: VmId) -> None:
        """Make numbers of ``vm``, from the counts of the engine alone."""
        self._low_bits = _low_bits(vm)
        self._raised_by = 0
        self._start = UNKNOWN_START
        self._count = 0

    @property
    def source(self) -> NumberSource:
        """What the next number is made from."""
        return NumberSource.RAISED if self._raised_by else NumberSource.COUNT

    def number(self, start: int, count: int, *, is_tenant: bool) -> int:
        """Return the number of an order.

        :param start: start time that the engine reports, in milliseconds
        :param count: number of accepted orders that the order names
        :param is_tenant: whether the last known order was sent by this VM,
            which then keeps its number; its own late orders do not fall
        """
        if not is_tenant or start != self._start:
            self._start = start
            self._count = count
        high = _since_first_start(start) + self._count + self._raised_by
        return high << _VM_BITS | self._low_bits

    def raise_above(self) -> None:
        """Raise the next numbers, as the engine has seen a higher one.

        Only an engine that compares numbers says so, and it refuses lower
        ones itself.
        """
        self._raised_by = max(1, self._raised_by * 2)


def _since_first_start(start: int) -> int:
    return start - _FIRST_START_MS if start > _FIRST_START_MS else start


def _low_bits(vm: VmId) -> int:
    """Return bits that distinguish VMs whose addresses share the first byte."""
    host, _port = split_address(vm)
    number = 0
    for part in host.split('.'):
        number = number << 8 | int(part)
    return number * _SPREAD % (1 << _VM_BITS)
