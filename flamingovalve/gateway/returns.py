"""Refused requests that return: their order and the times they are given.

Addresses waves beyond the capacity: callers that were refused together return
together, behind all newcomers, and are refused again while those are served.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway import return_times
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId, WorkspaceId
    from flamingovalve.generated.messages import PlaceAsk

    Key = tuple[WorkspaceId, AdapterId, str]

_MAX_REMEMBERED: Final = 4096
# A caller may return this much later than it was told: the header Retry-After
# has whole seconds, and callers add a share of their own.
_MARGIN_SECONDS: Final = 1.0
_MARGIN_SHARE: Final = 0.5
# Clocks and networks may make a return seem this much too early.
_EARLY_SECONDS: Final = 0.05
# Returns are spread over at most this long: a longer spread leaves places
# unused, with a shorter one returns meet the next wave.
_MAX_SPREAD_SECONDS: Final = 2.0
_SHARE_SMOOTHING_FACTOR: Final = 0.05
_MIN_RETURN_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True)
class _Refused:
    """A refused request; times are on the monotonic clock.

    :ivar arrived_at: arrival of its first attempt
    :ivar retry_at: when it was told to return
    :ivar expires_at: latest return that counts as the same request
    """

    arrived_at: float
    retry_at: float
    expires_at: float


class Returns:
    """What refused callers were promised, and who of them returned.

    :ivar return_share: learned share of refused requests that return
    """

    def __init__(self) -> None:
        """Start without refused requests."""
        self.return_share = 1.0
        self._refused: OrderedDict[Key, _Refused] = OrderedDict()
        self._promised_until: dict[WorkspaceId, float] = {}

    def __len__(self) -> int:
        """Return the number of refused requests that may return."""
        return len(self._refused)

    def retry_after(
        self,
        ask: PlaceAsk,
        wait: float,
        interval: float,
    ) -> float:
        """Return the seconds after which a refused request should return.

        Each workspace is promised one place after another at the rate at
        which it gets them, less the share of callers that do not return.

        :param wait: expected seconds until a place is free for it
        :param interval: expected seconds between places of its workspace
        """
        now = clock.now()
        promised = self._promised_until.get(ask.workspace, now)
        spread = promised + interval * self.return_share - now
        if spread <= wait + _MAX_SPREAD_SECONDS:
            pause = max(wait, spread)
            self._promised_until[ask.workspace] = now + pause
            return pause
        return return_times.add_jitter(
            wait + _MAX_SPREAD_SECONDS, ask.request_id
        )

    def forget_promises(self) -> None:
        """Promise places from now on, as no request waits."""
        self._promised_until.clear()

    def remember(
        self,
        ask: PlaceAsk,
        arrived_at: float,
        retry_after: float,
    ) -> None:
        """Remember a refused request until it should have returned."""
        now = clock.now()
        self._forget_expired(now)
        margin = _MARGIN_SECONDS + retry_after * _MARGIN_SHARE
        retry_at = now + retry_after
        key = _key_of(ask)
        self._refused.pop(key, None)
        self._refused[key] = _Refused(arrived_at, retry_at, retry_at + margin)
        if len(self._refused) > _MAX_REMEMBERED:
            self._refused.popitem(last=False)

    def arrival_of(self, ask: PlaceAsk) -> float | None:
        """Return when the first attempt of a returning request arrived.

        A caller that returns before its time gains nothing by that.

        :returns: None if it was not refused or does not return in time
        """
        key = _key_of(ask)
        refused = self._refused.get(key)
        now = clock.now()
        if refused is None or now < refused.retry_at - _EARLY_SECONDS:
            return None
        del self._refused[key]
        if now > refused.expires_at:
            self._record_return(returned=False)
            return None
        self._record_return(returned=True)
        return refused.arrived_at

    def _forget_expired(self, now: float) -> None:
        """Forget the oldest refused requests that did not return."""
        while self._refused:
            refused = next(iter(self._refused.values()))
            if refused.expires_at >= now:
                return
            self._refused.popitem(last=False)
            self._record_return(returned=False)

    def _record_return(self, *, returned: bool) -> None:
        change = (returned - self.return_share) * _SHARE_SMOOTHING_FACTOR
        self.return_share = max(self.return_share + change, _MIN_RETURN_SHARE)


def _key_of(ask: PlaceAsk) -> Key:
    """Return what identifies a request if its caller repeats it."""
    last_part = ask.parts[-1].id if ask.parts else ''
    return (ask.workspace, ask.adapter, last_part)
