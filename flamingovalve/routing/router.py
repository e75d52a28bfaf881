"""Finds the engine and the VM for a completion, and tries again elsewhere."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.generated.ids import EngineId, RequestId, VmId
from flamingovalve.relay.quarantine import Verdict
from flamingovalve.routing.forward import VmLost, missing_vm
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

_LONGEST_ROUTE: Final = 2
_FIRST_PAUSE_SECONDS: Final = 0.05
_LONGEST_PAUSE_SECONDS: Final = 1.0
_PATIENCE_SECONDS: Final = 15.0
_ROUNDS: Final = 2
_RESTART_SECONDS: Final = 5.0

# Another engine or another moment may do better.
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

# Nothing reached an engine, so trying again adds no load there.
_FREE_RETRIES: Final = frozenset(
    (
        ErrorKind.NOT_OWNER,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.LEAVING,
        ErrorKind.UPSTREAM_REFUSED,
        # Bounded by the quarantine, which refuses after the second crash; those
        # that ran beside a poison request must not pay for it.
        ErrorKind.UPSTREAM_CRASHED,
    )
)

# Trying the same engine again makes sense once it has a new owner.
_SAME_ENGINE: Final = frozenset(
    (
        ErrorKind.NOT_OWNER,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.LEAVING,
    )
)

# The engine has too much to do; the next in order may have less.
_SPILLS: Final = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_TOO_SHORT,
    )
)


@dataclass
class RouterCounts:
    """What the router did since this process started."""

    requests: int = 0
    local: int = 0
    forwarded: int = 0
    retries: int = 0
    spills: int = 0
    resumed: int = 0
    failed: int = 0


class Router:
    """Serves completions on whichever engine and VM can."""

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
        chance: random.Random,
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
        self._chance = chance

    async def serve(self, work: CompletionWork, sink: Sink) -> None:
        """Serve a completion of a caller.

        :raises ServingError: when it cannot be served
        """
        self.counts.requests += 1
        attempts = Attempts(self._budget, self._chance, work)
        while True:
            try:
                await self._attempt(work, sink)
            except ServingError as failed:
                await self._consider(attempts, failed, sink)
            else:
                self._budget.succeeded()
                return

    async def serve_forwarded(
        self,
        work: CompletionWork,
        engine_id: EngineId,
        sink: Sink,
    ) -> None:
        """Serve a completion that another VM passed on.

        :raises ServingError: when it cannot be served here
        """
        owner = self._engines.find(engine_id)
        if owner is not None:
            await self._run_here(owner, work, sink)
            return
        engine = self.inventory().engines_by_id.get(engine_id)
        vm = self._ownership.owner(engine) if engine else None
        if work.hops >= _LONGEST_ROUTE or vm in {None, self._own_id}:
            raise missing_vm()
        await self._forward(VmId(vm or ''), engine_id, work, sink)

    async def _attempt(self, work: CompletionWork, sink: Sink) -> None:
        self._judge(work)
        if work.offset == 0:
            # Each try has a name of its own, so that a late answer to an
            # earlier one cannot pass for an answer to this one.
            work.request_id = RequestId(secrets.token_hex(8))
        engine = self._choose(work)
        vm = self._ownership.owner(engine)
        if vm is None:
            raise missing_vm()
        work.engine = EngineId(engine.id)
        under_way = self._placement.under_way
        under_way[engine.id] = under_way.get(engine.id, 0) + 1
        try:
            await self._run_at(VmId(vm), engine, work, sink)
        finally:
            under_way[engine.id] -= 1

    async def _run_at(
        self,
        vm: VmId,
        engine: Engine,
        work: CompletionWork,
        sink: Sink,
    ) -> None:
        owner = self._engines.find(engine.id)
        if owner is not None:
            await self._run_here(owner, work, sink)
        elif vm == self._own_id:
            raise missing_vm()
        else:
            await self._forward(vm, EngineId(engine.id), work, sink)

    def _judge(self, work: CompletionWork) -> None:
        verdict = self._quarantine.verdict(work.fingerprint)
        if verdict is Verdict.REFUSED:
            raise _poison(Ran.UNKNOWN if work.request_id else Ran.NOT)
        work.isolated = verdict is Verdict.SUSPECT

    def _choose(self, work: CompletionWork) -> Engine:
        target = work.target
        engines = self.inventory().engines_by_id
        if work.offset and work.engine in engines:
            return engines[work.engine]
        closed = {
            EngineId(engine_id)
            for engine_id in self._placement.candidates(
                target.name,
                target.model,
            )
            if not self._breakers.allows(engines[engine_id].address)
        }
        for avoided in (work.avoided | closed, work.avoided, set()):
            chosen = self._placement.choose(
                target.name,
                target.model,
                avoided,
            )
            if chosen is not None:
                return engines[chosen]
        raise _no_engine(target.model)

    def _left(self, work: CompletionWork) -> bool:
        """Tell whether some engine has not failed this request yet."""
        target = work.target
        engines = self._placement.candidates(target.name, target.model)
        return not work.avoided.issuperset(engines)

    async def _run_here(
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
            error = missing_vm()
            error.message = f'{error.message} ({lost})'
            raise error from lost
        except ServingError as failed:
            if failed.kind is ErrorKind.UPSTREAM_CRASHED:
                self._quarantine.suspect_remotely(work.fingerprint)
            raise

    async def _consider(
        self,
        attempts: Attempts,
        failed: ServingError,
        sink: Sink,
    ) -> None:
        """Pause before the next try, or raise ``failed`` for good."""
        work = attempts.work
        attempts.note(failed)
        if failed.kind in _SPILLS and attempts.may_spill():
            self.counts.spills += 1
            work.avoided.add(work.engine)
            return
        resumable = bool(work.offset) and failed.kind in _SAME_ENGINE
        if sink.started and not resumable:
            self.counts.failed += 1
            raise failed
        if failed.kind not in _SAME_ENGINE:
            work.avoided.add(work.engine)
            if not self._left(work):
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
    """How often one request may still be tried."""

    def __init__(
        self,
        budget: RetryBudget,
        chance: random.Random,
        work: CompletionWork,
    ) -> None:
        """Start with a first try of ``work``."""
        self.work = work
        self._budget = budget
        self._chance = chance
        self._pause = _FIRST_PAUSE_SECONDS
        self._started_at = clock.now()
        self._spilled = False
        self._may_have_run = False
        self._rounds = 0

    def note(self, failed: ServingError) -> None:
        """Let a later refusal tell of an earlier try that may have run."""
        self._may_have_run |= failed.ran is not Ran.NOT
        if self._may_have_run:
            failed.ran = Ran.UNKNOWN

    def may_spill(self) -> bool:
        """Tell whether a request may go to its next engine, once."""
        if self._spilled or self.work.offset:
            return False
        self._spilled = True
        return True

    def start_round(self) -> None:
        """Begin anew after every engine has failed the request."""
        self._rounds += 1
        self.work.avoided.clear()

    def may_retry(self, failed: ServingError) -> bool:
        """Tell whether another try makes sense after ``failed``."""
        if failed.kind not in _RETRYABLE:
            return False
        if self.work.remaining() <= self._pause:
            return False
        if failed.kind is ErrorKind.UPSTREAM_UNREACHABLE:
            # Nothing was asked to work. An engine that restarts is back
            # within seconds.
            return self._waited() < _RESTART_SECONDS
        if self._rounds >= _ROUNDS:
            # Every engine has failed it more than once: the caller learns
            # that now and not at its deadline.
            return False
        if failed.kind in _FREE_RETRIES:
            # Someone else takes over within seconds; beyond that the caller
            # had better learn at once that it should come back later.
            return self._waited() < _PATIENCE_SECONDS
        return self._budget.take()

    def _waited(self) -> float:
        return clock.now() - self._started_at

    async def pause(self) -> None:
        """Wait, longer each time and with jitter."""
        await curio.sleep(self._pause * self._chance.uniform(0.5, 1))
        self._pause = min(self._pause * 2, _LONGEST_PAUSE_SECONDS)


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


def _poison(ran: Ran) -> ServingError:
    return ServingError(
        ErrorKind.POISON_REQUEST,
        'this request crashed two engines and is refused; change it, or wait '
        'until its quarantine ends',
        ran=ran,
    )
