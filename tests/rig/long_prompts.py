"""A mix of long prompts and chats, played against the choice of engines.

There is no network and no engine: a formula gives the first event and the
pauses of each request from the prompts on its engine. An engine processes a
prompt in pieces of 2,048 tokens, one per step of its batch, and an event of a
stream holds six steps.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway import dispatch
from flamingovalve.gateway.popularity import Popularity
from flamingovalve.gateway.prefill_model import PrefillModel
from flamingovalve.gateway.residency.held import AdapterState
from flamingovalve.gateway.stream_gaps import (
    EngineStreams,
    StreamGaps,
)
from flamingovalve.generated.messages import (
    PlaceAsk,
    PlaceEnd,
    PlaceOutcome,
    PromptPart,
)
from flamingovalve.generated.settings import GatewaySettings
from flamingovalve.util import clock
from tests.rig.engines import TRAITS, ask, hold, ledger

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.ledger import EngineLedger, Place
    from flamingovalve.gateway.residency.held import HeldAdapter

_PIECE_TOKENS: Final = 2048
# A step with a piece: 53 ms for the piece and 13 ms for the batch.
_PIECE_SECONDS: Final = 0.066
_PAIR_SECONDS: Final = 1.18e-9
_STEP_SECONDS: Final = 0.018
_STEPS_PER_EVENT: Final = 6
_MAX_EVENT_GAP: Final = 0.5
_LONG_SHARE: Final = 0.4
_LONG_TARGET: Final = 1.0
_CHAT_TARGET: Final = 0.8
_CHAT_TOKENS: Final = 826
_MAX_TOKENS: Final = 50_000
_SHARED_SHARE: Final = 0.69
_PART_TOKENS: Final = 300
_SHARED_PARTS: Final = 21
_POPULARITY_EXPONENT: Final = 1.2
_FETCH_SECONDS: Final = 0.288
_KEPT_SECONDS: Final = 0.029
_RETRY_SECONDS: Final = 0.05


@dataclasses.dataclass
class Played:
    """A request and what became of it.

    :ivar first_event: seconds from its arrival; infinite if it was refused
    """

    tokens: int
    is_long: bool
    first_event: float = float('inf')
    gap: float = 0


class PlayedEngine:
    """The steps of one engine that contain pieces of prompts."""

    def __init__(self, engine: EngineLedger) -> None:
        """Start idle."""
        self.engine = engine
        self.busy_until = 0.0
        self.pieces: list[tuple[float, float]] = []

    def run_prompt(self, ready_at: float, cached: int, tokens: int) -> float:
        """Process a prompt and return the time of its first event."""
        now = max(self.busy_until, ready_at)
        while cached < tokens:
            size = min(_PIECE_TOKENS, tokens - cached)
            cached += size
            seconds = _PIECE_SECONDS * size / _PIECE_TOKENS
            seconds += size * cached * _PAIR_SECONDS
            self.pieces.append((now, max(seconds, _STEP_SECONDS)))
            now += max(seconds, _STEP_SECONDS)
        self.busy_until = now
        return now + _STEP_SECONDS

    def longest_gap(self, start: float, end: float) -> float:
        """Return the longest pause of a stream."""
        pieces = [one for one in self.pieces if start <= one[0] < end]
        longest = _STEPS_PER_EVENT * _STEP_SECONDS
        for index, (begin, _seconds) in enumerate(pieces):
            now = begin
            upcoming = pieces[index : index + _STEPS_PER_EVENT]
            for _step in range(_STEPS_PER_EVENT):
                if upcoming and upcoming[0][0] <= now + 1e-6:
                    now += upcoming.pop(0)[1]
                else:
                    now += _STEP_SECONDS
            longest = max(longest, now - begin)
        return longest


class Mix:
    """Plays a mix of requests against the engines of one owner."""

    def __init__(
        self,
        advance_to: Callable[[float], None],
        *,
        is_enabled: bool,
        adapters: int = 2000,
        engines: int = 10,
        rate: float = 40,
        seed: int = 7,
    ) -> None:
        """Create the engines, with empty slots.

        :param advance_to: sets the clock
        """
        settings = GatewaySettings(stream_gaps=is_enabled)
        self.gaps = StreamGaps.from_config(settings)
        self.prefill_model = PrefillModel.from_config(settings)
        self.played: list[Played] = []
        self.fetches = 0
        self._advance_to = advance_to
        self._rng = random.Random(seed)
        self._rate = rate
        self._popularity = Popularity()
        traits = dataclasses.replace(TRAITS, batch=96, adapter_slots=7)
        self._engines = {}
        for number in range(engines):
            engine = ledger(f'engine-{number}')
            engine.traits = traits
            engine.streams = EngineStreams(self.gaps)
            engine.prefill_model = self.prefill_model
            self._engines[engine.upstream.id] = PlayedEngine(engine)
        self._weights = list(
            itertools.accumulate(
                (rank + 1) ** -_POPULARITY_EXPONENT for rank in range(adapters)
            )
        )
        self._events: list = []
        self._numbers = itertools.count()

    def play(self, seconds: float) -> None:
        """Play requests for ``seconds``, then let them end."""
        end = clock.now() + seconds
        at = clock.now()
        while at < end:
            at += self._rng.expovariate(self._rate)
            self._schedule(at, self._arrive)
        while self._events:
            at, _number, action, details = heapq.heappop(self._events)
            self._advance_to(at)
            action(*details)

    def _schedule(self, at: float, action: Callable, *details: object) -> None:
        event = (at, next(self._numbers), action, details)
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        request = self._request()
        played = Played(
            request.prompt_tokens, is_long=request.target == _LONG_TARGET
        )
        self.played.append(played)
        self._popularity.record(request.adapter)
        self._place(request, played, clock.now())

    def _request(self) -> PlaceAsk:
        rank = self._rng.choices(
            range(len(self._weights)), cum_weights=self._weights
        )[0]
        is_long = self._rng.random() < _LONG_SHARE
        number = next(self._numbers)
        tokens = _CHAT_TOKENS
        if is_long:
            tokens = min(int(self._rng.lognormvariate(8.78, 0.8)), _MAX_TOKENS)
        shared = int(tokens * _SHARED_SHARE) // _PART_TOKENS
        shared = min(shared, _SHARED_PARTS)
        parts = [
            PromptPart(f'{is_long}-{part}', _PART_TOKENS)
            for part in range(shared)
        ]
        own = tokens - shared * _PART_TOKENS
        parts.append(PromptPart(f'own-{number}', own))
        return ask(
            f'a{rank}',
            number,
            prompt_tokens=tokens,
            parts=parts,
            target=_LONG_TARGET if is_long else _CHAT_TARGET,
            max_event_gap=_MAX_EVENT_GAP,
        )

    def _place(self, request: PlaceAsk, played: Played, arrived: float) -> None:
        engines = [one.engine for one in self._engines.values()]
        choice = dispatch.choose(request, engines, self._popularity, 0)
        waited = clock.now() - arrived
        if choice is None:
            if waited < request.patience / 2:
                self._schedule(
                    clock.now() + _RETRY_SECONDS,
                    self._place,
                    request,
                    played,
                    arrived,
                )
            return
        engine = choice.engine
        truth = self._engines[engine.upstream.id]
        if choice.load:
            self._load(choice, request)
        held = engine.held[request.adapter]
        ready_at = max(clock.now(), held.ready_at)
        cached = engine.parts.cached_tokens(request)
        first_at = truth.run_prompt(ready_at, cached, request.prompt_tokens)
        place = engine.take(request)
        played.first_event = first_at - arrived
        end_at = first_at + self._rng.uniform(2, 3)
        self._schedule(end_at, self._end, place, played, ready_at, first_at)

    def _load(self, choice: dispatch.Choice, request: PlaceAsk) -> None:
        engine = choice.engine
        is_kept = request.adapter in engine.kept
        if choice.victim is not None:
            engine.forget(choice.victim.name)
        held = hold(engine, request.adapter, AdapterState.LOADING)
        seconds = _KEPT_SECONDS if is_kept else _FETCH_SECONDS
        held.ready_at = clock.now() + seconds
        self.fetches += not is_kept
        self._schedule(held.ready_at, self._loaded, held)

    def _loaded(self, held: HeldAdapter) -> None:
        held.state = AdapterState.RESIDENT

    def _end(
        self, place: Place, played: Played, sent_at: float, first_at: float
    ) -> None:
        engine = place.engine
        truth = self._engines[engine.upstream.id]
        played.gap = truth.longest_gap(first_at, clock.now())
        end = PlaceEnd(PlaceOutcome.FINISHED, max_gap=played.gap)
        engine.streams.record_end(place.ask, end, clock.now() - place.taken_at)
        engine.give_back(place)
        engine.record_first_event(place, first_at - sent_at)
        recent = clock.now() - 10
        truth.pieces = [one for one in truth.pieces if one[0] > recent]
