"""What upstreams announce about themselves in their responses."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from flamingovalve.generated.ids import UpstreamId

logger = get_logger(__name__)

_RECENT_SECONDS: Final = 4.0


class Purpose(Enum):
    """Why a request is sent to an upstream."""

    SERVE = 'serve'
    REPORT = 'report'
    ORDER = 'order'


@dataclass(frozen=True, slots=True)
class Announcement:
    """What one response says about its upstream.

    :ivar rate_limit: requests per second that the upstream accepts from all
        VMs together; None if it names no limit
    :ivar is_leaving: whether it accepts no new requests
    :ivar rest_seconds: for how long it wants no requests from this VM; 0
        unless it has rejected the request
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    rest_seconds: float = 0


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request to an upstream that was sent.

    :ivar sent_at: when it was sent, on the monotonic clock
    """

    upstream: UpstreamId
    purpose: Purpose
    sent_at: float


@dataclass
class SendCounts:
    """Counters of the requests that this VM sent to upstreams."""

    serve: int = 0
    report: int = 0
    order: int = 0


@dataclass(slots=True)
class UpstreamStatus:
    """What this VM knows of one upstream from the responses of it.

    :ivar announced: the latest announcement
    :ivar recent: the latest requests of this VM, oldest first
    """

    announced: Announcement = Announcement()
    recent: deque[SentRequest] = field(default_factory=deque)

    def recent_by_purpose(self) -> dict[str, int]:
        """Return the number of recent requests of this VM by purpose."""
        oldest = clock.now() - _RECENT_SECONDS
        while self.recent and self.recent[0].sent_at < oldest:
            self.recent.popleft()
        return Counter(sent.purpose.value for sent in self.recent)


class UpstreamStatuses:
    """The status of each upstream that this VM has sent requests to."""

    def __init__(self) -> None:
        """Start without any status."""
        self.counts = SendCounts()
        self._by_id: dict[UpstreamId, UpstreamStatus] = {}

    def of(self, upstream: UpstreamId) -> UpstreamStatus:
        """Return the status of an upstream."""
        return self._by_id.setdefault(upstream, UpstreamStatus())

    def record_sent(self, sent: SentRequest) -> None:
        """Record that a request is being sent."""
        purpose = sent.purpose.value
        setattr(self.counts, purpose, getattr(self.counts, purpose) + 1)
        status = self.of(sent.upstream)
        status.recent_by_purpose()
        status.recent.append(sent)

    def record(self, sent: SentRequest, announcement: Announcement) -> None:
        """Record what the response to ``sent`` announces."""
        status = self.of(sent.upstream)
        if announcement == status.announced:
            return
        status.announced = announcement
        note(
            logger,
            'upstream announces',
            upstream=sent.upstream,
            purpose=sent.purpose.value,
            rate_limit=announcement.rate_limit,
            leaving=announcement.is_leaving,
            rest=announcement.rest_seconds,
            sent=status.recent_by_purpose(),
        )

    def state_dump(self) -> dict[str, Any]:
        """Return the announcements in force as JSON values."""
        return {
            name: {
                'rate_limit': status.announced.rate_limit,
                'leaving': status.announced.is_leaving,
                'sent': status.recent_by_purpose(),
            }
            for name, status in self._by_id.items()
        }
