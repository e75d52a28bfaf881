"""Which requests a leaving VM still sends, and which it refuses.

A request whose run outlasts the grace period would be cut without an answer.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.gateway.model import RepeatPolicy
from flamingovalve.gateway.run_durations import RunDurations
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from types import TracebackType

    from flamingovalve.gateway.inbound import InboundRequest

logger = get_logger(__name__)

_POLL_SECONDS: Final = 0.05
# Runs vary; one that may not be repeated has to end in any case.
_MARGIN: Final = 1.5
_MARGIN_SECONDS: Final = 0.1
# Other VMs have removed this one from their directory responses by then.
_RETRY_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class _Served:
    """A request and the task that serves it."""

    request: InboundRequest
    task: curio.Task


class GracePeriod:
    """The time in which a leaving VM completes requests.

    :ivar ends_at: when the VM stops, on the monotonic clock; infinite unless
        it is leaving
    :ivar durations: how long runs take
    """

    def __init__(self) -> None:
        """Start on a VM that is not leaving."""
        self.ends_at = math.inf
        self.durations = RunDurations()
        self._served: dict[int, _Served] = {}

    def fits(self, request: InboundRequest) -> bool:
        """Return whether a run that starts now ends within the grace period.

        It does if the request's own deadline comes first. Otherwise, runs of
        its route show how long it takes: the longest one for a request that
        may run only once, the mean for those that may be repeated or resumed.
        If there are none, it is taken to need all of its time.
        """
        left = self.ends_at - clock.now()
        return request.remaining() <= left or self._expected(request) <= left

    def _expected(self, request: InboundRequest) -> float:
        route = request.route
        is_once = route.repeat is RepeatPolicy.ONCE
        durations = self.durations
        known = (durations.longest if is_once else durations.mean)(route.name)
        if known is None:
            return request.remaining()
        return known * _MARGIN + _MARGIN_SECONDS

    def guard(self, request: InboundRequest) -> RequestGuard:
        """Return a context that refuses a request which cannot end in time."""
        return RequestGuard(self, request)

    async def add(self, request: InboundRequest) -> None:
        """Watch a request that the current task serves."""
        self._served[id(request)] = _Served(request, await curio.current_task())

    def remove(self, request: InboundRequest) -> None:
        """Watch a request no longer."""
        del self._served[id(request)]

    async def refuse_late_forever(self) -> None:
        """Refuse the requests that wait and can no longer end in time."""
        while True:
            for served in list(self._served.values()):
                request = served.request
                if request.awaits_send and not self.fits(request):
                    request.awaits_send = False
                    request.is_refused = True
                    await served.task.cancel(exc=_TooLate, blocking=False)
            await curio.sleep(_POLL_SECONDS)


class RequestGuard:
    """Serves one request within the grace period, as a context."""

    def __init__(self, grace: GracePeriod, request: InboundRequest) -> None:
        """Guard ``request``, which the current task serves."""
        self._grace = grace
        self._request = request

    async def __aenter__(self) -> None:
        """Check the request.

        :raises ServingError: if it cannot end within the grace period
        """
        if not self._grace.fits(self._request):
            raise leaving_error(self._request)
        await self._grace.add(self._request)

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """Watch the request no longer.

        :raises ServingError: if it was refused while it waited
        """
        self._grace.remove(self._request)
        if isinstance(error, _TooLate):
            raise leaving_error(self._request) from error
        if self._request.is_refused:
            # It ended in another way before the cancellation reached it.
            async with curio.disable_cancellation():
                await curio.check_cancellation(_TooLate)


class _TooLate(curio.TaskCancelled):
    """A request can no longer end within the grace period."""


def leaving_error(request: InboundRequest) -> ServingError:
    """Return the error for a request that is not sent any more."""
    note(
        logger,
        'refused, it would outlast the grace period',
        id=request.id,
        route=request.route.name,
        tried=len(request.tried),
        left=round(request.remaining(), 3),
    )
    return ServingError(
        ErrorKind.LEAVING,
        'this VM is leaving; send the request to another VM',
        ran=Ran.UNKNOWN if request.tried else Ran.NOT,
        retry_after=_RETRY_SECONDS,
    )
