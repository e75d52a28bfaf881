"""Sends news on at once, without a flood when much of it comes together."""

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
# News of members that comes within this time of a push shares the next one.
# Pushed one by one, the joins of many VMs that start together cost each of
# them thousands of datagrams.
_PAUSE_SECONDS: Final = 0.02


class EagerPush:
    """Sends what is queued to a few VMs as soon as there is news.

    Piggybacking alone takes a probe's period a hop. News that must be in
    force within seconds is sent on as soon as it is first heard; it reaches
    all of n VMs in O(log n) network delays.
    """

    def __init__(
        self,
        members: MemberTable,
        chance: random.Random,
        send: Callable[[Member], Awaitable[None]],
    ) -> None:
        """Send by ``send`` to some of ``members``."""
        self._members = members
        self._chance = chance
        self._send = send
        self._pushed_at = float('-inf')
        self._is_due = False
        self._tasks = TaskSet()

    async def close(self) -> None:
        """Give up a push that is due."""
        await self._tasks.cancel()

    async def push_soon(self) -> None:
        """Send the news that is queued now, or in a moment with more."""
        if self._is_due:
            return
        pause = self._pushed_at + _PAUSE_SECONDS - clock.now()
        if pause <= 0:
            await self.push_now()
            return
        self._is_due = True
        await self._tasks.spawn(self._push_after, pause)

    async def _push_after(self, seconds: float) -> None:
        await curio.sleep(seconds)
        self._is_due = False
        await self.push_now()

    async def push_now(self) -> None:
        """Send the news that is queued now."""
        self._pushed_at = clock.now()
        others = [
            member
            for member in self._members.others()
            if member.state is not MemberState.DEAD
        ]
        count = min(_FANOUT, len(others))
        for member in self._chance.sample(others, count):
            await self._send(member)
