"""The rule that bounds the retries that arrive at a service."""

from __future__ import annotations

import bisect
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Allowance:
    """The retry budget of a service over all VMs.

    :ivar ratio: retries as a share of the requests
    :ivar slack: retries beyond that share
    :ivar window: length of the window in seconds
    """

    ratio: float = 0.2
    slack: float = 40
    window: float = 10


@dataclass(frozen=True, slots=True)
class Window:
    """Retries that arrived within one window, and those allowed."""

    retries: int
    allowed: float
    start: float

    def excess(self) -> float:
        """Return by how much the retries exceed what is allowed."""
        return self.retries - self.allowed

    def __str__(self) -> str:
        """Return the figures for a report."""
        return (
            f'{self.retries} retries from {self.start:.2f}, '
            f'{self.allowed:.1f} allowed'
        )


class RetryHistory:
    """Requests for a service, and the retries that arrived there."""

    def __init__(
        self,
        allowance: Allowance,
        requests: Iterable[float],
        retries: Iterable[float],
    ) -> None:
        """Judge ``retries`` by ``allowance``.

        :param requests: when clients sent requests for the service
        :param retries: when arrivals beyond the first of each request came
        """
        self.allowance = allowance
        self.requests = sorted(requests)
        self.retries = sorted(retries)

    def worst(self) -> Window:
        """Return the window with the highest excess."""
        return max(self._windows(), key=Window.excess)

    def busiest(self) -> Window:
        """Return the window with most retries."""
        return max(self._windows(), key=lambda window: window.retries)

    def _windows(self) -> list[Window]:
        length = self.allowance.window
        starts = [at for end in self.retries for at in (end, end - length)]
        return [self._window(at) for at in starts or [0.0]]

    def _window(self, start: float) -> Window:
        allowance = self.allowance
        # The rule counts the requests of the window, of the one before it or
        # of the one half a window earlier, whichever has most.
        most_requests = max(
            self._count(self.requests, start - shift * allowance.window)
            for shift in (0, 0.5, 1)
        )
        allowed = allowance.ratio * most_requests + allowance.slack
        return Window(self._count(self.retries, start), allowed, start)

    def _count(self, times: list[float], start: float) -> int:
        end = start + self.allowance.window
        return bisect.bisect_right(times, end) - bisect.bisect_left(
            times, start
        )
