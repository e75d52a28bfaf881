"""Owning one engine: claim it, read its reports, carry out its loads."""

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

_TIE_BITS: Final = 32
_TIE_MASK: Final = (1 << _TIE_BITS) - 1
_FIRST_RECLAIM_SECONDS: Final = 2.0
_LONGEST_RECLAIM_SECONDS: Final = 60.0
_CANCEL_TRIES: Final = 20
_GAP_SECONDS: Final = 2.0


class OwnerState(Enum):
    """Where a VM stands towards an engine that it owns."""

    CLAIMING = 'claiming'
    OWNING = 'owning'
    LOST = 'lost'
    ENDED = 'ended'


@dataclass
class OwnerCounts:
    """What happened to the ownership of one engine."""

    claims: int = 0
    lost: int = 0
    crashes: int = 0
    refused_orders: int = 0
    failed_reports: int = 0


class EngineOwner:
    """One engine that this VM owns: one task, and one for each load.

    The owner may dispatch while its lease holds. The lease is renewed by
    the engine itself where it checks fencing numbers (it still shows ours
    as the highest) and by the deputy where it does not. A new owner waits
    that long before its first eviction, so the old one has stopped then.
    """

    def __init__(
        self,
        api: EngineApi,
        settings: Settings,
        incarnation: Incarnation,
        store: StoreShare,
        ask_deputy: Callable[[Engine], Awaitable[float]],
        ended_ties: Callable[[], set[int]],
        view: Callable[[], int],
        chance: random.Random,
    ) -> None:
        """Own ``api.engine``.

        :param ask_deputy: gives the seconds for which the deputy promises
            not to take over; 0 when it has or does not answer
        :param ended_ties: gives the ties of processes that are gone
        :param view: gives a number that changes with the known VMs
        """
        self.engine = api.engine
        self.api = api
        self.counts = OwnerCounts()
        self.state = OwnerState.CLAIMING
        self.loader = AdapterLoader(api, self.current_number)
        self.scheduler = EngineScheduler(
            api.engine,
            settings.scheduling,
            settings.limits,
            store,
            self.loader.start,
        )
        self.loader.scheduler = self.scheduler
        self.loader.error_listener = self._react
        self.scheduler.may_dispatch = self.may_dispatch
        self.scheduler.may_evict = self._may_evict
        self.scheduler.refusal = self.refusal
        self.crash_listeners: list[Callable[[str, str], Awaitable[None]]] = []
        self._settings = settings.scheduling
        self._tie = claimer_tie(settings.vm.id, incarnation)
        self._ask_deputy = ask_deputy
        self._ended_ties = ended_ties
        self._view = view
        self._quiet_seconds = self._settings.claim_quiet_seconds
        self._chance = chance
        self._number = 0
        self._boot = ''
        self._claimed_at = 0.0
        self._lease_until = clock.now()
        self._reachable = True
        self._noticed_at = clock.now()
        self._report_taken_at = float('-inf')
        self._reclaim_pause = _FIRST_RECLAIM_SECONDS

    async def run(self) -> None:
        """Hold the engine until cancelled."""
        while True:
            refusal = self.refusal()
            if refusal is not None:
                await self.scheduler.refuse_all(refusal)
            if self.state is OwnerState.OWNING:
                await self._renew()
                await curio.sleep(
                    jittered(self._chance, self._settings.report_seconds)
                )
            else:
                await self._claim_or_wait()

    def current_number(self) -> int:
        """Give the fencing number that our orders carry."""
        return self._number

    @property
    def boot(self) -> str:
        """Give the boot of the engine as last seen."""
        return self._boot

    async def end(self, reason: ServingError) -> None:
        """Give the engine up; requests in progress still finish."""
        self.state = OwnerState.ENDED
        await self.scheduler.refuse_all(reason)

    def may_dispatch(self) -> bool:
        """Tell whether the lease still holds."""
        owning = self.state is OwnerState.OWNING
        return owning and clock.now() < self._lease_until

    def refusal(self) -> ServingError | None:
        """Tell why requests are not taken at the moment, if they are not.

        A short gap between two leases is waited out. Beyond that the
        requests do better elsewhere than in a queue that does not move.
        """
        if clock.now() < self._lease_until + _GAP_SECONDS:
            return None
        if self._reachable:
            return not_owner(self.engine.id)
        return _unreachable(self.engine.id)

    def suspect_lease(self) -> None:
        """Stop dispatching until the lease is renewed.

        Called when this process was paused: it may still believe that it
        owns what another VM has taken over meanwhile.
        """
        self._lease_until = min(self._lease_until, clock.now())

    async def crashed(self) -> None:
        """Take note that the engine lost all that it held."""
        self.counts.crashes += 1
        await self.scheduler.evict_all()

    async def cancel_upstream(self, request_id: str) -> None:
        """Cancel a request and wait until the engine has confirmed it.

        Until then the engine may still run it, and its adapter must stay.
        An engine that restarted has forgotten it.
        """
        boot = self._boot
        for _attempt in range(_CANCEL_TRIES):
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
                jittered(self._chance, self._settings.report_seconds)
            )

    async def _wait_to_reclaim(self) -> None:
        """Wait before claiming an engine that another VM has claimed.

        In a split fleet both parts see themselves as owners. Waiting longer
        each time keeps the engine from changing hands all the time. Once
        the known VMs change, the split may be over: no more waiting then.
        """
        until = clock.now() + jittered(self._chance, self._reclaim_pause)
        doubled = self._reclaim_pause * 2
        self._reclaim_pause = min(doubled, _LONGEST_RECLAIM_SECONDS)
        view = self._view()
        while clock.now() < until:
            await curio.sleep(self._settings.report_seconds)
            if self._view() != view:
                self._reclaim_pause = _FIRST_RECLAIM_SECONDS
                return

    async def _claim(self) -> bool:
        """Become the one whose orders the engine obeys."""
        asked_at = clock.now()
        seen = await self.api.fencing()
        self._reachable = seen.is_ok()
        if seen.is_error():
            self.counts.failed_reports += 1
            return False
        self._quiet_seconds = self._longest_quiet()
        if self.engine.fencing and seen.ok.number is not None:
            if self._claimer_has_ended(seen.ok.number):
                self._quiet_seconds = 0
            self._number = self._next_number(seen.ok.number)
            claimed = await self.api.claim(self._number)
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
        logger.info('engine {} is owned by this VM', self.engine.id)
        await self.scheduler.pump()
        return True

    def _longest_quiet(self) -> float:
        """Give the seconds after which an old owner has surely stopped."""
        quiet = self._settings.claim_quiet_seconds
        # Without fencing, the old one may have to lose its quorum first.
        return quiet if self.engine.fencing else 2 * quiet

    def _claimer_has_ended(self, seen: int) -> bool:
        """Tell whether whoever claimed the engine last is gone.

        Only the last claimer can hold a lease, since all others are outbid.
        If its process is provably gone, nobody has to be waited for.
        """
        return seen == 0 or seen & _TIE_MASK in self._ended_ties()

    def _next_number(self, seen: int) -> int:
        epoch = (seen >> _TIE_BITS) + 1
        return epoch << _TIE_BITS | self._tie

    def _adopt(self, report: LoadReport) -> None:
        """Start from what the engine holds.

        The old owner's requests may still run on any of these adapters, so
        all of them count as used by somebody else as of now.
        """
        residents = self.scheduler.residents
        for name in report.resident:
            if name not in residents.by_name:
                residents.add(name, ResidentState.READY)
            residents.by_name[name].foreign_at = clock.now()

    async def _renew(self) -> None:
        asked_at = clock.now()
        seen = await self.api.fencing()
        self._reachable = seen.is_ok()
        if seen.is_error():
            self.counts.failed_reports += 1
            return
        if seen.ok.boot != self._boot:
            await self._notice_restart(seen.ok.boot)
        if self._is_outbid(seen.ok.number):
            await self._lose()
            return
        await self._extend_lease(asked_at)
        report = await self.api.report()
        if report.is_ok():
            await self._compare(report.ok, clock.now() - report.ok.age)
        await self.scheduler.pump()

    def _is_outbid(self, number: int | None) -> bool:
        if not self.engine.fencing or number is None:
            return False
        return number > self._number

    async def _lose(self) -> None:
        self.counts.lost += 1
        self.state = OwnerState.LOST
        logger.info('engine {} obeys another VM', self.engine.id)
        await self.scheduler.refuse_all(not_owner(self.engine.id))

    async def _extend_lease(self, asked_at: float) -> None:
        seconds = self._settings.claim_quiet_seconds
        if self.engine.fencing:
            self._lease_until = asked_at + seconds
            return
        promised = await self._ask_deputy(self.engine)
        if promised > 0:
            self._lease_until = asked_at + min(promised, seconds)

    async def _notice_restart(self, boot: str) -> None:
        logger.warning('engine {} restarted', self.engine.id)
        ended = self._boot
        self._boot = boot
        self._noticed_at = clock.now()
        await self.crashed()
        for listener in self.crash_listeners:
            await listener(self.engine.id, ended)

    async def _compare(self, report: LoadReport, taken_at: float) -> None:
        """Take a report into account; it lags, so ours goes first."""
        self._report_taken_at = taken_at
        residents = self.scheduler.residents
        for resident in residents.by_name.values():
            resident.compare(report.running.get(resident.name, 0))
        missing = [
            resident.name
            for resident in residents.by_name.values()
            if resident.state is ResidentState.READY
            and resident.used_at < taken_at
            and resident.name not in report.resident
        ]
        for name in missing:
            residents.remove(name)
        if taken_at > self._noticed_at:
            self._adopt_unknown(report)

    def _adopt_unknown(self, report: LoadReport) -> None:
        """Count adapters that the engine holds and we had taken for lost.

        They fill slots: an engine without a free one refuses each load.
        """
        residents = self.scheduler.residents
        for name in report.resident:
            if name not in residents.by_name and residents.has_free_slot():
                found = residents.add(name, ResidentState.READY)
                found.foreign_at = clock.now()

    def _may_evict(self, victim: Resident) -> bool:
        """Tell whether nobody else can be using an adapter.

        A VM that still believes to own this engine would go on dispatching
        until its lease ends. Evicting before that would pull an adapter
        from under a request in progress, and its caller would get an error
        or the base model's answer.
        """
        if clock.now() < self._claimed_at + self._quiet_seconds:
            return False
        if self._report_taken_at <= victim.foreign_at:
            return False
        return clock.now() >= victim.foreign_at + self._quiet_seconds

    async def _react(self, error: ServingError) -> None:
        if error.kind is ErrorKind.NOT_OWNER:
            self.counts.refused_orders += 1
            if self.state is OwnerState.OWNING:
                await self._lose()


def claimer_tie(vm: str, incarnation: int) -> int:
    """Give the low bits of the fencing numbers of one process.

    They break the tie between two processes that claim in the same epoch,
    and tell later who claimed.
    """
    return hashing.weight(vm, str(incarnation)) & _TIE_MASK


def not_owner(engine: str) -> ServingError:
    """Give the error of a VM that does not own ``engine``."""
    return ServingError(
        ErrorKind.NOT_OWNER,
        f'another VM owns engine {engine!r}; ask /v1/entry again',
        retry_after=1,
    )


def _unreachable(engine: str) -> ServingError:
    return ServingError(
        ErrorKind.UPSTREAM_UNREACHABLE,
        f'engine {engine!r} does not answer its owner; see whether it runs',
        retry_after=1,
    )
