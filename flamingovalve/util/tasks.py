"""Running and ending curio tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class TaskSet:
    """Tasks that end together, such as those of one daemon."""

    def __init__(self) -> None:
        """Start with no task."""
        self._running: set[curio.Task] = set()

    def __len__(self) -> int:
        """Count the tasks that run."""
        return len(self._running)

    async def spawn(
        self,
        work: Callable[..., Awaitable[Any]],
        *arguments: Any,
    ) -> curio.Task:
        """Start ``work`` and forget it by itself once it ends."""
        return await curio.spawn(self._run, work, arguments, daemon=True)

    async def cancel(self) -> None:
        """End every task that still runs."""
        current = await curio.current_task()
        for task in sorted(self._running, key=lambda entry: entry.id):
            if task is not current:
                await task.cancel()

    async def _run(
        self,
        work: Callable[..., Awaitable[Any]],
        arguments: tuple[Any, ...],
    ) -> None:
        task = await curio.current_task()
        self._running.add(task)
        try:
            await work(*arguments)
        finally:
            self._running.discard(task)
