"""Upstreams that fall over when they have to reject too many requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.announcements import Announcement, SentRequest

# An upstream counts the rejections of one second; what is on its way to it
# arrives a little later.
_WINDOW_SECONDS: Final = 1.2
# Share of the announced rejections that are risked; the other half is left
# for requests that are on their way when the first ones are rejected.
_RISKED_SHARE: Final = 0.5
# What was announced lapses unless it is repeated.
_LAPSE_SECONDS: Final = 30.0


@dataclass(slots=True)
class Brittleness:
    """How many rejections an upstream bears, and those that are known.

    :ivar bears: rejections per second that it announces; 0 if it is not
        brittle
    :ivar told_at: when it last announced them, on the monotonic clock
    :ivar rejected_at: times of the latest rejections, oldest first
    """

    bears: float = 0
    told_at: float = float('-inf')
    rejected_at: deque[float] = field(default_factory=deque)

    def is_known(self) -> bool:
        """Return whether the upstream is brittle."""
        return self.bears > 0 and clock.now() < self.told_at + _LAPSE_SECONDS

    def record(self, sent: SentRequest, announcement: Announcement) -> None:
        """Record what the response to ``sent`` says."""
        if announcement.bears:
            self.record_told(announcement.bears)
        elif announcement.is_success and sent.sent_at > self.told_at:
            self.bears = 0

    def record_told(self, bears: float) -> None:
        """Record what an upstream has announced; 0 if it is not brittle."""
        self.bears = bears
        self.told_at = clock.now()

    def record_rejection(self) -> None:
        """Record that the upstream has rejected a request for lack of room."""
        self.rejected_at.append(clock.now())
        self._forget_old()

    def risked(self, sharing: int = 1) -> int:
        """Return the rejections per second that are risked.

        :param sharing: number of VMs that send without knowing of each other
        """
        return max(1, int(self.bears * _RISKED_SHARE / sharing))

    def room_beyond_slots(self) -> float:
        """Return the requests that may wait there; infinite if not brittle.

        Each that finds no room is rejected.
        """
        if not self.is_known():
            return float('inf')
        self._forget_old()
        return 0 if self.rejected_at else self.risked()

    def wait_seconds(self, sharing: int = 1) -> float:
        """Return the seconds until another rejection can be risked.

        :param sharing: number of VMs that send without knowing of each other
        """
        if not self.rejected_at or not self.is_known():
            return 0
        self._forget_old()
        risked = self.risked(sharing)
        if len(self.rejected_at) < risked:
            return 0
        return max(0, self.rejected_at[-risked] + _WINDOW_SECONDS - clock.now())

    def _forget_old(self) -> None:
        oldest = clock.now() - _WINDOW_SECONDS
        while self.rejected_at and self.rejected_at[0] < oldest:
            self.rejected_at.popleft()
