"""Upstreams that ended, and the causes of the requests lost with them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from flamingovalve.gateway.model import Upstream
    from flamingovalve.generated.ids import Fingerprint, UpstreamId

_MAX_ENDS: Final = 128
_MAX_CAUSES_OF_END: Final = 256


@dataclass(frozen=True, slots=True)
class Instance:
    """One process of an upstream.

    :ivar born: when it started, in milliseconds by its own clock; 0 if unknown
    """

    upstream: UpstreamId
    born: int

    @classmethod
    def from_upstream(cls, upstream: Upstream) -> Instance:
        """Return the instance that a registration describes."""
        return cls(upstream.id, upstream.born)


@dataclass(slots=True, eq=False)
class End:
    """The end of an upstream, as far as VMs have reported it.

    Sets of causes only grow, so reports may be merged in any order.

    :ivar at: when a VM found it first, on the monotonic clock
    :ivar expires_at: time on the monotonic clock
    :ivar lost: causes of the requests that were lost with it
    :ivar exonerated: those with a success since
    :ivar proven: those with a success known when they were lost
    :ivar contrast_at: when the first one was exonerated, on the monotonic clock;
        infinite if none was
    :ivar is_informed: whether a success of any lost cause was known at the end;
        without one, upstreams may end under all requests
    """

    instance: Instance
    at: float
    expires_at: float
    lost: set[Fingerprint] = field(default_factory=set)
    exonerated: set[Fingerprint] = field(default_factory=set)
    proven: set[Fingerprint] = field(default_factory=set)
    contrast_at: float = float('inf')
    is_informed: bool = False

    def counts_for(self, cause: Fingerprint) -> bool:
        """Return whether it speaks against a cause."""
        return cause not in self.exonerated and clock.now() < self.expires_at


class EndTable:
    """A bounded table of ends, by upstream and by cause."""

    def __init__(self) -> None:
        """Start without ends."""
        self._by_instance: OrderedDict[Instance, End] = OrderedDict()
        self._by_cause: dict[Fingerprint, list[End]] = {}

    def __len__(self) -> int:
        """Return the number of ends."""
        return len(self._by_instance)

    def __iter__(self) -> Iterator[End]:
        """Return the ends, those that were reported last first."""
        return reversed(self._by_instance.values())

    def merge(self, report: End) -> tuple[End, bool]:
        """Add what is new in a report.

        :returns: the known end, and whether anything was new
        """
        self._remove_expired()
        known = self._by_instance.get(report.instance)
        if known is None:
            known = End(report.instance, report.at, report.expires_at)
            self._by_instance[report.instance] = known
        room = _MAX_CAUSES_OF_END - len(known.lost)
        new = sorted(report.lost - known.lost)[:room]
        for cause in new:
            self._by_cause.setdefault(cause, []).append(known)
        known.lost.update(new)
        known.at = min(known.at, report.at)
        known.is_informed |= report.is_informed
        known.contrast_at = min(known.contrast_at, report.contrast_at)
        known.expires_at = max(known.expires_at, report.expires_at)
        is_new = bool(new)
        is_new |= _grow(known.exonerated, report.exonerated & known.lost)
        is_new |= _grow(known.proven, report.proven & known.lost)
        return known, is_new

    def lost_with(self, instance: Instance) -> frozenset[Fingerprint]:
        """Return the causes that are known to be lost with an upstream."""
        known = self._by_instance.get(instance)
        return frozenset(known.lost) if known else frozenset()

    def exonerated_of(self, instance: Instance) -> frozenset[Fingerprint]:
        """Return those of them that had a success since."""
        known = self._by_instance.get(instance)
        return frozenset(known.exonerated) if known else frozenset()

    def against(self, cause: Fingerprint) -> list[End]:
        """Return the ends that speak against a cause."""
        ends = self._by_cause.get(cause, ())
        return [end for end in ends if end.counts_for(cause)]

    def repeated(self) -> Iterator[Fingerprint]:
        """Return the causes that were lost with more than one upstream."""
        for cause, ends in self._by_cause.items():
            if len(ends) > 1:
                yield cause

    def is_overfull(self) -> bool:
        """Return whether an end should be removed."""
        return len(self._by_instance) > _MAX_ENDS

    def remove_oldest(self, kept: Iterable[End]) -> None:
        """Remove the oldest end that is not in ``kept``.

        The oldest one of all is removed if all are.
        """
        kept_ids = {id(end) for end in kept}
        ends = self._by_instance.values()
        oldest = next((end for end in ends if id(end) not in kept_ids), None)
        self._remove(oldest or next(iter(ends)))

    def _remove_expired(self) -> None:
        now = clock.now()
        for end in list(self._by_instance.values()):
            if now >= end.expires_at:
                self._remove(end)

    def _remove(self, end: End) -> None:
        del self._by_instance[end.instance]
        for cause in end.lost:
            ends = self._by_cause[cause]
            ends.remove(end)
            if not ends:
                del self._by_cause[cause]


def _grow(known: set[Fingerprint], reported: set[Fingerprint]) -> bool:
    """Add what was reported; return whether anything is new."""
    is_new = not reported <= known
    known |= reported
    return is_new
