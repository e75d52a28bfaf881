"""What this VM knows of each upstream from its responses."""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.errors import HeldBack
from flamingovalve.gateway.announcements import Purpose
from flamingovalve.gateway.brittleness import Brittleness
from flamingovalve.gateway.departures import Departure
from flamingovalve.gateway.rate_limits import NO_LIMIT, RateLimit
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from flamingovalve.gateway.announcements import Announcement, SentRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.generated.ids import UpstreamId

logger = get_logger(__name__)

_RECENT_SECONDS: Final = 4.0
# Requests sent this shortly before a limit became known count towards it.
_UNCOUNTED_SECONDS: Final = 1.5
# Bounds what a malformed header can do.
_MAX_REST_SECONDS: Final = 300.0
# Covers clocks that run at different speeds.
_REST_MARGIN_SECONDS: Final = 0.05
# The status of a removed upstream is kept for this long after the last request.
_IDLE_SECONDS: Final = 60.0


@dataclass
class SendCounts:
    """Counters of the requests that this VM sent to upstreams.

    :ivar held_back: requests that were not sent, as the upstream accepted none
    :ivar unanswered: requests to keepers of rate limits without a reply
    """

    serve: int = 0
    report: int = 0
    order: int = 0
    held_back: int = 0
    unanswered: int = 0


@dataclass(slots=True)
class UpstreamStatus:
    """The status of one upstream.

    :ivar recent: the latest requests of this VM, oldest first
    :ivar used_at: when this VM last sent it a request, on the monotonic clock
    :ivar rests_until: end of the rest from requests of this VM that it asked
        for, on the monotonic clock
    """

    limit: RateLimit = field(default_factory=RateLimit)
    recent: deque[SentRequest] = field(default_factory=deque)
    used_at: float = field(default_factory=clock.now)
    rests_until: float = 0
    departure: Departure = field(default_factory=Departure)
    brittleness: Brittleness = field(default_factory=Brittleness)

    def record_sent(self, sent: SentRequest) -> None:
        """Record a request of this VM."""
        self.used_at = sent.sent_at
        self.recent.append(sent)
        while self.recent[0].sent_at < sent.sent_at - _RECENT_SECONDS:
            self.recent.popleft()

    def recent_by_purpose(self) -> dict[str, int]:
        """Return the numbers of this VM's recent requests by purpose."""
        oldest = clock.now() - _RECENT_SECONDS
        return Counter(
            sent.purpose.value for sent in self.recent if sent.sent_at >= oldest
        )

    def rest_seconds(self) -> float:
        """Return the seconds until the end of its rest; 0 without one."""
        return max(0, self.rests_until - clock.now())

    def wait_seconds(self) -> float:
        """Return the seconds until it accepts a caller's request of this VM.

        :returns: seconds; infinite if it is leaving
        """
        if self.departure.is_known():
            return math.inf
        return max(self.rest_seconds(), self.limit.wait_seconds())

    def is_closed(self, patience: float) -> bool:
        """Return whether it is leaving, or rests longer than ``patience``."""
        return self.departure.is_known() or self.rest_seconds() > patience

    def check(self, purpose: Purpose, patience: float = 0) -> None:
        """Check that it accepts a request within ``patience``, but for limits.

        Reports go on while it leaves, as they show whether it has restarted.

        :raises HeldBack: if it is leaving, or rests for longer
        """
        if purpose is not Purpose.REPORT and self.departure.is_known():
            raise HeldBack('the upstream is leaving', math.inf)
        seconds = self.rest_seconds()
        if seconds > patience:
            raise HeldBack('the upstream rests', seconds)

    def record_rest(self, seconds: float) -> bool:
        """Record a rest; return whether it begins now."""
        begins = not self.rest_seconds()
        seconds = min(seconds, _MAX_REST_SECONDS) + _REST_MARGIN_SECONDS
        ends = clock.now() + seconds
        self.rests_until = max(self.rests_until, ends)
        return begins

    def find_uncounted(self) -> int:
        """Return the number of requests that no keeper has counted."""
        oldest = clock.now() - _UNCOUNTED_SECONDS
        return sum(sent.sent_at >= oldest for sent in self.recent)


