"""Runs alternatives one after another, and in parallel while none is ready."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, TypeVar

import curio

from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

Opened = TypeVar('Opened')

logger = get_logger(__name__)

# Alternatives end by themselves; curio has no infinite timeouts.
_NO_TIMEOUT: Final = 3600.0


async def first_opened(
    starts: Sequence[Callable[[], Awaitable[Opened | None]]],
    delay: float,
    discard: Callable[[Opened], Awaitable[None]],
) -> Opened | None:
    """Return the first result that is not None.

    Each alternative starts when those before have failed, or have not ended
    within ``delay`` seconds. The others are cancelled.

    :param starts: alternatives in their order; one that raises an error has
        failed
    :param discard: disposes of results that are not returned
    :returns: None if all alternatives fail
    """
    race = _Race()
    try:
        for number, start in enumerate(starts, 1):
            await race.start(start)
            timeout = delay if number < len(starts) else _NO_TIMEOUT
            opened = await race.next_opened(timeout)
            if opened is not None:
                return opened
    finally:
        await race.close(discard)
    return None


class _Race:
    """The alternatives that were started."""

    def __init__(self) -> None:
        self._ended: curio.Queue = curio.Queue()
        self._tasks: list[curio.Task] = []
        self._running = 0

    async def start(self, start: Callable[[], Awaitable[Any]]) -> None:
        """Start an alternative."""
        self._running += 1
        task = await curio.spawn(self._run, start, daemon=True)
        self._tasks.append(task)

    async def next_opened(self, timeout: float) -> Any:
        """Wait for a result that is not None.

        :param timeout: longest wait in seconds
        :returns: the result; None if all have failed, or after ``timeout``
        """
        opened = None
        async with curio.ignore_after(timeout):
            while opened is None and self._running:
                opened = await self._ended.get()
                self._running -= 1
        return opened

    async def close(self, discard: Callable[[Any], Awaitable[None]]) -> None:
        """Cancel what still runs and discard the other results."""
        for task in self._tasks:
            await task.cancel()
        while not self._ended.empty():
            rest = await self._ended.get()
            if rest is not None:
                await discard(rest)

    async def _run(self, start: Callable[[], Awaitable[Any]]) -> None:
        opened = None
        try:
            opened = await start()
        except Exception as error:
            # Nobody joins this task, and the race waits for its result.
            logger.exception('an alternative has failed: {!r}', error)
        await self._ended.put(opened)
