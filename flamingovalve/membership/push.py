"""Pushes new rumours at once, and batches bursts of member rumours."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.generated.messages import MemberState
from flamingovalve.util import clock
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from flamingovalve.membership.members import Member, MemberTable

_FANOUT: Final = 4
# Member rumours that arrive within this time after a push share the next one.
# Pushed one by one, the joins of many VMs that start together cost each VM
# thousands of datagrams.
_MIN_INTERVAL_SECONDS: Final = 0.02


class EagerPush:
    """Sends the queued rumours to a few VMs as soon as one is added.

    Piggybacking alone takes one probe period per hop. Rumours that must take
    effect within seconds are pushed when they are first received; they reach
    all of n VMs in O(log n) network delays.
    """

    def __init__(
        self,
        members: MemberTable,
        rng: random.Random,
        send: Callable[[Member], Awaitable[None]],
    ) -> None:
        """Push to random ``members``.

        :param send: sends the queued rumours to one member
        """
        self._members = members
        self._rng = rng
        self._send = send
        self._pushed_at = float('-inf')
        self._is_scheduled = False
        self._tasks = TaskSet()

    async def close(self) -> None:
        """Cancel a scheduled push."""
        await self._tasks.cancel()

    async def push_soon(self) -> None:
        """Push the queued rumours now, or shortly after a recent push."""
        if self._is_scheduled:
            return
        delay = self._pushed_at + _MIN_INTERVAL_SECONDS - clock.now()
        if delay <= 0:
            await self.push_now()
            return
        self._is_scheduled = True
        await self._tasks.spawn(self._push_after, delay)

    async def _push_after(self, seconds: float) -> None:
        await curio.sleep(seconds)
        self._is_scheduled = False
        await self.push_now()

    async def push_now(self) -> None:
        """Push the queued rumours now."""
        self._pushed_at = clock.now()
        others = [
            member
            for member in self._members.others()
            if member.state is not MemberState.DEAD
        ]
        count = min(_FANOUT, len(others))
        for member in self._rng.sample(others, count):
            await self._send(member)
