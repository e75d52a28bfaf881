"""Learns how long the engines of a group take to process a prompt.

Addresses long prompts whose first events are later than estimated: the cost of
a token, of a pair of tokens and of a request itself differ between deployments
by a factor of two to four, and long prompts cost several times as much per
token as short ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, NamedTuple

from flamingovalve.generated.settings import GatewaySettings

if TYPE_CHECKING:
    from flamingovalve.generated.messages import PlaceAsk

# The attention to earlier tokens makes the cost grow with the square of the
# length of a prompt.
_INITIAL_SECONDS_PER_PAIR: Final = 0.737e-9
# Learned values stay within these factors of the initial ones, and the fixed
# part below this time. What lies beyond has causes other than the prompt.
_MIN_FACTOR: Final = 0.3
_MAX_FACTOR: Final = 4.0
_MAX_FIXED_SECONDS: Final = 0.2
# The values are kept for these units, so that all are of a similar size.
_TOKENS_UNIT: Final = 1e4
_PAIRS_UNIT: Final = 1e8
# Standard deviations of the initial values, in seconds for each unit: the two
# kinds of engines measured differ from the initial values by up to these.
_INITIAL_DEVIATIONS: Final = (0.04, 0.1, 0.06)
# Standard deviation of a first event: a part that does not depend on the
# prompt, and a share of the expected time.
_NOISE_SECONDS: Final = 0.01
_NOISE_SHARE: Final = 0.15
# A deviation counts as at most this many standard deviations: a first event may
# be late because of requests that the owner does not know of.
_MAX_DEVIATIONS: Final = 2.0
# Old first events count half after some 140 newer ones.
_MEMORY: Final = 0.995


class PromptSize(NamedTuple):
    """What the prefill of a prompt costs an engine.

    :ivar tokens: tokens that are not in the engine's prefix cache
    :ivar pairs: pairs of such a token and a token of the prompt
    """

    tokens: int
    pairs: int


class PrefillModel:
    """Time to a first event without queue or load, for engines of a group.

    The values are fitted by recursive least squares with a bounded memory.

    :ivar is_learning: whether measured first events change the values
    :ivar fixed_seconds: part of a first event that does not occupy the engine
    """

    def __init__(self, tokens_per_second: float, *, is_learning: bool) -> None:
        """Start from initial estimates.

        :param tokens_per_second: prefill speed without the cost of pairs
        """
        self.is_learning = is_learning
        per_unit = _TOKENS_UNIT / tokens_per_second
        pairs_per_unit = _INITIAL_SECONDS_PER_PAIR * _PAIRS_UNIT
        self._terms = [0, per_unit, pairs_per_unit]
        self._bounds = (
            (0, _MAX_FIXED_SECONDS),
            (per_unit * _MIN_FACTOR, per_unit * _MAX_FACTOR),
            (pairs_per_unit * _MIN_FACTOR, pairs_per_unit * _MAX_FACTOR),
        )
        self._read_terms()
        self._covariance = [
            [deviation**2 if row == column else 0 for column in range(3)]
            for row, deviation in enumerate(_INITIAL_DEVIATIONS)
        ]

    @classmethod
    def from_config(cls, settings: GatewaySettings) -> PrefillModel:
        """Return the model of one group, switched by ``stream_gaps``."""
        return cls(
            settings.prefill_tokens_per_second,
            is_learning=settings.stream_gaps,
        )

    def prefill_seconds(self, size: PromptSize) -> float:
        """Return the seconds for which a prompt occupies an engine of pace 1."""
        tokens, pairs = size
        return tokens * self._per_token + pairs * self._per_pair

    def record(self, size: PromptSize, pace: float, seconds: float) -> None:
        """Learn from a first event that met no queue and no load.

        :param pace: pace of its engine
        :param seconds: time from sending the request to the first event
        """
        if not self.is_learning:
            return
        inputs = (
            1,
            size.tokens * pace / _TOKENS_UNIT,
            size.pairs * pace / _PAIRS_UNIT,
        )
        expected = _dot(self._terms, inputs)
        spread = [_dot(row, inputs) for row in self._covariance]
        noise = (_NOISE_SECONDS + _NOISE_SHARE * expected) ** 2
        variance = _dot(spread, inputs) + noise
        largest = _MAX_DEVIATIONS * variance**0.5
        error = max(-largest, min(largest, seconds - expected))
        self._correct([share / variance for share in spread], error)
        self._read_terms()
        self._narrow(spread, variance)

    def state_dump(self) -> dict[str, Any]:
        """Return the learned values as JSON values."""
        return {
            'fixed_seconds': self.fixed_seconds,
            'seconds_per_token': self._per_token,
            'seconds_per_token_pair': self._per_pair,
        }

    def _read_terms(self) -> None:
        """Convert the values for the choice of engines, which is frequent."""
        fixed, per_unit, pairs_per_unit = self._terms
        self.fixed_seconds = fixed
        self._per_token = per_unit / _TOKENS_UNIT
        self._per_pair = pairs_per_unit / _PAIRS_UNIT

    def _correct(self, gains: list[float], error: float) -> None:
        for index, (lowest, highest) in enumerate(self._bounds):
            term = self._terms[index] + gains[index] * error
            self._terms[index] = max(lowest, min(highest, term))

    def _narrow(self, spread: list[float], variance: float) -> None:
        """Reduce the uncertainty by one observation and forget a little.

        Nothing is forgotten beyond the initial uncertainty: otherwise the
        pairs would become arbitrary while no long prompt arrives.
        """
        for row, row_spread in enumerate(spread):
            for column, column_spread in enumerate(spread):
                reduction = row_spread * column_spread / variance
                self._covariance[row][column] -= reduction
        if all(
            self._covariance[index][index] < deviation**2 * _MEMORY
            for index, deviation in enumerate(_INITIAL_DEVIATIONS)
        ):
            self._covariance = [
                [entry / _MEMORY for entry in row] for row in self._covariance
            ]


def size_of(ask: PlaceAsk, cached_tokens: int) -> PromptSize:
    """Return the size of a prompt, of which some tokens are cached."""
    uncached = max(0, ask.prompt_tokens - cached_tokens)
    return PromptSize(uncached, uncached * ask.prompt_tokens)


def default_model() -> PrefillModel:
    """Return a model with the default settings."""
    return PrefillModel.from_config(GatewaySettings())


def _dot(left: list[float], right: tuple[float, ...]) -> float:
    return sum(one * other for one, other in zip(left, right, strict=True))
