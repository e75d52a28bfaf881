"""Base class of the stand-ins: an HTTP server and its lifecycle."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.generated.settings import LimitSettings
from flamingovalve.http.messages import Request, Response
from flamingovalve.http.server import HttpServer

if TYPE_CHECKING:
    from flamingovalve.http.server import Responder
    from flamingovalve.util.network import Network


class StandIn:
    """An HTTP server that stands in for an external system."""

    def __init__(self, network: Network, address: str) -> None:
        """Create a stand-in that listens at ``address`` when it is run."""
        self.network = network
        self.address = address
        self.server = HttpServer(network, self.respond, LimitSettings())
        self.stopped = curio.Event()
        self._serving: curio.Task

    async def run(self) -> None:
        """Serve until ``stopped`` is set or the task is cancelled."""
        await self.open()
        try:
            await self.stopped.wait()
        finally:
            await self.close()

    async def open(self) -> None:
        """Start accepting connections."""
        listener = self.network.listen(self.address)
        self._serving = await curio.spawn(
            self.server.serve,
            listener,
            daemon=True,
        )

    async def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        await self._serving.cancel()
        await self.server.close()

    async def respond(self, request: Request, responder: Responder) -> None:
        """Answer one request; ``/control`` is handled here."""
        if request.path == '/control':
            reply = await self.control(json.loads(request.body or b'{}'))
            await responder.send(Response.from_json(reply))
            return
        await self.answer(request, responder)

    async def control(self, attributes: dict[str, Any]) -> dict[str, Any]:
        """Set attributes of the stand-in and return its statistics."""
        for name, setting in attributes.items():
            setattr(self, name, setting)
        return self.statistics()

    def statistics(self) -> dict[str, Any]:
        """Return the counters of the stand-in."""
        return {}

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer one request in the protocol of the external system."""
        raise NotImplementedError
