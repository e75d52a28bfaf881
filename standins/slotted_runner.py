"""Stand-in for a plain upstream with few slots, a short queue and stalls."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import curio

from flamingovalve.http.messages import Request, Response
from standins.platform_runner import PlatformRunnerStandIn

if TYPE_CHECKING:
    from flamingovalve.http.server import Responder
    from flamingovalve.util.network import Network

_SLOTS = 6
_QUEUE = 24
_SHORTEST_SHARE = 0.5


class SlottedRunnerStandIn(PlatformRunnerStandIn):
    """Runs a few calls concurrently, queues some and refuses the others.

    :ivar call_slots: calls that it runs concurrently
    :ivar queue: calls that may wait for a slot
    :ivar slowness: factor on the duration of runs that start; 1 for none
    """

    def __init__(self, network: Network, address: str, name: str) -> None:
        """Create an upstream without calls; its name seeds the durations."""
        super().__init__(network, address, name)
        self.call_slots = _SLOTS
        self.queue = _QUEUE
        self.slowness = 1.0
        self._rng = random.Random(name)
        self._free = curio.Semaphore(_SLOTS)
        self._present = 0

    async def run_request(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        """Run one request when a slot is free, or refuse it."""
        if self._present >= _SLOTS + self.queue:
            await self.reject(responder)
            return
        self._present += 1
        try:
            await self._run_in_slot(request)
        finally:
            self._present -= 1
        body = f'{self.name} ran {request.target}'.encode()
        await responder.send(
            Response(200, self.identity_headers(request), body)
        )

    async def _run_in_slot(self, request: Request) -> None:
        async with self._free:
            self.record_run(request)
            variation = self._rng.uniform(_SHORTEST_SHARE, 2 - _SHORTEST_SHARE)
            await curio.sleep(self.run_seconds * variation * self.slowness)
