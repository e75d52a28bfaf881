"""Executes the loads and evictions that a scheduler decides on."""

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
    """Sends load and unload orders to one engine, in one task per load."""

    scheduler: EngineScheduler

    def __init__(
        self, api: EngineApi, fencing_number: Callable[[], int]
    ) -> None:
        """Send orders over ``api``.

        :param fencing_number: returns the fencing number that orders carry
        """
        self.error_listener: Callable[
            [ServingError],
            Awaitable[None],
        ] = _ignore_error
        self.end_listener: Callable[[], Awaitable[None]] = _ignore_end
        self._api = api
        self._fencing_number = fencing_number
        self._tasks = TaskSet()

    async def start(self, order: LoadOrder) -> None:
        """Start executing ``order`` in a task of its own."""
        await self._tasks.spawn(self._execute, order)

    async def _execute(self, order: LoadOrder) -> None:
        started_at = clock.now()
        error = await self._unload(order)
        if error is None:
            loaded = await self._api.load(order.name, self._fencing_number())
            error = loaded.error if loaded.is_error() else None
        seconds = clock.now() - started_at
        await self.scheduler.load_ended(order, error, seconds)
        if error is not None:
            logger.warning(
                'loading adapter {} on engine {} failed: {}',
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
        outcome = await self._api.unload(order.victim, self._fencing_number())
        if outcome.is_ok():
            residents.remove(order.victim)
            return None
        victim = residents.by_name.get(order.victim)
        if victim is not None:
            victim.state = ResidentState.READY
        return outcome.error


async def _ignore_error(_error: ServingError) -> None:
    """Do nothing: default listener."""


async def _ignore_end() -> None:
    """Do nothing: default listener."""
