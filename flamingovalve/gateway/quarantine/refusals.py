"""How long convicted causes are refused, and what is sent to try them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.quarantine.causes import is_call
from flamingovalve.generated.messages import RefusalRecord
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.generated.ids import Fingerprint

# Factor by which a refusal outlasts the one before.
_GROWTH: Final = 8
_MAX_SECONDS: Final = 86400.0
# A probe without an outcome gives way to another one.
_PROBE_SECONDS: Final = 15.0
_MAX_REFUSALS: Final = 256


class Certainty(Enum):
    """How certain it is that a convicted cause is no sound one.

    :cvar CERTAIN: all ends that convict it are known
    :cvar UNTOLD: it may have had ends that nobody knows of any more
    :cvar UNCERTAIN: it had a success before, or nothing shows that others had
        one; it is tried again soon
    """

    CERTAIN = 'certain'
    UNTOLD = 'untold'
    UNCERTAIN = 'uncertain'


_SECONDS_BY_CERTAINTY: Final = {
    Certainty.UNTOLD: 60.0,
    Certainty.UNCERTAIN: 2.0,
}


@dataclass(slots=True)
class Refusal:
    """The refusal of requests with one cause.

    :ivar first_seconds: how long the first refusal lasts
    :ivar convictions: how often the cause was convicted
    :ivar until: time on the monotonic clock until which requests are refused;
        probes are sent after it
    :ivar probed_at: when this VM sent the last probe
    """

    first_seconds: float
    convictions: int = 1
    until: float = 0.0
    probed_at: float = float('-inf')

    def seconds(self) -> float:
        """Return how long the refusal lasts from the last end on."""
        grown = self.first_seconds * _GROWTH ** (self.convictions - 1)
        return min(grown, _MAX_SECONDS)


class Refusals:
    """Refuses causes for longer with each end after a refusal.

    After it, one VM sends one request at a time, a probe.
    """

    def __init__(
        self, seconds: float, is_prober: Callable[[Fingerprint], bool]
    ) -> None:
        """Refuse a cause for ``seconds`` at first.

        :param is_prober: returns whether this VM sends the probes of a cause
        """
        self._seconds = seconds
        self._is_prober = is_prober
        self._by_cause: OrderedDict[Fingerprint, Refusal] = OrderedDict()

    def include(self, cause: Fingerprint) -> bool:
        """Return whether a cause is refused or on probation."""
        return cause in self._by_cause

    def convict(
        self, cause: Fingerprint, ended_at: float, certainty: Certainty
    ) -> bool:
        """Begin to refuse a cause, or a call for longer than before.

        :param ended_at: time of the last end, on the monotonic clock
        :returns: whether anything has changed
        """
        seconds = _SECONDS_BY_CERTAINTY.get(certainty, self._seconds)
        known = self._by_cause.get(cause)
        if known is not None:
            if not is_call(cause) or known.first_seconds >= seconds:
                return False
            known.first_seconds = seconds
            known.until = max(known.until, ended_at + known.seconds())
            return True
        self._by_cause[cause] = Refusal(seconds, until=ended_at + seconds)
        while len(self._by_cause) > _MAX_REFUSALS:
            self._by_cause.popitem(last=False)
        return True

    def extend(self, cause: Fingerprint) -> None:
        """Extend the refusal of a cause under which an upstream has ended."""
        known = self._by_cause.get(cause)
        if known is None:
            return
        if clock.now() >= known.until:
            known.convictions += 1
        known.until = clock.now() + known.seconds()

    def records(self) -> list[RefusalRecord]:
        """Return all refusals, for another VM."""
        now = clock.now()
        return [
            RefusalRecord(
                cause,
                known.first_seconds,
                known.convictions,
                max(known.until - now, 0),
            )
            for cause, known in self._by_cause.items()
        ]

    def take_over(self, record: RefusalRecord) -> None:
        """Take over the refusal of another VM, if it is the longer one."""
        until = clock.now() + record.remaining
        known = self._by_cause.get(record.cause)
        if known is not None and known.until >= until:
            return
        self._by_cause[record.cause] = Refusal(
            record.first_seconds, max(record.convictions, 1), until
        )

    def ends_needed_until(self, cause: Fingerprint) -> float:
        """Return until when the ends of a cause have to be kept.

        :returns: time on the monotonic clock; 0 if the cause is not refused
        """
        known = self._by_cause.get(cause)
        return known.until + self._seconds if known else 0

    def acquit(self, cause: Fingerprint) -> bool:
        """End the refusal of a cause; return whether there was one."""
        return self._by_cause.pop(cause, None) is not None

    def seconds_left(self, cause: Fingerprint) -> float:
        """Return for how long requests with a convicted cause are refused.

        :returns: 0 if one may be sent as a probe
        """
        known = self._by_cause[cause]
        now = clock.now()
        if now < known.until:
            return known.until - now
        may_probe = now >= known.probed_at + _PROBE_SECONDS
        if may_probe and self._is_prober(cause):
            return 0
        return min(_PROBE_SECONDS, known.first_seconds)

    def record_probe(self, cause: Fingerprint) -> None:
        """Record that a request was sent as a probe."""
        self._by_cause[cause].probed_at = clock.now()
