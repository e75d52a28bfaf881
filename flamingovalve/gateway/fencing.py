"""Fencing numbers of orders, which grow with each order at an engine.

Some engines accept an order with a lower number than that of the last one, so
the senders have to ensure that numbers grow, including VMs that cannot see
each other. The engine is the only party that all of them have in common: it
says when it started, counts the orders that it accepts, and refuses an order
that names another count. So the number of an order is made from the start and
the count that it names. Of two counted orders of one start, the later one names
the higher count, and a later start exceeds the numbers of an earlier one as
long as an engine accepts less than one order in a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.util.listeners import split_address

if TYPE_CHECKING:
    from flamingovalve.generated.ids import VmId

# Number of low bits of a fencing number that identify its VM. With a start in
# milliseconds, numbers stay below 2**53 and are exact in any JSON parser.
_VM_BITS: Final = 12
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
    :ivar epoch: epoch of its claim; 0 without one
    :ivar known_epoch: highest epoch that other VMs have announced; 0 for none
    :ivar known_vm: the VM that has announced it
    """

    is_established: bool = True
    epoch: int = 0
    known_epoch: int = 0
    known_vm: str = ''


class OrderNumbers:
    """Makes the fencing numbers of one VM's orders to one engine."""

    def __init__(self, vm: VmId) -> None:
        """Make numbers of ``vm``, from the counts of the engine alone."""
        self._low_bits = _low_bits(vm)
        self._raised_by = 0

    @property
    def source(self) -> NumberSource:
        """What the next number is made from."""
        return NumberSource.RAISED if self._raised_by else NumberSource.COUNT

    def number(self, start: int, count: int) -> int:
        """Return the number of an order.

        :param start: start time that the engine reports, in milliseconds
        :param count: number of accepted orders that the order names
        """
        return (start + count + self._raised_by) << _VM_BITS | self._low_bits

    def raise_above(self) -> None:
        """Raise the next numbers, as the engine has seen a higher one.

        Only an engine that compares numbers says so, and it refuses lower
        ones itself.
        """
        self._raised_by = max(1, self._raised_by * 2)


def _low_bits(vm: VmId) -> int:
    """Return the last bits of the VM's IPv4 address.

    They distinguish the VMs of a fleet of up to some thousands.
    """
    host, _port = split_address(vm)
    number = 0
    for part in host.split('.'):
        number = number << 8 | int(part)
    return number % (1 << _VM_BITS)
