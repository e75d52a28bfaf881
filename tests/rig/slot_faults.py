"""Whole daemons on engines whose slots are always full."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.generated.ids import GroupId, UpstreamId
from tests.rig.site_faults import FaultySite

if TYPE_CHECKING:
    from collections.abc import Callable

    import curio

    from standins.platform_runner import PlatformEngineStandIn

_ADAPTERS: Final = 14
_INTERVAL_SECONDS: Final = 0.05
_LEAVING_SHARE: Final = 0.15
_HEALING_SHARE: Final = 1 / 3
_EVENTS: Final = 12


class FullSite(FaultySite):
    """A site with more requested adapters than slots.

    :ivar unknown: loads whose sender did not know all that the engine held
    """

    def __init__(self, seed: int, names: tuple[str, ...]) -> None:
        """Start the site.

        :param names: faults to inject; empty for all
        """
        super().__init__(seed)
        self.unknown: list[str] = []
        self._names = names
        self._open: list[curio.Task] = []
        for engine in self.site.engines:
            engine.report_lag_seconds = self.rng.choice((0.1, 0.3))
            engine.event_count = _EVENTS
            engine.on_load = partial(self._check_load, engine)

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults that :meth:`play` chooses from."""
        every = {
            fault.__name__: fault
            for fault in (
                self.restart_engine,
                self.lose_answers,
                self.delay_orders,
                self.slow_orders,
                self.slow_reports,
                self.outlast,
                self.release,
                self.kill,
                self.pause,
                self.cut_vms,
                self.cut_engine,
            )
        }
        return [every[name] for name in self._names or every]

    def advance(self, seconds: float) -> None:
        """Advance the time beside a steady load, some of which leaves."""
        end = self.site.world.monotonic() + seconds
        while self.site.world.monotonic() < end:
            self.ask()
            self._leave()
            for engine in self.site.engines:
                engine.load_seconds = self.rng.uniform(0.05, 0.8)
            super().advance(_INTERVAL_SECONDS)
        if self.rng.random() < _HEALING_SHARE:
            self.wake()
            self.heal()
            self.start()

    def ask(self) -> None:
        """Send a request for an adapter, some of which are popular."""
        if not self.running():
            return
        vm_id = self.rng.choice(self.running())
        number = min(self.rng.randrange(_ADAPTERS) for _draw in range(2))
        call = self.site.chat(f'a{number}')
        task = self.site.begin(vm_id, call)
        self._open.append(task)
        self.answers.append((dict(call.headers)['Attempt-Id'], task))

    def _leave(self) -> None:
        self._open = [task for task in self._open if not task.terminated]
        if self._open and self.rng.random() < _LEAVING_SHARE:
            task = self.rng.choice(self._open)
            self.site.caller.node.spawn(_cancel, task)

    def _check_load(
        self, engine: PlatformEngineStandIn, order: dict[str, Any]
    ) -> None:
        for vm in self.site.vms_by_id.values():
            if vm.peer != order['Holder'] or vm.daemon is None:
                continue
            owner = vm.daemon.owned.find(GroupId('engines'))
            if owner is None:
                continue
            owned = owner.engines.engines_by_id[UpstreamId(engine.name)]
            known = {*owned.ledger.held, order['Adapter']}
            missing = sorted(engine.occupying() - known)
            # An earlier owner on this VM may have sent it.
            is_sender = order['Precondition'] == owned.ledger.chain.sequence
            if missing and is_sender:
                self.unknown.append(f'{engine.name} holds unknown {missing}')

    def find_violations(self) -> list[str]:
        """Return a description of each violation."""
        return [*self.unknown, *super().find_violations()]

    # -- Faults

    def restart_engine(self) -> None:
        """Restart an engine, which comes back empty."""
        self.rng.choice(self.site.engines).restart()

    def lose_answers(self) -> None:
        """Lose the answers to the next orders, which are executed."""
        engine = self.rng.choice(self.site.engines)
        engine.lost_order_answers = self.rng.randrange(1, 3)

    def delay_orders(self) -> None:
        """Let the next orders arrive after their connection was lost."""
        engine = self.rng.choice(self.site.engines)
        engine.late_orders = self.rng.randrange(1, 3)
        engine.late_seconds = self.rng.uniform(0, 2.5)

    def slow_reports(self) -> None:
        """Delay reports, or none."""
        engine = self.rng.choice(self.site.engines)
        engine.report_seconds = self.rng.choice((0.0, 0.2, 0.5))

    def outlast(self) -> None:
        """Let runs whose callers have left go on for a while."""
        engine = self.rng.choice(self.site.engines)
        engine.linger_seconds = self.rng.choice((0.0, 0.5, 1.5))

    def release(self) -> None:
        """Let all VMs release their groups and live on."""
        for vm_id in self.running():
            vm = self.site.vms_by_id[vm_id]
            vm.node.spawn(vm.daemon.owned.close)

    def cut_engine(self) -> None:
        """Cut some VMs off from an engine."""
        engine = self.rng.choice(self.site.engines)
        names = list(self.site.vms_by_id)
        cut = self.rng.sample(names, self.rng.randrange(1, len(names)))
        self.site.links.partition(cut, [engine.name])

    def settle(self) -> None:
        """End all faults and wait for the site to recover."""
        for engine in self.site.engines:
            engine.lost_order_answers = 0
            engine.late_orders = 0
            engine.report_seconds = 0
            engine.linger_seconds = 0
        super().settle()
        for engine in self.site.engines:
            engine.load_seconds = 0.25
        FaultySite.advance(self, 2)


async def _cancel(task: curio.Task) -> None:
    await task.cancel(blocking=False)
