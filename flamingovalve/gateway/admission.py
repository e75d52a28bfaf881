"""Refuses requests early that are not expected to get a place in time.

In a burst that exceeds the engines' capacity, an early refusal with the time
after which a place should be free serves a caller better than a wait that ends
without a place.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch, return_times
from flamingovalve.gateway.learning import MeanSeconds, PlaceInterval
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.gateway.returns import Returns
    from flamingovalve.generated.messages import PlaceAsk

# If the first event is expected after this share of the caller's patience, it
# mostly comes too late.
_MAX_WAIT_SHARE: Final = 0.7
# A request that is retried when the prefill backlog has shrunk to this share of
# the target gets its first event within about the target.
_RETURN_TARGET_SHARE: Final = 0.7
_MIN_RETRY_SECONDS: Final = 0.3
_NO_ENGINE_RETRY_SECONDS: Final = 0.5
_INITIAL_HOLD_SECONDS: Final = 1.0
_INITIAL_FIRST_EVENT_SECONDS: Final = 0.1
# A base model takes about this long to load.
_NO_MODEL_RETRY_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class QueuePosition:
    """Position of a waiting request among the late or the timely requests.

    :ivar ahead: number of those requests that are served before it
    :ivar is_late: whether the request can no longer be answered in time; late
        requests are served after all timely ones
    :ivar has_waiters: whether this or another request already waits there
    :ivar own_wait: expected seconds until its workspace gets a place for it;
        0 if requests of only one workspace wait
    :ivar own_interval: expected seconds between places of its workspace; 0 if
        unknown
    """

    ahead: int
    is_late: bool = False
    has_waiters: bool = True
    own_wait: float = 0
    own_interval: float = 0


class Admission:
    """Estimates waits for a place and refuses requests that wait too long.

    :ivar holds: mean seconds for which a request keeps its place
    :ivar first_events: mean seconds from sending a request to its first event
    :ivar in_time: interval between places granted to requests that can still
        be answered in time
    :ivar late: the same for late requests, which are served after those
    :ivar assumed_interval: shortest interval in seconds that is assumed; 0
        for none
    """

    def __init__(self, returns: Returns | None = None) -> None:
        """Start with initial estimates.

        :param returns: spreads the retry times of refused requests
        """
        self.returns = returns
        self.holds = MeanSeconds(_INITIAL_HOLD_SECONDS)
        self.first_events = MeanSeconds(_INITIAL_FIRST_EVENT_SECONDS)
        self.in_time = PlaceInterval()
        self.late = PlaceInterval()
        self.assumed_interval = 0.0

    def place_deadline(
        self,
        ask: PlaceAsk,
        waiting: QueuePosition,
        engines: list[EngineLedger],
    ) -> float:
        """Return the latest time to get a place and still answer in time.

        :param waiting: its position among the requests that can still be
            answered in time
        :returns: time on the monotonic clock; the current time if no place is
            expected early enough
        """
        now = clock.now()
        slots = _slots(engines)
        if not slots:
            return now
        loading = min(engine.load_seconds(ask.adapter) for engine in engines)
        first_event_seconds = max(
            dispatch.min_first_event_seconds(ask, engines),
            self.first_events.mean,
        )
        slack = ask.target - loading - first_event_seconds
        interval = self.in_time.expected_seconds(
            self.holds.mean / slots,
            has_waiting_requests=waiting.ahead > 0,
        )
        place_wait = max((waiting.ahead + 1) * interval, waiting.own_wait)
        if place_wait > slack:
            return now
        return now + slack

    def find_refusal(
        self,
        ask: PlaceAsk,
        waiting: QueuePosition,
        engines: list[EngineLedger],
    ) -> ServingError | None:
        """Return a refusal if the request cannot be served in time.

        :param waiting: its position in the queue
        :returns: ``None`` if the request may go on waiting
        """
        if not _slots(engines):
            return _refusal(
                ask,
                _no_engine_reason(ask),
                _NO_ENGINE_RETRY_SECONDS,
            )
        place_seconds = self._place_wait(ask, waiting, engines)
        first_event_seconds = dispatch.min_first_event_seconds(ask, engines)
        if math.isinf(first_event_seconds):
            return _refusal(
                ask,
                f'no engine of this group holds model {ask.model}',
                _NO_MODEL_RETRY_SECONDS,
            )
        if first_event_seconds > ask.patience:
            return _refusal(
                ask,
                'the prefill backlog of every engine is too long',
                first_event_seconds - _RETURN_TARGET_SHARE * ask.target,
            )
        if place_seconds + first_event_seconds > ask.patience * _MAX_WAIT_SHARE:
            return self._no_place_refusal(ask, waiting, engines, place_seconds)
        return None

    def _no_place_refusal(
        self,
        ask: PlaceAsk,
        waiting: QueuePosition,
        engines: list[EngineLedger],
        place_seconds: float,
    ) -> ServingError:
        reason = 'every place of this group is taken'
        if self.returns is None:
            return _refusal(ask, reason, place_seconds)
        interval = waiting.own_interval or self.in_time.expected_seconds(
            self.holds.mean / _slots(engines), has_waiting_requests=False
        )
        wait = max(place_seconds, _MIN_RETRY_SECONDS)
        pause = self.returns.retry_after(ask, wait, interval)
        return _refusal_after(reason, pause)

    def expected_wait(
        self,
        ask: PlaceAsk,
        waiting: QueuePosition,
        engines: list[EngineLedger],
    ) -> float:
        """Return the expected seconds until a first event, wait included."""
        first_event_seconds = dispatch.min_first_event_seconds(ask, engines)
        return self._place_wait(ask, waiting, engines) + first_event_seconds

    def _place_wait(
        self,
        ask: PlaceAsk,
        waiting: QueuePosition,
        engines: list[EngineLedger],
    ) -> float:
        slots = _slots(engines)
        if not slots:
            return float('inf')
        place_interval = self.late if waiting.is_late else self.in_time
        load_wait = dispatch.load_wait_seconds(ask, engines)
        if load_wait > 0:
            # No place is granted until loads are allowed. This says nothing
            # about the rate at which places come free afterwards.
            place_interval.restart()
        interval = place_interval.expected_seconds(
            self.holds.mean / slots,
            has_waiting_requests=waiting.has_waiters,
        )
        interval = max(interval, self.assumed_interval)
        queue_wait = max((waiting.ahead + 1) * interval, waiting.own_wait)
        place_wait = load_wait + queue_wait
        return max(
            place_wait, dispatch.limit_wait_seconds(waiting.ahead, engines)
        )


def _no_engine_reason(ask: PlaceAsk) -> str:
    if ask.pins_software:
        return f'no engine of version {ask.software!r} answers'
    return 'no engine of this group answers yet'


def _slots(engines: list[EngineLedger]) -> int:
    return sum(engine.slots() for engine in engines)


def _refusal(ask: PlaceAsk, reason: str, retry_after: float) -> ServingError:
    pause = max(retry_after, _MIN_RETRY_SECONDS)
    return _refusal_after(
        reason, return_times.add_jitter(pause, ask.request_id)
    )


def _refusal_after(reason: str, pause: float) -> ServingError:
    return ServingError(
        ErrorKind.OVERLOADED,
        f'{reason}; retry in {pause:.1f} s',
        retry_after=pause,
    )
