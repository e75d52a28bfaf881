"""Carries out the loads and evictions that a scheduler decides on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.engines.residents import ResidentState
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.engines.api import EngineApi
    from flamingovalve.engines.scheduler import EngineScheduler, LoadOrder
    from flamingovalve.errors import ServingError

logger = get_logger(__name__)


class AdapterLoader:
    """Orders adapters onto one engine: one task for each load."""

    scheduler: EngineScheduler

    def __init__(self, api: EngineApi, number: Callable[[], int]) -> None:
        """Order by ``api``.

        :param number: gives the fencing number that orders carry
        """
        self.error_listener: Callable[
            [ServingError],
            Awaitable[None],
        ] = _ignore
        self.end_listener: Callable[[], Awaitable[None]] = _nothing
        self._api = api
        self._number = number
        self._tasks = TaskSet()

    async def start(self, order: LoadOrder) -> None:
        """Begin to carry out ``order``."""
        await self._tasks.spawn(self._carry_out, order)

    async def _carry_out(self, order: LoadOrder) -> None:
        started_at = clock.now()
        error = await self._unload(order)
        if error is None:
            loaded = await self._api.load(order.name, self._number())
            error = loaded.error if loaded.is_error() else None
        seconds = clock.now() - started_at
        await self.scheduler.load_ended(order, error, seconds)
        if error is not None:
            logger.warning(
                'adapter {} did not load on {}: {}',
                order.name,
                self._api.engine.id,
                error.message,
            )
            await self.error_listener(error)
        await self.end_listener()

    async def _unload(self, order: LoadOrder) -> ServingError | None:
        if order.victim is None:
            return None
        residents = self.scheduler.residents
        outcome = await self._api.unload(order.victim, self._number())
        if outcome.is_ok():
            residents.remove(order.victim)
            return None
        victim = residents.by_name.get(order.victim)
        if victim is not None:
            victim.state = ResidentState.READY
        return outcome.error


async def _ignore(_error: ServingError) -> None:
    """Stand for a listener until there is one."""


async def _nothing() -> None:
    """Stand for a listener until there is one."""