class UpstreamStatuses:
    """The status of each upstream that this VM uses."""

    def __init__(self) -> None:
        """Start without any status."""
        self.counts = SendCounts()
        self._by_id: dict[UpstreamId, UpstreamStatus] = {}
        self._closed_until = 0.0

    def of(self, upstream: UpstreamId) -> UpstreamStatus:
        """Return the status of an upstream."""
        status = self._by_id.get(upstream)
        if status is None:
            status = UpstreamStatus()
            self._by_id[upstream] = status
        return status

    def forget_removed(self, is_listed: Callable[[UpstreamId], bool]) -> None:
        """Forget removed upstreams, some time after the last request."""
        oldest = clock.now() - _IDLE_SECONDS
        removed = [
            name
            for name, status in self._by_id.items()
            if status.used_at < oldest and not is_listed(name)
        ]
        for name in removed:
            del self._by_id[name]
        for name, status in self._by_id.items():
            if not is_listed(name):
                # An upstream that registers again under this id has restarted.
                status.departure = Departure()

    def wait_seconds(self, upstreams: Iterable[Upstream]) -> float:
        """Return the seconds until one of some upstreams accepts a request.

        :returns: seconds; 0 if there are none, or all are leaving
        """
        shortest = math.inf
        for upstream in upstreams:
            shortest = min(shortest, self.of(upstream.id).wait_seconds())
            if not shortest:
                return 0
        return 0 if shortest == math.inf else shortest

    def closed(self, patience: float) -> list[UpstreamId]:
        """Return the upstreams that leave, or rest longer than ``patience``."""
        if clock.now() >= self._closed_until:
            return []
        closed = [
            (name, status)
            for name, status in self._by_id.items()
            if status.is_closed(0)
        ]
        if not closed:
            self._closed_until = 0
        return [name for name, status in closed if status.is_closed(patience)]

    def limited(self) -> Iterator[tuple[UpstreamId, RateLimit]]:
        """Yield the upstreams with a rate limit."""
        for name, status in self._by_id.items():
            if status.limit.rate() != NO_LIMIT:
                yield name, status.limit

    def record_sent(self, sent: SentRequest) -> None:
        """Record that a request is being sent."""
        purpose = sent.purpose.value
        setattr(self.counts, purpose, getattr(self.counts, purpose) + 1)
        self.of(sent.upstream).record_sent(sent)

    def record(self, sent: SentRequest, announcement: Announcement) -> bool:
        """Record what the response to ``sent`` announces.

        :returns: whether a rate limit is new to this VM
        """
        status = self.of(sent.upstream)
        previous_rate = status.limit.rate()
        status.limit.record(sent, announcement)
        if announcement.rest_seconds:
            self._record_rest(sent, announcement.rest_seconds)
        self._record_departure(sent, announcement)
        self._record_brittleness(sent, announcement)
        return self._has_new_limit(
            sent.upstream, previous_rate, sent.purpose.value
        )

    def _record_rest(self, sent: SentRequest, seconds: float) -> None:
        status = self.of(sent.upstream)
        begins = status.record_rest(seconds)
        self._closed_until = max(self._closed_until, status.rests_until)
        if begins:
            note(
                logger,
                'upstream asks for rest',
                upstream=sent.upstream,
                purpose=sent.purpose.value,
                seconds=seconds,
                sent=status.recent_by_purpose(),
            )

    def _record_brittleness(
        self, sent: SentRequest, announcement: Announcement
    ) -> None:
        brittleness = self.of(sent.upstream).brittleness
        was_known = brittleness.is_known()
        brittleness.record(sent, announcement)
        if announcement.is_rejection and sent.purpose is Purpose.SERVE:
            brittleness.record_rejection()
        if brittleness.is_known() != was_known:
            note(
                logger,
                'upstream is not brittle any more'
                if was_known
                else 'upstream is brittle',
                upstream=sent.upstream,
                bears=brittleness.bears,
                source=sent.purpose.value,
            )

    def _record_departure(
        self, sent: SentRequest, announcement: Announcement
    ) -> None:
        departure = self.of(sent.upstream).departure
        was_known = departure.is_known()
        departure.record(sent, announcement)
        is_known = departure.is_known()
        if is_known:
            self._closed_until = math.inf
        if is_known != was_known:
            note(
                logger,
                'upstream is leaving' if is_known else 'upstream stays',
                upstream=sent.upstream,
                source=sent.purpose.value,
                sent=self.of(sent.upstream).recent_by_purpose(),
            )

    def record_rumour(self, upstream: UpstreamId, rate: float) -> bool:
        """Record a rate limit that another VM was told.

        :returns: whether it is new to this VM
        """
        limit = self.of(upstream).limit
        previous_rate = limit.rate()
        limit.record_rumour(rate)
        return self._has_new_limit(upstream, previous_rate, 'rumour')

    def state_dump(self) -> dict[str, Any]:
        """Return the status of each upstream as JSON values."""
        return {
            name: {
                'rate_limit': _json_rate(status.limit.rate()),
                'rest_seconds': status.rest_seconds(),
                'leaving': status.departure.is_known(),
                'brittle': status.brittleness.is_known(),
                'sent': status.recent_by_purpose(),
            }
            for name, status in self._by_id.items()
        }

    def _has_new_limit(
        self,
        upstream: UpstreamId,
        previous_rate: float,
        source: str,
    ) -> bool:
        status = self.of(upstream)
        rate = status.limit.rate()
        if not status.limit.is_news(previous_rate):
            return False
        status.limit.noted_rate = rate
        status.limit.opens_at = 0
        if previous_rate == NO_LIMIT:
            status.limit.uncounted = status.find_uncounted()
        note(
            logger,
            'rate limit of an upstream',
            upstream=upstream,
            rate=_json_rate(rate),
            previous=_json_rate(previous_rate),
            source=source,
            sent=status.recent_by_purpose(),
        )
        return rate != NO_LIMIT


def _json_rate(rate: float) -> float | None:
    return None if rate == NO_LIMIT else rate
