"""Smoothed rates and durations, and token buckets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    import random

_JITTER: Final = 0.1


def jittered(rng: random.Random, seconds: float) -> float:
    """Return ``seconds`` with jitter, so that VMs do not synchronise."""
    return seconds * rng.uniform(1 - _JITTER, 1 + _JITTER)


class DecayingRate:
    """Events per second, averaged with exponentially decaying weights."""

    __slots__ = ('_at', '_half_life', '_rate', 'rank')

    def __init__(self, half_life: float) -> None:
        """Decay by half every ``half_life`` seconds."""
        self._half_life = half_life
        self._rate = 0.0
        self._at = clock.now()
        # Sort key for rates of the same half-life. All of them decay alike, so
        # their order changes only when one of them counts an event, and none
        # has to be decayed for a comparison.
        self.rank = float('-inf')

    def add(self, amount: float = 1) -> None:
        """Count ``amount`` events now."""
        self._decay()
        self._rate += amount * math.log(2) / self._half_life
        self.rank = math.log2(self._rate) + self._at / self._half_life

    def per_second(self) -> float:
        """Return the current rate."""
        self._decay()
        return self._rate

    def _decay(self) -> None:
        now = clock.now()
        elapsed = now - self._at
        if elapsed > 0:
            self._rate *= 0.5 ** (elapsed / self._half_life)
            self._at = now


class TokenBucket:
    """Allows a sustained rate and bursts above it."""

    __slots__ = ('_at', '_burst', '_rate', '_tokens')

    def __init__(self, rate: float, burst: float) -> None:
        """Allow ``rate`` events per second and ``burst`` at once."""
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._at = clock.now()

    def take(self) -> float:
        """Take one token, or return the seconds until one is available.

        :returns: 0 when the token was taken
        """
        now = clock.now()
        gained = (now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return (1 - self._tokens) / self._rate


class SmoothedSeconds:
    """A smoothed duration and its mean deviation, as TCP estimates them."""

    __slots__ = ('deviation', 'mean')

    def __init__(self, initial_estimate: float) -> None:
        """Start from ``initial_estimate`` seconds."""
        self.mean = initial_estimate
        self.deviation = initial_estimate / 2

    def add(self, seconds: float) -> None:
        """Update the estimate with one measured duration."""
        error = seconds - self.mean
        self.mean += error / 8
        self.deviation += (abs(error) - self.deviation) / 4

    def low(self) -> float:
        """Return a duration that most measurements exceed."""
        return max(self.mean - 2 * self.deviation, 0)
