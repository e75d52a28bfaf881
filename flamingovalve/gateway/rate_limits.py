"""The rate limit that an upstream announces, as one VM knows it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.announcements import Purpose
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.announcements import Announcement, SentRequest

NO_LIMIT: Final = math.inf
# A lower limit counts as this, so that its end is noticed.
_MIN_RATE: Final = 0.1
# An unload, a load and the request that waits for them.
_MIN_BURST: Final = 3.0
_BURST_SECONDS: Final = 0.25
# A limit learnt from another VM lapses unless it is repeated.
_RUMOUR_SECONDS: Final = 10.0
_CHANGE_SHARE: Final = 0.2
# For this long after an upstream told this VM that it has no limit any more,
# rumours of one are outdated.
_ENDED_SECONDS: Final = 3.0
# A VM repeats a limit to others while it was told of it this recently.
_CONFIRMED_SECONDS: Final = 3.0


def burst_of(rate: float) -> float:
    """Return the number of requests that may be sent at once."""
    return max(_MIN_BURST, rate * _BURST_SECONDS)


@dataclass(slots=True)
class RateLimit:
    """A rate limit of an upstream, as known to this VM.

    What the upstream tells this VM itself takes precedence. A rumour can only
    lower the rate until the next response, as rumours may overtake each other.
    All times are on the monotonic clock.

    :ivar told_rate: rate in the latest response that names one; ``NO_LIMIT``
        if it has ended
    :ivar told_at: when that response arrived
    :ivar ended_at: when this VM was told that there is no limit any more
    :ivar rumoured_rate: rate that another VM was told
    :ivar rumoured_at: when this VM learnt it
    :ivar named_to: purposes of the requests whose responses named a limit;
        other responses need not name it
    :ivar noted_rate: rate that was last logged and told to other VMs
    :ivar opens_at: earliest time at which the keeper would admit a request
    :ivar uncounted: requests sent shortly before the limit was known, which
        its keeper has not counted yet
    """

    told_rate: float = NO_LIMIT
    told_at: float = float('-inf')
    ended_at: float = float('-inf')
    rumoured_rate: float = NO_LIMIT
    rumoured_at: float = float('-inf')
    named_to: set[Purpose] = field(default_factory=set)
    noted_rate: float = NO_LIMIT
    opens_at: float = 0
    uncounted: int = 0

    def rate(self) -> float:
        """Return the limit in requests per second; ``NO_LIMIT`` for none."""
        if self.rumoured_rate != NO_LIMIT:
            if clock.now() < self.rumoured_at + _RUMOUR_SECONDS:
                return min(self.told_rate, self.rumoured_rate)
            self.rumoured_rate = NO_LIMIT
        return self.told_rate

    def wait_seconds(self) -> float:
        """Return the seconds until the keeper would admit a request."""
        if self.rate() == NO_LIMIT:
            return 0
        return max(0, self.opens_at - clock.now())

    def spacing(self) -> float:
        """Return the seconds between two requests; 0 without a limit."""
        return 1 / self.rate()

    def is_news(self, previous_rate: float) -> bool:
        """Return whether the limit began, ended, or changed a good deal.

        Otherwise a limit that differs a little in each response would be told
        to all VMs with each response.

        :param previous_rate: the rate before the latest response or rumour
        """
        rate = self.rate()
        if NO_LIMIT in {rate, previous_rate}:
            return rate != previous_rate
        return abs(rate - self.noted_rate) > _CHANGE_SHARE * rate

    def is_confirmed(self) -> bool:
        """Return whether the upstream named the limit to this VM recently."""
        is_recent = clock.now() < self.told_at + _CONFIRMED_SECONDS
        return is_recent and self.told_rate != NO_LIMIT

    def record(self, sent: SentRequest, announcement: Announcement) -> None:
        """Record what the response to ``sent`` says about the limit."""
        limit = announcement.rate_limit
        if limit is not None:
            self.told_rate = max(limit, _MIN_RATE)
            self.told_at = clock.now()
            self.named_to.add(sent.purpose)
            self.rumoured_rate = NO_LIMIT
        elif announcement.is_success and self._is_ended_by(sent):
            self.told_rate = NO_LIMIT
            self.rumoured_rate = NO_LIMIT
            self.ended_at = clock.now()
            self.named_to.clear()

    def record_rumour(self, rate: float) -> None:
        """Record that another VM was told a limit.

        A rumour does not raise the rate that an earlier one has lowered, so
        that two rumours cannot replace each other for ever.
        """
        now = clock.now()
        if now < self.ended_at + _ENDED_SECONDS:
            return
        rate = max(rate, _MIN_RATE)
        has_lapsed = now >= self.rumoured_at + _RUMOUR_SECONDS
        if has_lapsed or rate <= self.rumoured_rate:
            self.rumoured_rate = rate
            self.rumoured_at = now

    def _is_ended_by(self, sent: SentRequest) -> bool:
        """Return whether a response without a limit shows that it ended."""
        if self.rate() == NO_LIMIT or sent.sent_at <= self.told_at:
            return False
        if self.named_to:
            return sent.purpose in self.named_to
        return sent.purpose is Purpose.SERVE and sent.sent_at > self.rumoured_at
