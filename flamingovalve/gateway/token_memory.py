"""The tokens of the requests on an engine, against the engine's memory.

Addresses long prompts that gather on an engine: it crashes if the requests
that it holds need more tokens than it has memory for, and all of them fail.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.prompts import part_keys
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId, RequestId
    from flamingovalve.generated.messages import PlaceAsk

# Assumed time of one token of a response with others beside it. The output of
# an engine that is faster is underestimated; ends of places don't tell it.
_MIN_SECONDS_PER_TOKEN: Final = 0.01
# The share of the limit is taken as 1 before this many responses were seen.
_MIN_SAMPLES: Final = 30
# Weight of earlier responses when one is added; about the last 200 count.
_DECAY: Final = 0.995
# Lengths of the responses in progress scatter around their mean.
_MARGIN: Final = 1.2


class OutputShare:
    """Learns which share of their limit responses generate.

    Callers state the most tokens that a response may have, which can be many
    times what is generated. If the limits were counted, engines would seem
    full that are half empty.
    """

    def __init__(self) -> None:
        """Start with an estimate of 1, the whole limit."""
        self._samples = 0
        self._generated = 0.0
        self._weighted_share = 0.0

    @property
    def estimate(self) -> float:
        """Share of the limit that a response in progress will generate.

        A response is in progress in proportion to its length, so longer ones
        weigh more than in the mean of all responses.
        """
        if self._samples < _MIN_SAMPLES or not self._generated:
            return 1.0
        return min(_MARGIN * self._weighted_share / self._generated, 1.0)

    def record(self, limit: int, seconds: float) -> None:
        """Record a complete response.

        Ends of places don't tell how many tokens were generated, so the most
        that can have been generated in ``seconds`` are counted.

        :param limit: most tokens that it might have
        :param seconds: time in which they were generated
        """
        if limit <= 0 or seconds <= 0:
            return
        generated = min(limit, seconds / _MIN_SECONDS_PER_TOKEN)
        self._samples += 1
        self._generated = self._generated * _DECAY + generated
        self._weighted_share = (
            self._weighted_share * _DECAY + generated * generated / limit
        )

    def tokens(self, ask: PlaceAsk) -> float:
        """Return the tokens that the response to ``ask`` may generate.

        It is cut off at its deadline, which bounds them too.
        """
        in_time = ask.remaining / _MIN_SECONDS_PER_TOKEN
        return min(ask.output_tokens * self.estimate, max(in_time, 0))


@dataclass(slots=True)
class _SharedPart:
    """A prompt part in memory that several requests use.

    :ivar uses: number of those requests
    :ivar ready_at: when its prefill should be done, on the monotonic clock;
        requests that begin earlier may process it once more
    """

    tokens: int
    ready_at: float
    uses: int = 0


@dataclass(frozen=True, slots=True)
class _Reservation:
    """What one request was counted with: its own tokens and shared parts."""

    own: float
    parts: list[tuple[AdapterId, str]]


@dataclass(slots=True)
class TokenMemory:
    """Counts the tokens of the places on one engine.

    :ivar used: tokens of all places, shared parts counted once
    :ivar is_short: whether a request did not fit since a place was last
        given back
    :ivar shortages: how often that came to be the case
    """

    outputs: OutputShare = field(default_factory=OutputShare)
    used: float = 0
    is_short: bool = False
    shortages: int = 0
    _parts: dict[tuple[AdapterId, str], _SharedPart] = field(
        default_factory=dict
    )
    _by_request: dict[RequestId, _Reservation] = field(default_factory=dict)

    def fits(self, ask: PlaceAsk, capacity: int) -> bool:
        """Return whether a request fits beside those that run.

        :param capacity: tokens that the engine has memory for; 0 for no bound
        """
        if not capacity:
            return True
        free = capacity - self.used - self.outputs.tokens(ask)
        if ask.prompt_tokens <= free:
            return True
        shared = sum(self._parts[key].tokens for key in self._shared(ask))
        if ask.prompt_tokens - shared <= free:
            return True
        self.shortages += not self.is_short
        self.is_short = True
        return False

    def is_too_large(self, ask: PlaceAsk, capacity: int) -> bool:
        """Return whether a request does not even fit on an idle engine."""
        if not capacity:
            return False
        return ask.prompt_tokens + self.outputs.tokens(ask) > capacity

    def is_full(self, capacity: int) -> bool:
        """Return whether there is no room for any request."""
        return 0 < capacity <= self.used

    def take(self, ask: PlaceAsk, prefill_seconds: float) -> None:
        """Count a request.

        :param prefill_seconds: expected time until its prompt is processed
        """
        own = ask.prompt_tokens + self.outputs.tokens(ask)
        now = clock.now()
        keys = []
        for path, tokens in part_keys(ask):
            key = (ask.adapter, path)
            part = self._parts.get(key)
            if part is None:
                part = _SharedPart(tokens, now + prefill_seconds)
                self._parts[key] = part
                self.used += tokens
            elif part.ready_at > now:
                break
            own -= tokens
            part.uses += 1
            keys.append(key)
        own = max(own, 0)
        self.used += own
        self._by_request[ask.request_id] = _Reservation(own, keys)

    def give_back(self, request_id: RequestId) -> None:
        """Count a request no longer; a repeated call has no effect."""
        reserved = self._by_request.pop(request_id, None)
        if reserved is None:
            return
        self.is_short = False
        self.used -= reserved.own
        for key in reserved.parts:
            part = self._parts[key]
            part.uses -= 1
            if not part.uses:
                self.used -= part.tokens
                del self._parts[key]
        if not self._by_request:
            # Sums of fractions leave remainders.
            self.used = 0

    def _shared(self, ask: PlaceAsk) -> list[tuple[AdapterId, str]]:
        """Return the leading parts that are in memory for other requests."""
        now = clock.now()
        keys = []
        for path, _tokens in part_keys(ask):
            key = (ask.adapter, path)
            part = self._parts.get(key)
            if part is None or part.ready_at > now:
                break
            keys.append(key)
        return keys
