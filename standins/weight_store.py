"""Stand-in of the weight store: how long a load takes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.http.messages import Request, Response
from flamingovalve.util import clock
from standins.base import StandIn

if TYPE_CHECKING:
    from flamingovalve.http.server import Responder
    from flamingovalve.util.network import Network

LOAD_SECONDS = 0.25
FULL_SPEED_LOADS = 8
SECONDS_BETWEEN_LOADS = 0.5


class StoreModel(Enum):
    """The two readings of how the store is limited."""

    PARALLEL = 'parallel'
    SPACED = 'spaced'


class WeightStore:
    """Times loads.

    The parallel reading: a quarter of a second each while no more than 8
    are in flight, proportionally longer beyond that. The spaced reading:
    besides, only 2 loads begin a second.
    """

    def __init__(self, model: StoreModel = StoreModel.PARALLEL) -> None:
        """Time loads by ``model``."""
        self.model = model
        self.slowdown = 1.0
        self.loading = 0
        self.loads = 0
        self.most_loading = 0
        self._next_start = 0.0

    async def load(self) -> None:
        """Take as long as one load takes now."""
        self.loading += 1
        self.loads += 1
        self.most_loading = max(self.most_loading, self.loading)
        try:
            await self._wait_turn()
            crowd = max(1.0, self.loading / FULL_SPEED_LOADS)
            await curio.sleep(LOAD_SECONDS * crowd * self.slowdown)
        finally:
            self.loading -= 1

    async def _wait_turn(self) -> None:
        if self.model is StoreModel.PARALLEL:
            return
        start = max(self._next_start, clock.now())
        self._next_start = start + SECONDS_BETWEEN_LOADS
        await curio.sleep(start - clock.now())


class WeightStoreStandIn(StandIn):
    """The weight store as a program of its own."""

    def __init__(self, network: Network, address: str) -> None:
        """Serve loads at ``address``."""
        super().__init__(network, address)
        self.store = WeightStore()

    def figures(self) -> dict[str, Any]:
        """Give the number of loads."""
        return {
            'loads': self.store.loads,
            'most_loading': self.store.most_loading,
        }

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer once the adapter would have been read."""
        await self.store.load()
        await responder.send(Response.from_json({'loaded': request.path}))
