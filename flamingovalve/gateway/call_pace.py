"""What the keeper of a plain service knows of one upstream.

Addresses calls that are late because their upstream is full, slow or stalled
while another has free slots: the response time is estimated from the calls
that all VMs have in progress there.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from flamingovalve.util import clock
from flamingovalve.util.pauses import doubled

# Share of a new observation. Three slow responses move the recent pace by two
# thirds of the way.
_RECENT_WEIGHT: Final = 0.3
_NORMAL_WEIGHT: Final = 0.05
_QUEUE_WEIGHT: Final = 0.05
_FAILING_WEIGHT: Final = 0.15
_MIN_QUEUE_FACTOR: Final = 0.25
_MAX_QUEUE_FACTOR: Final = 4.0
# A recent pace without new observations approaches the normal one.
_RELAX_SECONDS: Final = 2.0
# A stall that lasts this long is the normal pace; most stalls last 2 to 4 s.
_ADAPT_SECONDS: Final = 30.0
# The recent pace is a mean of about six responses, so its deviation is 0.42
# times theirs. Three deviations, and at least this share, are a stall.
_RECENT_DEVIATIONS: Final = 1.3
_MIN_STALL_SHARE: Final = 0.6
# Without an answer, one response time must be exceeded by more.
_SILENCE_DEVIATIONS: Final = 6.0
_MIN_SILENCE_SHARE: Final = 0.8
# An upstream that normally fails one call in seven fails so many in succession
# once in 340 calls.
_FAILURES_OF_STALL: Final = 3
_PROBE_SECONDS: Final = 0.2
_MAX_PROBE_SECONDS: Final = 2.0
# An upstream that normally fails one call in seven stays below this.
_TOLERATED_FAILING: Final = 0.175


@dataclass(slots=True)
class Probe:
    """When calls show whether a stalled upstream has recovered.

    :ivar due_at: time of the next probe call, on the monotonic clock
    :ivar in_progress: number of probe calls in progress
    :ivar failed: probe calls without a response since the last response
    """

    due_at: float = 0
    in_progress: int = 0
    failed: int = 0

    def is_due(self) -> bool:
        """Return whether a call may be sent as a probe."""
        return not self.in_progress and clock.now() >= self.due_at

    def ended(self, *, has_response: bool) -> None:
        """Record the end of a probe call; a failed one delays the next."""
        self.in_progress = max(0, self.in_progress - 1)
        self.failed = 0 if has_response else self.failed + 1
        pause = doubled(_PROBE_SECONDS, self.failed, _MAX_PROBE_SECONDS)
        self.due_at = clock.now() + pause


@dataclass(slots=True)
class UpstreamPace:
    """Calls in progress on one upstream, its pace and its failures.

    The response time of a call is the time of one call without a queue, times
    a load that grows with the calls in progress beyond the slots.

    :ivar slots: calls that it runs concurrently, as registered
    :ivar normal: seconds of a call without a queue
    :ivar recent: the same, of the latest calls
    :ivar deviation: mean deviation of single calls from ``normal``, in seconds
    :ivar queue_factor: growth of the load with the length of the queue; 1 for
        an upstream that serves its queue in order
    :ivar observations: responses that ``normal`` is derived from
    :ivar observed_at: time of the last response, on the monotonic clock
    :ivar in_progress: calls that VMs have in progress there
    :ivar window: calls in progress for which its pace is trusted; grows with
        each response after it is new or has returned
    :ivar failing: exponentially weighted share of failed calls
    :ivar failed_at: time of the last failure or success, on the monotonic clock
    :ivar failures: calls that have failed since the last response
    :ivar silent_since: when the first call after the last response was
        granted, on the monotonic clock; None if there is none
    :ivar is_measured: whether a call has shown the pace of a stalled upstream
    """

    slots: int
    normal: float = 0
    recent: float = 0
    deviation: float = 0
    queue_factor: float = 1
    observations: int = 0
    observed_at: float = field(default_factory=clock.now)
    in_progress: int = 0
    window: float = 1
    failing: float = 0
    failed_at: float = 0
    failures: int = 0
    silent_since: float | None = None
    is_stalled: bool = False
    is_measured: bool = False
    probe: Probe = field(default_factory=Probe)

    def estimate(self, seconds: float) -> None:
        """Set the pace before the first response."""
        self.normal = seconds
        if not self.is_stalled:
            self.recent = seconds

    def doubt(self) -> None:
        """Let the next response count as much as all earlier ones."""
        self.observations = min(self.observations, 1)

    # -- Estimates

    def pace(self) -> float:
        """Return the expected seconds of a call without a queue."""
        if self.is_stalled:
            return self.recent
        age = clock.now() - self.observed_at
        relaxed = math.exp(-age / _RELAX_SECONDS)
        return self.normal + (self.recent - self.normal) * relaxed

    def load(self, calls: int, slots: float) -> float:
        """Return the response time of the last of ``calls``, in paces."""
        return 1 + self.queue_factor * max(0, calls / max(slots, 1) - 1)

    def is_left_out(self) -> bool:
        """Return whether it has stalled and no call has shown its pace yet."""
        return self.is_stalled and not self.is_measured

    def finish_seconds(self) -> float:
        """Return the expected response time of one more call."""
        return self.pace() * self.load(self.in_progress + 1, self.slots)

    def usual_finish_seconds(self) -> float:
        """Return the response time of one more call if it does not stall."""
        load = self.load(self.in_progress + 1, self.slots)
        return min(self.pace(), self.normal) * load

    def trusted_finish_seconds(self) -> float:
        """Return the response time if it had slots for the window only."""
        slots = min(self.slots, self.window)
        return self.pace() * self.load(self.in_progress + 1, slots)

    def failing_share(self) -> float:
        """Return the share of failures beyond those that are tolerated."""
        age = clock.now() - self.failed_at
        failing = self.failing * math.exp(-age / _RELAX_SECONDS)
        return max(0, failing - _TOLERATED_FAILING)

    # -- Calls

    def started(self, *, is_probe: bool) -> int:
        """Count a call as in progress; return the number of such calls."""
        self.in_progress += 1
        self.probe.in_progress += is_probe
        if self.silent_since is None:
            self.silent_since = clock.now()
        return self.in_progress

    def abandoned(self, *, is_probe: bool) -> None:
        """Record that a call ended without success or failure."""
        self.in_progress = max(0, self.in_progress - 1)
        if not self.in_progress:
            self.silent_since = None
        if is_probe:
            self.probe.in_progress = max(0, self.probe.in_progress - 1)

    def answered(self, calls: int, seconds: float, *, is_probe: bool) -> None:
        """Record the response to a call.

        :param calls: calls in progress when it was granted, with it
        :param seconds: time from sending it to the complete response
        """
        self.abandoned(is_probe=False)
        self.silent_since = None
        self.failures = 0
        self._record_failing(0)
        observed = seconds / self.load(calls, self.slots)
        if calls > self.slots and not self.is_stalled:
            self._learn_queue(calls, seconds)
        self._learn_pace(observed)
        if is_probe:
            self.probe.ended(has_response=True)
        self.is_measured = True
        if self.is_stalled and observed <= self._stall_threshold():
            self._return(observed)
        elif self.recent > self._stall_threshold():
            self._stall()
        self.window = min(self.window + 1, 2 * self.slots)

    def failed(
        self,
        granted_at: float,
        remaining: float,
        *,
        is_silent: bool,
        is_probe: bool,
    ) -> None:
        """Record that a call got no usable response.

        It is stalled if no other call was answered since this one was granted,
        and it was silent or has failed several calls in succession. Otherwise
        the fault may be a link of one VM, or one of the failures that are
        normal.

        :param granted_at: when the call was granted, on the monotonic clock
        :param remaining: seconds to its deadline then; the pace that is
            assumed for a stalled upstream, unless it was silent for longer
            than usual and its VM gave up before
        :param is_silent: whether it did not respond or could not be reached
        """
        self._record_failing(1)
        self.failures += 1
        is_certain = is_silent or self.failures >= _FAILURES_OF_STALL
        if is_certain and self.observed_at <= granted_at:
            elapsed = clock.now() - granted_at
            if not is_silent or elapsed < self._stall_threshold():
                elapsed = remaining
            self.recent = max(self.recent, elapsed)
            self._stall()
            self.is_measured = False
        self.abandoned(is_probe=False)
        if is_probe:
            self.probe.ended(has_response=False)

    def check_silence(self) -> None:
        """Treat it as stalled if calls are in progress for too long."""
        if self.silent_since is None or not self.observations:
            return
        silence = clock.now() - self.silent_since
        load = self.load(self.in_progress, self.slots)
        usual = self.recent if self.is_measured else self.normal
        excess = max(
            usual * _MIN_SILENCE_SHARE,
            self.deviation * _SILENCE_DEVIATIONS,
        )
        if silence > (usual + excess) * load:
            self.recent = max(self.recent, silence / load)
            self._stall()
            self.is_measured = False

    # -- Learning

    def _stall(self) -> None:
        if not self.is_stalled:
            self.is_stalled = True
            self.probe.due_at = clock.now()

    def _return(self, observed: float) -> None:
        self.is_stalled = False
        self.recent = observed
        self.window = 0

    def _stall_threshold(self) -> float:
        excess = max(
            self.normal * _MIN_STALL_SHARE,
            self.deviation * _RECENT_DEVIATIONS,
        )
        return self.normal + excess

    def _record_failing(self, failure: int) -> None:
        now = clock.now()
        self.failing *= math.exp((self.failed_at - now) / _RELAX_SECONDS)
        self.failing += (failure - self.failing) * _FAILING_WEIGHT
        self.failed_at = now

    def _learn_pace(self, observed: float) -> None:
        now = clock.now()
        self.observations += 1
        weight = max(_NORMAL_WEIGHT, 1 / self.observations)
        if self.is_stalled:
            self.recent = observed
            weight = 1 - math.exp((self.observed_at - now) / _ADAPT_SECONDS)
        else:
            recent_weight = max(_RECENT_WEIGHT, 1 / self.observations)
            pace = self.pace()
            self.recent = pace + (observed - pace) * recent_weight
            self._learn_deviation(observed, weight)
        self.normal += (observed - self.normal) * weight
        self.observed_at = now

    def _learn_deviation(self, observed: float, weight: float) -> None:
        if self.observations > 1:
            distance = abs(observed - self.normal)
            self.deviation += (distance - self.deviation) * weight

    def _learn_queue(self, calls: int, seconds: float) -> None:
        if not self.observations:
            return
        growth = seconds / self.pace() - 1
        observed = growth / (calls / max(self.slots, 1) - 1)
        factor = self.queue_factor
        factor += (observed - factor) * _QUEUE_WEIGHT
        self.queue_factor = min(
            max(factor, _MIN_QUEUE_FACTOR), _MAX_QUEUE_FACTOR
        )
