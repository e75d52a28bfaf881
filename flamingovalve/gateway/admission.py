"""Refuses at once what will not get a place in time.

Answers bursts over what the engines hold: a caller that hears early, with
the time after which a place should be free, is better off than one that
waits in vain.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch

if TYPE_CHECKING:
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.generated.messages import PlaceAsk

# A late answer is worth half of one in time at Indus Crest and a tenth at
# Zahradni Karta, so a request may wait past its target, but not so long that
# its caller's time runs out before a place and a first event.
_LONGEST_WAIT_SHARE: Final = 0.7
# Back in time for a first event within about the target.
_USEFUL_TARGETS: Final = 0.7
# How long a request keeps its adapter in use: a review takes about a second,
# a chat two and a half on the users' engines.
_HOLD_SECONDS: Final = 1.6
_SHORTEST_RETRY_SECONDS: Final = 0.3


class Admission:
    """Judges requests that wait for a place."""

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
            return _refusal('no engine of this group answers yet', 0.5)
        for_place = _until_place(ask, ahead, engines)
        for_event = dispatch.soonest(ask, engines)
        if for_event > ask.patience:
            return _refusal(
                'every engine has too much to read',
                for_event - _USEFUL_TARGETS * ask.target,
            )
        if for_place + for_event > ask.patience * _LONGEST_WAIT_SHARE:
            return _refusal('every place of this group is taken', for_place)
        return None

    def expected_wait(
        self,
        ask: PlaceAsk,
        ahead: int,
        engines: list[EngineLedger],
    ) -> float:
        """Give the seconds until a first event, a place awaited."""
        for_event = dispatch.soonest(ask, engines)
        return _until_place(ask, ahead, engines) + for_event


def _slots(engines: list[EngineLedger]) -> int:
    return sum(engine.slots() for engine in engines)


def _until_place(
    ask: PlaceAsk,
    ahead: int,
    engines: list[EngineLedger],
) -> float:
    slots = _slots(engines)
    if not slots:
        return float('inf')
    for_slot = (ahead + 1) * _HOLD_SECONDS / slots
    return max(for_slot, dispatch.until_loads(ask, engines))


def _refusal(reason: str, retry_after: float) -> ServingError:
    pause = max(retry_after, _SHORTEST_RETRY_SECONDS)
    return ServingError(
        ErrorKind.OVERLOADED,
        f'{reason}; come back in {pause:.1f} s',
        retry_after=pause,
    )
