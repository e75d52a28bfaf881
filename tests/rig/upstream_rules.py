"""Checks the history of an upstream against what it has announced."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from standins.announcing import Answer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from standins.announcing import Arrival, History

CONTACT_SECONDS: Final = 3.0
DRAIN_SECONDS: Final = 2.0
_WINDOW_SECONDS: Final = 4.0
_EXCESS_FACTOR: Final = 1.5
_EXCESS_REQUESTS: Final = 5
_TOLD_SECONDS: Final = 0.5
_REQUESTS_IN_REST: Final = 2


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A restart, pause or partition of a VM, which excuses it meanwhile.

    :ivar is_partition: whether its process ran all the while
    """

    vm: str
    begins: float
    ends: float
    is_partition: bool = False


class Disturbances:
    """The disturbances of all VMs during a run."""

    def __init__(self, disturbances: Iterable[Disturbance] = ()) -> None:
        """Start with ``disturbances``."""
        self.entries = list(disturbances)

    def excuse(self, vm: str, begins: float, ends: float) -> bool:
        """Return whether a VM was disturbed in a time, or just before."""
        return any(
            entry.vm == vm
            and entry.begins <= ends
            and entry.ends >= begins - CONTACT_SECONDS
            for entry in self.entries
        )

    def interrupt(self, vm: str, begins: float, ends: float) -> bool:
        """Return whether a VM was restarted or paused in a time."""
        return any(
            entry.vm == vm
            and not entry.is_partition
            and entry.begins <= ends
            and entry.ends >= begins
            for entry in self.entries
        )


def limit_violations(
    name: str,
    history: History,
    disturbances: Disturbances,
) -> list[str]:
    """Return the excess over a rate limit of each time it is announced.

    From ``CONTACT_SECONDS`` after an upstream first announced a limit, the VMs
    that have received an announcement for half a second may together send it
    one and a half times the limit, and five requests, in any four seconds.
    """
    return [
        violation
        for period in _limit_periods(history.answers)
        for violation in _period_violations(
            name, history.arrivals, period, disturbances
        )
    ]


def _limit_periods(answers: list[Answer]) -> list[list[Answer]]:
    """Return the answers of each time in which a limit was announced.

    An answer on a path that never announces a limit does not end it.
    """
    paths = {a.path for a in answers if a.announced.rate_limit is not None}
    periods: list[list[Answer]] = [[]]
    for answer in answers:
        if answer.announced.rate_limit is not None:
            periods[-1].append(answer)
        elif answer.path in paths and periods[-1]:
            periods.append([])
    return [period for period in periods if period]


def _period_violations(
    name: str,
    arrivals: list[Arrival],
    period: list[Answer],
    disturbances: Disturbances,
) -> list[str]:
    begins = period[0].at + CONTACT_SECONDS
    told: dict[str, float] = {}
    for answer in period:
        told.setdefault(answer.sender, answer.at)
    times = [arrival.at for arrival in arrivals]
    for last, arrival in enumerate(arrivals):
        if not begins <= arrival.at <= period[-1].at:
            continue
        oldest = arrival.at - _WINDOW_SECONDS
        counted = [
            one
            for one in arrivals[bisect_left(times, oldest) : last + 1]
            if told.get(one.sender, arrival.at) <= arrival.at - _TOLD_SECONDS
            and not disturbances.excuse(one.sender, oldest, arrival.at)
        ]
        allowed = _allowed(period, arrival.at)
        if len(counted) > allowed:
            paths = Counter(one.path.split('/')[1] for one in counted)
            return [
                f'{name} got {len(counted)} requests in 4 s at '
                f'{arrival.at:.3f}; allowed {allowed:.1f}: {dict(paths)}'
            ]
    return []


def _allowed(period: list[Answer], ends: float) -> float:
    """Return the number of requests allowed in the window that ends then.

    A lower limit counts from half a second after it was first announced.
    """
    step = 0.1
    total = 0.0
    for tenth in range(round(_WINDOW_SECONDS / step)):
        moment = ends - tenth * step
        total += step * max(_limits_around(period, moment))
    return _EXCESS_FACTOR * total + _EXCESS_REQUESTS


def _limits_around(period: list[Answer], moment: float) -> list[float]:
    known = [a for a in period if a.at <= moment] or period[:1]
    recent = [a for a in known if a.at >= moment - _TOLD_SECONDS]
    # The limit in force half a second ago still counts.
    older = [a for a in known if a.at < moment - _TOLD_SECONDS][-1:]
    return [a.announced.rate_limit or 0 for a in (*older, *recent)]


def rest_violations(
    name: str,
    history: History,
    disturbances: Disturbances,
) -> list[str]:
    """Return the rests that an upstream asked for and did not get.

    From half a second after a rejection with a rest to the end of the rest, at
    most two requests may arrive from the VM that was rejected.
    """
    broken = []
    for answer in history.answers:
        ends = answer.at + answer.announced.rest_seconds
        if disturbances.excuse(answer.sender, answer.at, ends):
            continue
        counted = [
            arrival.path.split('/')[1]
            for arrival in history.arrivals
            if arrival.sender == answer.sender
            and answer.at + _TOLD_SECONDS < arrival.at <= ends
        ]
        if len(counted) > _REQUESTS_IN_REST:
            broken.append(
                f'{name} got {len(counted)} requests from {answer.sender} '
                f'in its rest from {answer.at:.3f}: {dict(Counter(counted))}'
            )
    return broken


def leaving_violations(
    name: str,
    history: History,
    disturbances: Disturbances,
    sent_at_by_request: dict[str, float],
) -> list[str]:
    """Return the requests that reached an upstream long after it left.

    A request that its caller sent later than ``DRAIN_SECONDS`` after a VM was
    told that the upstream is leaving must not reach it from that VM. A
    partition excuses nothing, a restart or a pause since then does.
    """
    told: dict[str, float] = {}
    broken = []
    events = sorted(
        [*history.arrivals, *history.answers], key=lambda event: event.at
    )
    for event in events:
        if isinstance(event, Answer):
            if event.announced.is_leaving:
                told.setdefault(event.sender, event.at)
            elif event.path not in history.silent_paths:
                told.pop(event.sender, None)
            continue
        told_at = told.get(event.sender, float('inf'))
        sent_at = sent_at_by_request.get(event.request_id, float('-inf'))
        if sent_at <= told_at + DRAIN_SECONDS:
            continue
        if disturbances.interrupt(event.sender, told_at, event.at):
            continue
        broken.append(
            f'{name} got {event.request_id} from {event.sender}, sent '
            f'{sent_at - told_at:.2f} s after it was told of its leaving'
        )
    return broken
