"""What every stand-in shares: an HTTP server and a way to stop."""

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
    """A program that answers HTTP at one address."""

    def __init__(self, network: Network, address: str) -> None:
        """Answer at ``address`` once run."""
        self.network = network
        self.address = address
        self.server = HttpServer(network, self.respond, LimitSettings())
        self.stopped = curio.Event()
        self._serving: curio.Task

    async def run(self) -> None:
        """Serve until stopped or cancelled."""
        await self.open()
        try:
            await self.stopped.wait()
        finally:
            await self.shut()

    async def open(self) -> None:
        """Start to accept connections."""
        listening = self.network.listen(self.address)
        self._serving = await curio.spawn(
            self.server.serve,
            listening,
            daemon=True,
        )

    async def shut(self) -> None:
        """Refuse connections and end those that are open."""
        await self._serving.cancel()
        await self.server.close()

    async def respond(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        if request.path == '/control':
            reply = await self.control(json.loads(request.body or b'{}'))
            await responder.send(Response.from_json(reply))
            return
        await self.answer(request, responder)

    async def control(self, order: dict[str, Any]) -> dict[str, Any]:
        """Set attributes of the stand-in, and give its figures."""
        for name, setting in order.items():
            setattr(self, name, setting)
        return self.figures()

    def figures(self) -> dict[str, Any]:
        """Give what the stand-in has counted."""
        return {}

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer one request of the outside system's protocol."""
        raise NotImplementedError
