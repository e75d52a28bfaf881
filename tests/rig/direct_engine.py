"""An owner and its engine without HTTP between them, on the virtual clock."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.fencing import ClaimStatus
from flamingovalve.gateway.model import EngineTraits, ModelTraits
from flamingovalve.gateway.owner import GroupOwner
from flamingovalve.gateway.upstream_status import UpstreamStatus
from flamingovalve.generated.ids import GroupId, VmId
from flamingovalve.generated.settings import GatewaySettings
from flamingovalve.http.messages import Response
from flamingovalve.platform import reports, upstreams
from flamingovalve.platform.fields import Fields
from flamingovalve.util import clock
from standins.platform_runner import PlatformEngineStandIn
from tests.rig.engines import MODEL, upstream
from tests.rig.world import World

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.engine import OwnedEngine
    from flamingovalve.gateway.orders import EngineReport, Order, OrderOutcome

SLOTS: Final = 3
_GROUP: Final = GroupId('engines')
_VM: Final = VmId('127.0.0.1:1')
_TRAITS: Final = EngineTraits(
    batch=8,
    adapter_slots=SLOTS,
    weight_mb=1000,
    models={MODEL: ModelTraits(MODEL, 500, 1, 3000)},
)


class DirectLink:
    """Passes orders and reports to a stand-in.

    :ivar before: called before each order arrives; may return its outcome
    :ivar after: called before each answer arrives; may return its outcome
    :ivar report_seconds: delay of a report after its state was read
    """

    def __init__(self, engine: PlatformEngineStandIn) -> None:
        """Pass everything without delay."""
        self.status = UpstreamStatus()
        self.before: Callable[[Order], Awaitable[OrderOutcome | None]] = _pass
        self.after: Callable[[Order], Awaitable[OrderOutcome | None]] = _pass
        self.report_seconds = 0.0
        self._engine = engine

    async def report(self, _patience: float) -> EngineReport:
        """Return the report of the engine."""
        asked_at = clock.now()
        shown = self._engine.report()
        await curio.sleep(self.report_seconds)
        return reports.report(Fields(shown), asked_at)

    async def order(self, order: Order) -> OrderOutcome:
        """Let the engine execute an order."""
        outcome = await self.before(order)
        if outcome is not None:
            return outcome
        status = await self._engine.execute_order(upstreams._order_body(order))
        outcome = await self.after(order)
        if outcome is not None:
            return outcome
        return upstreams._order_outcome(Response(status))


async def _pass(_order: Order) -> None:
    """Change nothing."""


class DirectOwner:
    """An owner of one engine in a process of its own.

    :ivar node: the process that both run in
    """

    def __init__(self) -> None:
        """Start the owner and read the first report."""
        self.world = World()
        network = SimpleNamespace(close_all=_close_nothing)
        self.node = self.world.add('owner', network)
        self.engine = PlatformEngineStandIn(
            None,  # type: ignore[arg-type]
            'engine-0:1',
            'engine-0',
            SLOTS,
        )
        self.link = DirectLink(self.engine)
        self.catalogue = Catalogue(lambda document: document)
        self.owner = GroupOwner(
            GatewaySettings(),
            _GROUP,
            _VM,
            ClaimStatus,
            self.catalogue,
            lambda _upstream: self.link,
        )
        self.owner.engines.predecessor_ended = True
        self.run(self._start)
        self.world.advance(0.1)

    async def _start(self) -> None:
        listed = [upstream('engine-0')]
        self.catalogue._apply_upstream(listed[0])
        await self.owner.replace_engines(listed, _TRAITS)

    @property
    def owned(self) -> OwnedEngine:
        """Return the engine as its owner sees it."""
        return next(iter(self.owner.engines.engines_by_id.values()))

    def close(self) -> None:
        """Stop all tasks."""
        self.world.close()

    def run(self, work: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
        """Run a coroutine in the process until it ends, at most 20 s."""
        task = self.node.spawn(work, *arguments)
        assert self.world.run_until(lambda: task.terminated, 20)
        return task.result

    def begin(
        self, work: Callable[..., Awaitable[Any]], *arguments: Any
    ) -> curio.Task:
        """Start a coroutine in the process."""
        return self.node.spawn(work, *arguments)

    def unknown(self) -> set[str]:
        """Return the adapters that the engine holds and its owner lacks."""
        return self.engine.occupying() - set(self.owned.ledger.held)


def _close_nothing() -> None:
    """Do nothing: the process has no sockets."""
