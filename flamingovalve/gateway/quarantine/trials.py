"""Suspect calls that run, so that repeats wait for what becomes of them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import Fingerprint, RequestId

# Longer than most calls run before their upstream ends.
TRIAL_SECONDS: Final = 2.0
_MAX_TRIALS: Final = 256


@dataclass(frozen=True, slots=True)
class Trial:
    """A run of a suspect call.

    :ivar ends: ends against the call when it began
    :ivar until: time on the monotonic clock until which repeats are refused
    :ivar request_id: the request that runs; none if it runs at another VM
    """

    ends: int
    until: float
    request_id: RequestId | None


class Trials:
    """A bounded table of the calls that are tried, here or at another VM."""

    def __init__(self) -> None:
        """Start without trials."""
        self._by_call: OrderedDict[Fingerprint, Trial] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of trials that are remembered."""
        return len(self._by_call)

    def record(self, call: Fingerprint, trial: Trial) -> bool:
        """Record a trial; return whether it was unknown."""
        known = self._by_call.get(call)
        if known is not None and known.ends >= trial.ends and _runs(known):
            return False
        self._by_call[call] = trial
        self._by_call.move_to_end(call)
        while len(self._by_call) > _MAX_TRIALS:
            self._by_call.popitem(last=False)
        return True

    def seconds_left(
        self, call: Fingerprint, ends: int, request_id: RequestId
    ) -> float:
        """Return for how long a repeat waits for another run of the call.

        :param ends: ends against the call by now; one more ends the trial
        """
        known = self._by_call.get(call)
        if known is None or known.ends < ends or known.request_id == request_id:
            return 0
        return max(known.until - clock.now(), 0)

    def end(self, call: Fingerprint, request_id: RequestId) -> None:
        """End the trial of a request, whatever became of it."""
        known = self._by_call.get(call)
        if known is not None and known.request_id == request_id:
            del self._by_call[call]


def _runs(trial: Trial) -> bool:
    return clock.now() < trial.until
