"""Whether an upstream says that it is leaving, as one VM knows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.announcements import (
        Announcement,
        Purpose,
        SentRequest,
    )

# An upstream that still exists so long after it last said that it is leaving
# has restarted, or stays after all.
_LAPSE_SECONDS: Final = 120.0


@dataclass(slots=True)
class Departure:
    """The departure of an upstream, as known to this VM.

    It ends with a later response to the same kind of request that does not
    announce it, as after a restart under the same id.

    :ivar told_at: when a response last announced it, on the monotonic clock
    :ivar told_to: purposes of the requests whose responses announced it
    """

    told_at: float = float('-inf')
    told_to: set[Purpose] = field(default_factory=set)

    def is_known(self) -> bool:
        """Return whether the upstream is leaving."""
        if not self.told_to:
            return False
        return clock.now() < self.told_at + _LAPSE_SECONDS

    def record(self, sent: SentRequest, announcement: Announcement) -> None:
        """Record what the response to ``sent`` says."""
        if announcement.is_leaving:
            self.record_told(sent.purpose)
        elif announcement.is_success and self._is_ended_by(sent):
            self.told_to.clear()

    def record_told(self, purpose: Purpose) -> None:
        """Record that a response to a request has announced it."""
        self.told_at = clock.now()
        self.told_to.add(purpose)

    def _is_ended_by(self, sent: SentRequest) -> bool:
        return sent.purpose in self.told_to and sent.sent_at > self.told_at
