"""Ownership of one engine: claim, lease renewal, load reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.engines.loader import AdapterLoader
from flamingovalve.engines.residents import ResidentState
from flamingovalve.engines.scheduler import EngineScheduler
from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.util import clock, hashing
from flamingovalve.util.logs import get_logger
from flamingovalve.util.rates import jittered

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from flamingovalve.engines.api import EngineApi, LoadReport
    from flamingovalve.engines.residents import Resident
    from flamingovalve.engines.store import StoreShare
    from flamingovalve.generated.ids import Incarnation
    from flamingovalve.generated.settings import Engine, Settings

logger = get_logger(__name__)

_TIE_BREAKER_BITS: Final = 32
_TIE_BREAKER_MASK: Final = (1 << _TIE_BREAKER_BITS) - 1
_INITIAL_RECLAIM_SECONDS: Final = 2.0
_MAX_RECLAIM_SECONDS: Final = 60.0
_MAX_CANCEL_ATTEMPTS: Final = 20
_MAX_LEASE_GAP_SECONDS: Final = 2.0


class OwnerState(Enum):
    """Ownership state of an engine on this VM."""

    CLAIMING = 'claiming'
    OWNING = 'owning'
    LOST = 'lost'
    ENDED = 'ended'


@dataclass
class OwnerCounts:
    """Ownership events of one engine."""

    claims: int = 0
    lost: int = 0
    crashes: int = 0
    refused_orders: int = 0
    failed_reports: int = 0


class EngineOwner:
    """An engine owned by this VM; runs one task, plus one for each load.

    The owner may dispatch until its lease expires. If the engine checks
    fencing numbers, the lease is renewed whenever the engine reports this
    VM's number as its highest; otherwise the deputy renews it. A new owner
    waits for the duration of a lease before its first eviction, by which
    time the previous owner has stopped dispatching.
    """

    def __init__(
        self,
        api: EngineApi,
        settings: Settings,
        incarnation: Incarnation,
        store: StoreShare,
        ask_deputy: Callable[[Engine], Awaitable[float]],
        ended_tie_breakers: Callable[[], set[int]],
        membership_epoch: Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Own ``api.engine``.

        :param ask_deputy: returns the seconds for which the deputy promises
            not to take over; 0 if it has taken over or does not answer
        :param ended_tie_breakers: returns the tie-breakers of ended processes
        :param membership_epoch: returns a number that changes when the set
            of known VMs changes
        """
        self.engine = api.engine
        self.api = api
        self.counts = OwnerCounts()
        self.state = OwnerState.CLAIMING
        self.loader = AdapterLoader(api, self.current_fencing_number)
        self.scheduler = EngineScheduler(
            api.engine,
            settings.scheduling,
            settings.limits,
            store,
            self.loader.start,
        )
        self.loader.scheduler = self.scheduler
        self.loader.error_listener = self._handle_order_error
        self.scheduler.may_dispatch = self.may_dispatch
        self.scheduler.may_evict = self._may_evict
        self.scheduler.refusal = self.refusal
        self.crash_listeners: list[Callable[[str, str], Awaitable[None]]] = []
        self._settings = settings.scheduling
        self._tie_breaker = claimer_tie_breaker(settings.vm.id, incarnation)
        self._ask_deputy = ask_deputy
        self._ended_tie_breakers = ended_tie_breakers
        self._membership_epoch = membership_epoch
        self._quiet_seconds = self._settings.claim_quiet_seconds
        self._rng = rng
        self._fencing_number = 0
        self._boot = ''
        self._claimed_at = 0.0
        self._lease_until = clock.now()
        self._reachable = True
        self._restart_noticed_at = clock.now()
        self._report_taken_at = float('-inf')
        self._reclaim_pause = _INITIAL_RECLAIM_SECONDS

    async def run(self) -> None:
        """Claim the engine and renew its lease until cancelled."""
        while True:
            refusal = self.refusal()
            if refusal is not None:
                await self.scheduler.refuse_all(refusal)
            if self.state is OwnerState.OWNING:
                await self._renew()
                await curio.sleep(
                    jittered(self._rng, self._settings.report_seconds)
                )
            else:
                await self._claim_or_wait()

    def current_fencing_number(self) -> int:
        """Return the fencing number that orders carry now."""
        return self._fencing_number

    @property
    def boot(self) -> str:
        """Boot identifier that the engine last reported."""
        return self._boot

    async def end(self, reason: ServingError) -> None:
        """Stop owning the engine; requests in progress still finish."""
        self.state = OwnerState.ENDED
        await self.scheduler.refuse_all(reason)

    def may_dispatch(self) -> bool:
        """Return whether the engine is owned and its lease is valid."""
        owning = self.state is OwnerState.OWNING
        return owning and clock.now() < self._lease_until

    def refusal(self) -> ServingError | None:
        """Return the error with which requests are refused now, or None.

        Requests stay queued over a short gap between two leases. After a
        longer one they are refused so that they can be retried elsewhere
        instead of waiting in a queue that is not served.
        """
        if clock.now() < self._lease_until + _MAX_LEASE_GAP_SECONDS:
            return None
        if self._reachable:
            return not_owner(self.engine.id)
        return _unreachable(self.engine.id)

    def invalidate_lease(self) -> None:
        """Stop dispatching until the lease is renewed.

        Called when this process was paused: another VM may have taken over
        the engine during the pause.
        """
        self._lease_until = min(self._lease_until, clock.now())

    async def record_crash(self) -> None:
        """Record that the engine restarted and lost its adapters."""
        self.counts.crashes += 1
        await self.scheduler.evict_all()

    async def cancel_upstream(self, request_id: str) -> None:
        """Cancel a request and wait until the engine has confirmed it.

        Until then the engine may still run the request, so its adapter must
        stay loaded. A restarted engine no longer runs it.
        """
        boot = self._boot
        for _attempt in range(_MAX_CANCEL_ATTEMPTS):
            if await self.api.cancel(request_id) or boot != self._boot:
                return
            await curio.sleep(self._settings.report_seconds)

    # -- Claims and leases

    async def _claim_or_wait(self) -> None:
        if self.state is OwnerState.LOST:
            await self._wait_to_reclaim()
            self.state = OwnerState.CLAIMING
        if not await self._claim():
            await curio.sleep(
                jittered(self._rng, self._settings.report_seconds)
            )

    async def _wait_to_reclaim(self) -> None:
        """Wait before claiming an engine that another VM has claimed.

        In a network partition a VM on each side considers itself the owner.
        Doubling the wait keeps them from reclaiming the engine from each
        other all the time. A change of the known VMs may mean that the
        partition has healed, so it ends the wait.
        """
        until = clock.now() + jittered(self._rng, self._reclaim_pause)
        doubled = self._reclaim_pause * 2
        self._reclaim_pause = min(doubled, _MAX_RECLAIM_SECONDS)
        membership_epoch = self._membership_epoch()
        while clock.now() < until:
            await curio.sleep(self._settings.report_seconds)
            if self._membership_epoch() != membership_epoch:
                self._reclaim_pause = _INITIAL_RECLAIM_SECONDS
                return

    async def _claim(self) -> bool:
        """Claim the engine with a higher fencing number.

        :returns: whether this VM owns the engine now
        """
        asked_at = clock.now()
        seen = await self.api.fencing()
        self._reachable = seen.is_ok()
        if seen.is_error():
            self.counts.failed_reports += 1
            return False
        self._quiet_seconds = self._compute_quiet_seconds()
        if self.engine.fencing and seen.ok.number is not None:
            if self._claimer_has_ended(seen.ok.number):
                self._quiet_seconds = 0
            self._fencing_number = self._next_number(seen.ok.number)
            claimed = await self.api.claim(self._fencing_number)
            if claimed.is_error():
                self.counts.refused_orders += 1
                return False
        return await self._take_over(asked_at, seen.ok.boot)

    async def _take_over(self, asked_at: float, boot: str) -> bool:
        report = await self.api.report()
        if report.is_error():
            self.counts.failed_reports += 1
            return False
        self._boot = boot
        self._claimed_at = clock.now()
        self.counts.claims += 1
        self.state = OwnerState.OWNING
        self._adopt(report.ok)
        await self._extend_lease(asked_at)
        logger.info('engine {} has been claimed by this VM', self.engine.id)
        await self.scheduler.schedule()
        return True

    def _compute_quiet_seconds(self) -> float:
        """Return the seconds in which a previous owner stops dispatching."""
        quiet = self._settings.claim_quiet_seconds
        # Without fencing, the previous owner may have to lose its quorum first.
        return quiet if self.engine.fencing else 2 * quiet

    def _claimer_has_ended(self, seen: int) -> bool:
        """Return whether the process that claimed the engine last has ended.

        Only the last claimer can hold a lease, since its fencing number
        supersedes all others. If its process is known to have ended, there
        is no lease to wait for.
        """
        return (
            seen == 0 or seen & _TIE_BREAKER_MASK in self._ended_tie_breakers()
        )

    def _next_number(self, seen: int) -> int:
        epoch = (seen >> _TIE_BREAKER_BITS) + 1
        return epoch << _TIE_BREAKER_BITS | self._tie_breaker

    def _adopt(self, report: LoadReport) -> None:
        """Initialise the residents from the engine's report.

        Requests of the previous owner may still run on any of these
        adapters, so all of them count as in foreign use as of now.
        """
        residents = self.scheduler.residents
        for name in report.resident:
            if name not in residents.by_name:
                residents.add(name, ResidentState.READY)
            residents.by_name[name].foreign_use_at = clock.now()

    async def _renew(self) -> None:
        asked_at = clock.now()
        seen = await self.api.fencing()
        self._reachable = seen.is_ok()
        if seen.is_error():
            self.counts.failed_reports += 1
            return
        if seen.ok.boot != self._boot:
            await self._handle_restart(seen.ok.boot)
        if self._is_superseded(seen.ok.number):
            await self._lose()
            return
        await self._extend_lease(asked_at)
        report = await self.api.report()
        if report.is_ok():
            await self._reconcile(report.ok, clock.now() - report.ok.age)
        await self.scheduler.schedule()

    def _is_superseded(self, number: int | None) -> bool:
        if not self.engine.fencing or number is None:
            return False
        return number > self._fencing_number

    async def _lose(self) -> None:
        self.counts.lost += 1
        self.state = OwnerState.LOST
        logger.info('engine {} has been claimed by another VM', self.engine.id)
        await self.scheduler.refuse_all(not_owner(self.engine.id))

    async def _extend_lease(self, asked_at: float) -> None:
        seconds = self._settings.claim_quiet_seconds
        if self.engine.fencing:
            self._lease_until = asked_at + seconds
            return
        promised = await self._ask_deputy(self.engine)
        if promised > 0:
            self._lease_until = asked_at + min(promised, seconds)

    async def _handle_restart(self, boot: str) -> None:
        logger.warning('engine {} restarted', self.engine.id)
        ended = self._boot
        self._boot = boot
        self._restart_noticed_at = clock.now()
        await self.record_crash()
        for listener in self.crash_listeners:
            await listener(self.engine.id, ended)

    async def _reconcile(self, report: LoadReport, taken_at: float) -> None:
        """Reconcile the residents with a report.

        The report lags, so it does not override later local changes.

        :param taken_at: when the report was taken, on the monotonic clock
        """
        self._report_taken_at = taken_at
        residents = self.scheduler.residents
        for resident in residents.by_name.values():
            resident.record_report(report.running.get(resident.name, 0))
        missing = [
            resident.name
            for resident in residents.by_name.values()
            if resident.state is ResidentState.READY
            and resident.used_at < taken_at
            and resident.name not in report.resident
        ]
        for name in missing:
            residents.remove(name)
        if taken_at > self._restart_noticed_at:
            self._adopt_unknown(report)

    def _adopt_unknown(self, report: LoadReport) -> None:
        """Add reported adapters that are missing from the residents.

        They occupy slots, and an engine without a free slot refuses every
        load.
        """
        residents = self.scheduler.residents
        for name in report.resident:
            if name not in residents.by_name and residents.has_free_slot():
                found = residents.add(name, ResidentState.READY)
                found.foreign_use_at = clock.now()

    def _may_evict(self, victim: Resident) -> bool:
        """Return whether no other VM can be using an adapter.

        A previous owner may go on dispatching until its lease expires. If
        an adapter were evicted before that, a request in progress could
        lose it, and the caller would get an error or a response of the base
        model.
        """
        if clock.now() < self._claimed_at + self._quiet_seconds:
            return False
        if self._report_taken_at <= victim.foreign_use_at:
            return False
        return clock.now() >= victim.foreign_use_at + self._quiet_seconds

    async def _handle_order_error(self, error: ServingError) -> None:
        if error.kind is ErrorKind.NOT_OWNER:
            self.counts.refused_orders += 1
            if self.state is OwnerState.OWNING:
                await self._lose()


def claimer_tie_breaker(vm: str, incarnation: int) -> int:
    """Return the low bits of the fencing numbers of one process.

    They break the tie between two processes that claim in the same epoch
    and identify the claimer afterwards.
    """
    return hashing.weight(vm, str(incarnation)) & _TIE_BREAKER_MASK


def not_owner(engine: str) -> ServingError:
    """Return the error for requests to an engine that another VM owns."""
    return ServingError(
        ErrorKind.NOT_OWNER,
        f'another VM owns engine {engine!r}; ask /v1/entry again',
        retry_after=1,
    )


def _unreachable(engine: str) -> ServingError:
    return ServingError(
        ErrorKind.UPSTREAM_UNREACHABLE,
        f'engine {engine!r} does not answer its owner; check that it runs',
        retry_after=1,
    )
