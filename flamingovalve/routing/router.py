"""Routes completions to an engine and a VM, and retries failed attempts."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.generated.ids import EngineId, RequestId, VmId
from flamingovalve.relay.quarantine import Verdict, poison_request
from flamingovalve.routing.forward import VmLost, owner_unreachable
from flamingovalve.util import clock

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from flamingovalve.config.inventory import Inventory
    from flamingovalve.engines.owner import EngineOwner
    from flamingovalve.generated.settings import Engine
    from flamingovalve.peer.server import Sink
    from flamingovalve.relay.breaker import BreakerSet, RetryBudget
    from flamingovalve.relay.completion import CompletionRelay
    from flamingovalve.relay.quarantine import Quarantine
    from flamingovalve.relay.work import CompletionWork
    from flamingovalve.routing.engines import OwnedEngines
    from flamingovalve.routing.forward import Forwarder
    from flamingovalve.routing.ownership import Ownership
    from flamingovalve.routing.placement import Placement

_MAX_HOPS: Final = 2
_INITIAL_PAUSE_SECONDS: Final = 0.05
_MAX_PAUSE_SECONDS: Final = 1.0
_MAX_FREE_RETRY_SECONDS: Final = 15.0
_MAX_ROUNDS: Final = 2
_MAX_RESTART_SECONDS: Final = 5.0

# A retry, on another engine or later, may succeed.
_RETRYABLE: Final = frozenset(
    (
        ErrorKind.UPSTREAM_UNREACHABLE,
        ErrorKind.UPSTREAM_FAILED,
        ErrorKind.UPSTREAM_CRASHED,
        ErrorKind.UPSTREAM_SILENT,
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.WRONG_ANSWER,
        ErrorKind.FRAGMENT,
        ErrorKind.LOAD_FAILED,
        ErrorKind.NOT_OWNER,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.LEAVING,
    )
)

# No engine ran the request, so a retry adds no load to engines.
_FREE_RETRIES: Final = frozenset(
    (
        ErrorKind.NOT_OWNER,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.LEAVING,
        ErrorKind.UPSTREAM_REFUSED,
        # An exception: retries are bounded by the quarantine, which refuses a
        # request after its second crash. Requests that ran beside a poison
        # request must not use up the retry budget for its crashes.
        ErrorKind.UPSTREAM_CRASHED,
    )
)

# A retry on the same engine can succeed once it has a new owner.
_RETRYABLE_ON_SAME_ENGINE: Final = frozenset(
    (
        ErrorKind.NOT_OWNER,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.LEAVING,
    )
)

# The engine is overloaded; the next one in the order may not be.
_SPILLABLE: Final = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_TOO_SHORT,
    )
)


@dataclass
class RouterCounts:
    """Counters of the router since this process started."""

    requests: int = 0
    local: int = 0
    forwarded: int = 0
    retries: int = 0
    spills: int = 0
    resumed: int = 0
    failed: int = 0


class Router:
    """Routes completions to an engine and the VM that owns it."""

    def __init__(
        self,
        own_id: VmId,
        placement: Placement,
        ownership: Ownership,
        engines: OwnedEngines,
        relay: CompletionRelay,
        forwarder: Forwarder,
        breakers: BreakerSet,
        budget: RetryBudget,
        rng: random.Random,
    ) -> None:
        """Route by ``placement`` and ``ownership``."""
        self.counts = RouterCounts()
        self.inventory: Callable[[], Inventory] = _no_inventory
        self._own_id = own_id
        self._placement = placement
        self._ownership = ownership
        self._engines = engines
        self._relay = relay
        self._forwarder = forwarder
        self._breakers = breakers
        self._budget = budget
        self._rng = rng

    async def serve(self, work: CompletionWork, sink: Sink) -> None:
        """Serve a completion that a caller sent to this VM.

        :raises ServingError: if it cannot be served
        """
        self.counts.requests += 1
        attempts = Attempts(self._budget, self._rng, work)
        while True:
            try:
                await self._attempt(work, sink)
            except ServingError as failed:
                await self._handle_failure(attempts, failed, sink)
            else:
                self._budget.succeeded()
                return

    async def serve_forwarded(
        self,
        work: CompletionWork,
        engine_id: EngineId,
        sink: Sink,
    ) -> None:
        """Serve a completion that another VM forwarded.

        :raises ServingError: if it cannot be served here
        """
        owner = self._engines.find(engine_id)
        if owner is not None:
            await self._run_locally(owner, work, sink)
            return
        engine = self.inventory().engines_by_id.get(engine_id)
        vm = self._ownership.owner(engine) if engine else None
        if work.hops >= _MAX_HOPS or vm in {None, self._own_id}:
            raise owner_unreachable()
        await self._forward(VmId(vm or ''), engine_id, work, sink)

    async def _attempt(self, work: CompletionWork, sink: Sink) -> None:
        self._check_quarantine(work)
        if work.offset == 0:
            # Each attempt has a request id of its own, so that a late response
            # to an earlier attempt is not taken for a response to this one.
            work.request_id = RequestId(secrets.token_hex(8))
        engine = self._choose(work)
        vm = self._ownership.owner(engine)
        if vm is None:
            raise owner_unreachable()
        work.engine = EngineId(engine.id)
        in_progress = self._placement.in_progress_by_engine
        in_progress[engine.id] = in_progress.get(engine.id, 0) + 1
        try:
            await self._run_at(VmId(vm), engine, work, sink)
        finally:
            in_progress[engine.id] -= 1

    async def _run_at(
        self,
        vm: VmId,
        engine: Engine,
        work: CompletionWork,
        sink: Sink,
    ) -> None:
        owner = self._engines.find(engine.id)
        if owner is not None:
            await self._run_locally(owner, work, sink)
        elif vm == self._own_id:
            raise owner_unreachable()
        else:
            await self._forward(vm, EngineId(engine.id), work, sink)

    def _check_quarantine(self, work: CompletionWork) -> None:
        verdict = self._quarantine.verdict(work.fingerprint)
        if verdict is Verdict.REFUSED:
            raise poison_request(Ran.UNKNOWN if work.request_id else Ran.NOT)
        work.isolated = verdict is Verdict.SUSPECT

    def _choose(self, work: CompletionWork) -> Engine:
        target = work.target
        engines = self.inventory().engines_by_id
        if work.offset and work.engine in engines:
            return engines[work.engine]
        unavailable = {
            EngineId(engine_id)
            for engine_id in self._placement.candidates(
                target.name,
                target.model,
            )
            if not self._breakers.allows(engines[engine_id].address)
        }
        for avoided in (work.avoided | unavailable, work.avoided, set()):
            chosen = self._placement.choose(
                target.name,
                target.model,
                avoided,
            )
            if chosen is not None:
                return engines[chosen]
        raise _no_engine(target.model)

    def _has_untried_engine(self, work: CompletionWork) -> bool:
        """Return whether some engine has not failed this request yet."""
        target = work.target
        engines = self._placement.candidates(target.name, target.model)
        return not work.avoided.issuperset(engines)

    async def _run_locally(
        self,
        owner: EngineOwner,
        work: CompletionWork,
        sink: Sink,
    ) -> None:
        self.counts.local += 1
        address = owner.engine.address
        try:
            await self._relay.run(owner, work, sink)
        except ServingError as failed:
            if failed.kind in {
                ErrorKind.UPSTREAM_UNREACHABLE,
                ErrorKind.UPSTREAM_CRASHED,
            }:
                self._breakers.failed(address)
            raise
        self._breakers.succeeded(address)

    async def _forward(
        self,
        vm: VmId,
        engine_id: EngineId,
        work: CompletionWork,
        sink: Sink,
    ) -> None:
        self.counts.forwarded += 1
        try:
            await self._forwarder.completion(vm, engine_id, work, sink)
        except VmLost as lost:
            error = owner_unreachable()
            error.message = f'{error.message} ({lost})'
            raise error from lost
        except ServingError as failed:
            if failed.kind is ErrorKind.UPSTREAM_CRASHED:
                self._quarantine.suspect_remotely(work.fingerprint)
            raise

    async def _handle_failure(
        self,
        attempts: Attempts,
        failed: ServingError,
        sink: Sink,
    ) -> None:
        """Prepare the next attempt and pause, or raise ``failed``."""
        work = attempts.work
        attempts.record_failure(failed)
        if failed.kind in _SPILLABLE and attempts.may_spill():
            self.counts.spills += 1
            work.avoided.add(work.engine)
            return
        resumable = (
            bool(work.offset) and failed.kind in _RETRYABLE_ON_SAME_ENGINE
        )
        if sink.started and not resumable:
            self.counts.failed += 1
            raise failed
        if failed.kind not in _RETRYABLE_ON_SAME_ENGINE:
            work.avoided.add(work.engine)
            if not self._has_untried_engine(work):
                attempts.start_round()
        if not attempts.may_retry(failed):
            self.counts.failed += 1
            raise failed
        if sink.started:
            self.counts.resumed += 1
        self.counts.retries += 1
        await attempts.pause()

    @property
    def _quarantine(self) -> Quarantine:
        return self._relay.quarantine


class Attempts:
    """Limits the attempts of one request."""

    def __init__(
        self,
        budget: RetryBudget,
        rng: random.Random,
        work: CompletionWork,
    ) -> None:
        """Create the limits for the first attempt of ``work``."""
        self.work = work
        self._budget = budget
        self._rng = rng
        self._pause = _INITIAL_PAUSE_SECONDS
        self._started_at = clock.now()
        self._spilled = False
        self._may_have_run = False
        self._rounds = 0

    def record_failure(self, failed: ServingError) -> None:
        """Record a failed attempt.

        If an earlier attempt may have run, a later refusal says so too.
        """
        self._may_have_run |= failed.ran is not Ran.NOT
        if self._may_have_run:
            failed.ran = Ran.UNKNOWN

    def may_spill(self) -> bool:
        """Return whether a request may spill to its next engine.

        A request may spill once, before any output was sent.
        """
        if self._spilled or self.work.offset:
            return False
        self._spilled = True
        return True

    def start_round(self) -> None:
        """Allow all engines again after each has failed the request."""
        self._rounds += 1
        self.work.avoided.clear()

    def may_retry(self, failed: ServingError) -> bool:
        """Return whether the request may be retried after ``failed``."""
        if failed.kind not in _RETRYABLE:
            return False
        if self.work.remaining() <= self._pause:
            return False
        if failed.kind is ErrorKind.UPSTREAM_UNREACHABLE:
            # The request did not reach the engine. A restarting engine is
            # reachable again within seconds.
            return self._elapsed_seconds() < _MAX_RESTART_SECONDS
        if self._rounds >= _MAX_ROUNDS:
            # Every engine has failed the request more than once: report that
            # to the caller now and not at the deadline.
            return False
        if failed.kind in _FREE_RETRIES:
            # Another VM takes over within seconds. After that, the caller
            # is told at once to retry later.
            return self._elapsed_seconds() < _MAX_FREE_RETRY_SECONDS
        return self._budget.acquire()

    def _elapsed_seconds(self) -> float:
        return clock.now() - self._started_at

    async def pause(self) -> None:
        """Sleep for a pause that doubles each time, with jitter."""
        await curio.sleep(self._pause * self._rng.uniform(0.5, 1))
        self._pause = min(self._pause * 2, _MAX_PAUSE_SECONDS)


def _no_inventory() -> Inventory:
    raise ServingError(
        ErrorKind.NOT_READY,
        'this VM has no inventory yet; try another one',
        retry_after=1,
    )


def _no_engine(model: str) -> ServingError:
    return ServingError(
        ErrorKind.NO_UPSTREAM,
        f'no engine of model {model!r} is in service; see the inventory',
        retry_after=1,
    )
