"""Sets of curio tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class TaskSet:
    """Tasks that are cancelled together, such as those of one daemon."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._running: set[curio.Task] = set()

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._running)

    async def spawn(
        self,
        work: Callable[..., Awaitable[Any]],
        *arguments: Any,
    ) -> curio.Task:
        """Run ``work`` in a task that leaves the set when it ends."""
        task = await curio.spawn(self._run, work, arguments, daemon=True)
        if not task.terminated:
            # Before it has begun, as it may be cancelled until then.
            self._running.add(task)
        return task

    async def cancel(self) -> None:
        """Cancel all running tasks except the current one."""
        current = await curio.current_task()
        for task in sorted(self._running, key=lambda entry: entry.id):
            if task is not current:
                await task.cancel()
                self._running.discard(task)

    async def _run(
        self,
        work: Callable[..., Awaitable[Any]],
        arguments: tuple[Any, ...],
    ) -> None:
        try:
            await work(*arguments)
        finally:
            self._running.discard(await curio.current_task())
