"""Smoothed rates and token buckets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    import random

_JITTER: Final = 0.1


def jittered(chance: random.Random, seconds: float) -> float:
    """Give about ``seconds``, so that VMs do not act in step."""
    return seconds * chance.uniform(1 - _JITTER, 1 + _JITTER)


class DecayingRate:
    """Events a second, averaged with exponentially fading weights."""

    __slots__ = ('_at', '_half_life', '_rate', 'rank')

    def __init__(self, half_life: float) -> None:
        """Fade by half every ``half_life`` seconds."""
        self._half_life = half_life
        self._rate = 0.0
        self._at = clock.now()
        # Orders rates of one half-life without fading each of them: all fade
        # alike, so their order changes only when one of them counts.
        self.rank = float('-inf')

    def add(self, amount: float = 1) -> None:
        """Count ``amount`` events now."""
        self._fade()
        self._rate += amount * math.log(2) / self._half_life
        self.rank = math.log2(self._rate) + self._at / self._half_life

    def per_second(self) -> float:
        """Give the rate as of now."""
        self._fade()
        return self._rate

    def _fade(self) -> None:
        moment = clock.now()
        elapsed = moment - self._at
        if elapsed > 0:
            self._rate *= 0.5 ** (elapsed / self._half_life)
            self._at = moment


class TokenBucket:
    """Allows a sustained rate and a burst above it."""

    __slots__ = ('_at', '_burst', '_rate', '_tokens')

    def __init__(self, rate: float, burst: float) -> None:
        """Allow ``rate`` events a second and ``burst`` at once."""
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._at = clock.now()

    def take(self) -> float:
        """Take one token, or give the seconds until one is there.

        :returns: 0 when the token was taken
        """
        moment = clock.now()
        gained = (moment - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = moment
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return (1 - self._tokens) / self._rate


class SmoothedSeconds:
    """A smoothed duration and its mean deviation, as TCP keeps them."""

    __slots__ = ('deviation', 'mean')

    def __init__(self, first_guess: float) -> None:
        """Start from ``first_guess`` seconds."""
        self.mean = first_guess
        self.deviation = first_guess / 2

    def add(self, seconds: float) -> None:
        """Take one measured duration into account."""
        error = seconds - self.mean
        self.mean += error / 8
        self.deviation += (abs(error) - self.deviation) / 4

    def low(self) -> float:
        """Give a duration that most measurements exceed."""
        return max(self.mean - 2 * self.deviation, 0)
