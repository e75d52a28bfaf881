"""Refuses at once what will not get a place in time.

Answers bursts over what the engines hold: a caller that hears early, with
the time after which a place should be free, is better off than one that
waits in vain.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch, return_times
from flamingovalve.gateway.learning import MeanSeconds, Turnover
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.generated.messages import PlaceAsk

# Beyond this share of its caller's patience an answer mostly comes too late.
_LONGEST_WAIT_SHARE: Final = 0.7
# Back in time for a first event within about the target.
_USEFUL_TARGETS: Final = 0.7
_SHORTEST_RETRY_SECONDS: Final = 0.3
_NO_ENGINE_RETRY_SECONDS: Final = 0.5
_FIRST_HOLD_SECONDS: Final = 1.0
_FIRST_EVENT_SECONDS: Final = 0.1
# A base model takes about this long to load.
_NO_MODEL_RETRY_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class Line:
    """Who goes before a waiting request.

    :ivar ahead: requests of its kind that go first
    :ivar is_late: whether its answer can no longer be in time, so that it
        waits behind those whose can
    :ivar is_waited_in: whether it or another has begun to wait there
    """

    ahead: int
    is_late: bool = False
    is_waited_in: bool = True


class Admission:
    """Judges requests that wait for a place.

    :ivar holds: how long a request keeps its place
    :ivar first_events: time from sending a request to its first event
    :ivar in_time: how soon those get a place who can be answered in time
    :ivar late: how soon the others do, after all of the former
    """

    def __init__(self) -> None:
        """Start with guesses of how fast places come free."""
        self.holds = MeanSeconds(_FIRST_HOLD_SECONDS)
        self.first_events = MeanSeconds(_FIRST_EVENT_SECONDS)
        self.in_time = Turnover()
        self.late = Turnover()

    def in_time_until(
        self,
        ask: PlaceAsk,
        ahead: int,
        engines: list[EngineLedger],
    ) -> float:
        """Give until when a place makes an answer come in time, on our clock.

        :param ahead: those who wait and can be answered in time
        :returns: the past where a place should come later than that
        """
        moment = clock.now()
        slots = _slots(engines)
        if not slots:
            return moment
        loading = min(engine.load_seconds(ask.adapter) for engine in engines)
        for_event = max(
            dispatch.soonest(ask, engines),
            self.first_events.mean,
        )
        slack = ask.target - loading - for_event
        each = self.in_time.seconds_each(
            self.holds.mean / slots,
            is_waited_for=ahead > 0,
        )
        if (ahead + 1) * each > slack:
            return moment
        return moment + slack

    def judge(
        self,
        ask: PlaceAsk,
        waiting: Line,
        engines: list[EngineLedger],
    ) -> ServingError | None:
        """Give the refusal of a request that cannot be served in time.

        :param waiting: who goes before it
        """
        if not _slots(engines):
            return _refusal(
                ask,
                'no engine of this group answers yet',
                _NO_ENGINE_RETRY_SECONDS,
            )
        for_place = self._until_place(ask, waiting, engines)
        for_event = dispatch.soonest(ask, engines)
        if math.isinf(for_event):
            return _refusal(
                ask,
                f'no engine of this group holds model {ask.model}',
                _NO_MODEL_RETRY_SECONDS,
            )
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
        waiting: Line,
        engines: list[EngineLedger],
    ) -> float:
        """Give the seconds until a first event, a place awaited."""
        for_event = dispatch.soonest(ask, engines)
        return self._until_place(ask, waiting, engines) + for_event

    def _until_place(
        self,
        ask: PlaceAsk,
        waiting: Line,
        engines: list[EngineLedger],
    ) -> float:
        slots = _slots(engines)
        if not slots:
            return float('inf')
        turnover = self.late if waiting.is_late else self.in_time
        until_loads = dispatch.until_loads(ask, engines)
        if until_loads > 0:
            # Nobody gets a place before, which says nothing of how fast
            # places come free after it.
            turnover.restart()
        each = turnover.seconds_each(
            self.holds.mean / slots,
            is_waited_for=waiting.is_waited_in,
        )
        return until_loads + (waiting.ahead + 1) * each


def _slots(engines: list[EngineLedger]) -> int:
    return sum(engine.slots() for engine in engines)


def _refusal(ask: PlaceAsk, reason: str, retry_after: float) -> ServingError:
    pause = max(retry_after, _SHORTEST_RETRY_SECONDS)
    pause = return_times.spread(pause, ask.request_id)
    return ServingError(
        ErrorKind.OVERLOADED,
        f'{reason}; come back in {pause:.1f} s',
        retry_after=pause,
    )
