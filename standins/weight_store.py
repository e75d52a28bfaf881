"""Stand-in for the weight store: models the duration of loads."""

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
MAX_FULL_SPEED_LOADS = 8
SECONDS_BETWEEN_LOADS = 0.5


class StoreModel(Enum):
    """The two interpretations of how the store limits loads."""

    PARALLEL = 'parallel'
    SPACED = 'spaced'


class WeightStore:
    """Models the duration of loads.

    With ``PARALLEL``, a load takes 0.25 s while at most 8 are in flight, and
    proportionally longer with more. With ``SPACED``, in addition, only 2
    loads start per second.

    :ivar slowdown: factor on the duration of every load
    :ivar most_loading: highest number of loads in flight
    """

    def __init__(self, model: StoreModel = StoreModel.PARALLEL) -> None:
        """Create an idle store that follows ``model``."""
        self.model = model
        self.slowdown = 1.0
        self.loading = 0
        self.loads = 0
        self.most_loading = 0
        self._next_start = 0.0

    async def load(self) -> None:
        """Sleep for the duration of one load under the current concurrency."""
        self.loading += 1
        self.loads += 1
        self.most_loading = max(self.most_loading, self.loading)
        try:
            await self._wait_for_start()
            contention = max(1.0, self.loading / MAX_FULL_SPEED_LOADS)
            await curio.sleep(LOAD_SECONDS * contention * self.slowdown)
        finally:
            self.loading -= 1

    async def _wait_for_start(self) -> None:
        if self.model is StoreModel.PARALLEL:
            return
        start = max(self._next_start, clock.now())
        self._next_start = start + SECONDS_BETWEEN_LOADS
        await curio.sleep(start - clock.now())


class WeightStoreStandIn(StandIn):
    """A weight store that serves loads over HTTP."""

    def __init__(self, network: Network, address: str) -> None:
        """Create a store that listens at ``address``."""
        super().__init__(network, address)
        self.store = WeightStore()

    def statistics(self) -> dict[str, Any]:
        """Return the number of loads and the peak of concurrent loads."""
        return {
            'loads': self.store.loads,
            'most_loading': self.store.most_loading,
        }

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer after the modelled load time of the adapter."""
        await self.store.load()
        await responder.send(Response.from_json({'loaded': request.path}))
