"""Learns which prompts make the streams beside them pause for too long.

Addresses long prompts among short streams: an engine processes a prompt in
pieces between the tokens of its streams, so a long prompt makes all of them
pause. Sizes and durations of the pieces are not published. The owner observes
how often streams paused too long, by the prefill time of the longest prompt
that they met, and long prompts gather where they delay few streams.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.gateway.learning import MeanSeconds
from flamingovalve.generated.messages import PlaceOutcome
from flamingovalve.util import clock
from flamingovalve.util.rates import DecayingRate

if TYPE_CHECKING:
    from flamingovalve.generated.ids import RequestId
    from flamingovalve.generated.messages import PlaceAsk, PlaceEnd
    from flamingovalve.generated.settings import GatewaySettings

# Bucket n holds prefill times from this times 2**(n-1); bucket 0 holds shorter
# ones, which fit into one or two steps of an engine's batch.
_SMALLEST_SECONDS: Final = 0.0625
_BUCKETS: Final = 8
_ALL: Final = range(_BUCKETS)
# "A few dozen": with fewer streams, one late stream would change the choice of
# engines for all prompts.
_MIN_STREAMS: Final = 24
# The counts of a bucket are halved at this number of streams, so that a
# changed relation shows after as many streams.
_MAX_STREAMS: Final = 128
_UPDATE_STREAMS: Final = 8
# A bucket starts with the probability of the next smaller one, as if this
# many streams had been observed with it.
_PRIOR_STREAMS: Final = 4
_INITIAL_STREAM_SECONDS: Final = 1.0
_RATE_HALF_LIFE_SECONDS: Final = 10.0
# A risk that is this old is computed again; the rates change more slowly.
_RISK_SECONDS: Final = 0.25
# Bound of the number of streams that a prompt can count as late: long prompts
# are served, however many streams run.
_MAX_LATE_STREAMS: Final = 3.0
# Weight of the probability that other prompts delay a long prompt beyond its
# target. It outweighs the streams of an engine that processes no prompt.
_LATE_PROMPT_WEIGHT: Final = 8.0
# Below this probability, a prompt is not worth a distinction of engines.
_MIN_PROBABILITY: Final = 0.01


def paused_too_long(ask: PlaceAsk, end: PlaceEnd) -> bool:
    """Return whether the longest pause of a stream exceeded its target."""
    return 0 < ask.max_event_gap < end.max_gap


class StreamGaps:
    """How often streams of a group pause too long, by the prompts they met.

    :ivar is_enabled: whether pauses have a cost
    :ivar probabilities: additional probability of a late stream for each
        bucket, compared with a stream that met no long prompt
    :ivar harmful_seconds: shortest prefill with a probability that counts;
        infinite if there is none
    """

    def __init__(self, *, is_enabled: bool) -> None:
        """Start without observations."""
        self.is_enabled = is_enabled
        self.probabilities = _zeros()
        self.harmful_seconds = float('inf')
        self.stream_seconds = MeanSeconds(_INITIAL_STREAM_SECONDS)
        self._observed = 0
        self._streams = _zeros()
        self._late = _zeros()

    @classmethod
    def from_config(cls, settings: GatewaySettings) -> StreamGaps:
        """Return the relation for one group, switched by ``stream_gaps``."""
        return cls(is_enabled=settings.stream_gaps)

    def record(self, bucket: int, seconds: float, *, is_late: bool) -> None:
        """Record the end of a stream.

        :param bucket: bucket of the longest prompt that it met
        :param seconds: how long it ran
        """
        self.stream_seconds.record(seconds)
        self._observed += 1
        self._streams[bucket] += 1
        self._late[bucket] += is_late
        if self._streams[bucket] >= _MAX_STREAMS:
            self._streams[bucket] /= 2
            self._late[bucket] /= 2
        # Every few streams suffice, and each end of a request costs less.
        if (
            self._observed >= _MIN_STREAMS
            and not self._observed % _UPDATE_STREAMS
        ):
            self._update_probabilities()

    def state_dump(self) -> dict[str, Any]:
        """Return the learned relation as JSON values."""
        return {
            'observed': self._observed,
            'stream_seconds': self.stream_seconds.mean,
            'late_probabilities': {
                f'{_shortest_seconds(bucket):g}': round(share, 3)
                for bucket, share in enumerate(self.probabilities)
                if bucket
            },
        }

    def _update_probabilities(self) -> None:
        """Derive the probabilities; a longer prompt never has a lower one."""
        base = self._share_late(0, 0)
        lower = base
        self.harmful_seconds = float('inf')
        for bucket in range(1, _BUCKETS):
            lower = max(lower, self._share_late(bucket, lower))
            self.probabilities[bucket] = lower - base
            if lower - base >= _MIN_PROBABILITY:
                self.harmful_seconds = min(
                    self.harmful_seconds, _shortest_seconds(bucket)
                )

    def _share_late(self, bucket: int, prior: float) -> float:
        late = self._late[bucket] + _PRIOR_STREAMS * prior
        return late / (self._streams[bucket] + _PRIOR_STREAMS)


class EngineStreams:
    """The running streams of one engine and the prompts that they meet."""

    def __init__(self, gaps: StreamGaps) -> None:
        """Start without streams.

        :param gaps: what the group has learned
        """
        self._gaps = gaps
        self._met_by_id: dict[RequestId, int] = {}
        self._ids_by_met: list[set[RequestId]] = [set() for _ in _ALL]
        self._busy_until = _zeros()
        self._all_done_at = 0.0
        self._rates = [DecayingRate(_RATE_HALF_LIFE_SECONDS) for _ in _ALL]
        self._risk = 0.0
        self._risk_valid_until = 0.0

    def start(self, ask: PlaceAsk, prefill: float, backlog: float) -> None:
        """Record that a request was sent to the engine.

        :param prefill: expected seconds of its prefill
        :param backlog: seconds until its prefill should be done
        """
        if not self._gaps.is_enabled:
            return
        met = self._largest_prompt()
        bucket = _bucket_of(prefill)
        if bucket:
            self._record_prompt(bucket, clock.now() + backlog)
        if ask.max_event_gap > 0:
            self._met_by_id[ask.request_id] = met
            self._ids_by_met[met].add(ask.request_id)

    def record_end(self, ask: PlaceAsk, end: PlaceEnd, seconds: float) -> None:
        """Learn from a stream that is about to end.

        A stream that did not finish counts only if it paused: its other
        pauses are not known.

        :param seconds: how long it had its place
        """
        met = self._met_by_id.get(ask.request_id)
        if met is None:
            return
        is_late = paused_too_long(ask, end)
        if is_late or end.outcome is PlaceOutcome.FINISHED:
            self._gaps.record(met, seconds, is_late=is_late)

    def end(self, ask: PlaceAsk) -> None:
        """Record that a request has ended; a repeated call has no effect."""
        met = self._met_by_id.pop(ask.request_id, None)
        if met is not None:
            self._ids_by_met[met].discard(ask.request_id)

    def clear_prompts(self) -> None:
        """Forget the prompts in progress after a restart of the engine."""
        self._busy_until = _zeros()
        self._all_done_at = 0.0
        self._risk_valid_until = 0

    def have_cost(self) -> bool:
        """Return whether some prompts are known to make streams late."""
        return self._gaps.harmful_seconds < math.inf

    def are_delayed_by(self, prefill: float) -> bool:
        """Return whether a prompt of that prefill time makes streams late."""
        return prefill >= self._gaps.harmful_seconds

    def late_responses(self, prefill: float, queue_late: float) -> float:
        """Return the expected late responses if a long prompt is sent here.

        A long prompt that would be late because of the queue here has a cost
        like that of the streams that it could make late elsewhere: otherwise
        long prompts would queue on one engine while others process none.

        :param prefill: expected seconds of its prefill
        :param queue_late: probability that the queue makes the prompt late
        :returns: the streams that the prompt makes late, up to a bound, plus
            the weighted probability that the queue makes the prompt late
        """
        streams = self.late_streams(prefill)
        bounded = streams / (1 + streams / _MAX_LATE_STREAMS)
        return bounded + queue_late * _LATE_PROMPT_WEIGHT

    def late_streams(self, prefill: float) -> float:
        """Return the expected number of streams that a prompt makes late.

        :param prefill: expected seconds of its prefill
        """
        bucket = _bucket_of(prefill)
        shares = self._gaps.probabilities
        return sum(
            len(self._ids_by_met[met]) * (shares[bucket] - shares[met])
            for met in range(bucket)
        )

    def risk(self) -> float:
        """Return the probability that a new stream pauses too long here."""
        now = clock.now()
        if now >= self._risk_valid_until:
            self._risk = self._compute_risk()
            self._risk_valid_until = now + _RISK_SECONDS
        return self._risk

    def _compute_risk(self) -> float:
        shares = self._gaps.probabilities
        met = self._largest_prompt()
        risk = 0.0
        unmet = 1.0
        for bucket in range(_BUCKETS - 1, met, -1):
            expected = self._rates[bucket].per_second()
            expected *= self._gaps.stream_seconds.mean
            still_unmet = unmet * math.exp(-expected)
            risk += (unmet - still_unmet) * shares[bucket]
            unmet = still_unmet
        return risk + unmet * shares[met]

    def _record_prompt(self, bucket: int, done_at: float) -> None:
        self._rates[bucket].add()
        self._busy_until[bucket] = max(self._busy_until[bucket], done_at)
        self._all_done_at = max(self._all_done_at, done_at)
        self._risk_valid_until = 0
        reached = self._ids_by_met[bucket]
        for smaller in self._ids_by_met[:bucket]:
            for request_id in smaller:
                self._met_by_id[request_id] = bucket
            reached.update(smaller)
            smaller.clear()

    def _largest_prompt(self) -> int:
        """Return the bucket of the longest prompt queued or in progress."""
        now = clock.now()
        if self._all_done_at <= now:
            return 0
        for bucket in range(_BUCKETS - 1, 0, -1):
            if self._busy_until[bucket] > now:
                return bucket
        return 0


def _shortest_seconds(bucket: int) -> float:
    return _SMALLEST_SECONDS * 2 ** (bucket - 1)


def _zeros() -> list[float]:
    return [0.0 for _ in _ALL]


def _bucket_of(prefill: float) -> int:
    if prefill < _SMALLEST_SECONDS:
        return 0
    return min(math.frexp(prefill / _SMALLEST_SECONDS)[1], _BUCKETS - 1)
