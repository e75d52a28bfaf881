"""Refuses at once what will not get a place in time.

Answers bursts over what the engines hold: a caller that hears early, with
the time after which a place should be free, is better off than one that
waits in vain.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch
from flamingovalve.gateway.learning import HoldSeconds, Turnover
from flamingovalve.util import hashing

if TYPE_CHECKING:
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.generated.messages import PlaceAsk

# Beyond this share of its caller's patience an answer mostly comes too late.
_LONGEST_WAIT_SHARE: Final = 0.7
# Back in time for a first event within about the target.
_USEFUL_TARGETS: Final = 0.7
_SHORTEST_RETRY_SECONDS: Final = 0.3
_NO_ENGINE_RETRY_SECONDS: Final = 0.5
# Callers that are refused together come back over this share of their wait.
_SPREAD_SHARE: Final = 0.3


class Admission:
    """Judges requests that wait for a place."""

    def __init__(self) -> None:
        """Start with guesses of how fast places come free."""
        self.holds = HoldSeconds()
        self.turnover = Turnover()

    def judge(
        self,
        ask: PlaceAsk,
        ahead: int,
        engines: list[EngineLedger],
    ) -> ServingError | None:
        """Give the refusal of a request that cannot be served in time.

        :param ahead: requests that wait and go first
        """
        if not _slots(engines):
            return _refusal(
                ask,
                'no engine of this group answers yet',
                _NO_ENGINE_RETRY_SECONDS,
            )
        for_place = self._until_place(ask, ahead, engines)
        for_event = dispatch.soonest(ask, engines)
        if for_event > ask.patience:
            return _refusal(
                ask,
                'every engine has too much to read',
                for_event - _USEFUL_TARGETS * ask.target,
            )
        if for_place + for_event > ask.patience * _LONGEST_WAIT_SHARE:
            return _refusal(
                ask,
                'every place of this group is taken',
                for_place,
            )
        return None

    def expected_wait(
        self,
        ask: PlaceAsk,
        ahead: int,
        engines: list[EngineLedger],
    ) -> float:
        """Give the seconds until a first event, a place awaited."""
        for_event = dispatch.soonest(ask, engines)
        return self._until_place(ask, ahead, engines) + for_event

    def _until_place(
        self,
        ask: PlaceAsk,
        ahead: int,
        engines: list[EngineLedger],
    ) -> float:
        slots = _slots(engines)
        if not slots:
            return float('inf')
        each = self.turnover.seconds_each(self.holds.mean / slots)
        for_slot = (ahead + 1) * each
        return max(for_slot, dispatch.until_loads(ask, engines))


def _slots(engines: list[EngineLedger]) -> int:
    return sum(engine.slots() for engine in engines)


def _refusal(ask: PlaceAsk, reason: str, retry_after: float) -> ServingError:
    """Give a refusal that spreads the returns of those refused together.

    Told the same moment, they would come back as the same burst.
    """
    own = hashing.uniform('return', ask.request_id)
    pause = max(retry_after, _SHORTEST_RETRY_SECONDS)
    pause *= 1 + _SPREAD_SHARE * own
    return ServingError(
        ErrorKind.OVERLOADED,
        f'{reason}; come back in {pause:.1f} s',
        retry_after=pause,
    )
