"""Compares choices of upstreams: ``python -m benchmarks.call_policies``.

Runs whole gateways on the virtual clock with four plain upstreams that take
turns to stall. Either each VM chooses with its own balancer, or one VM chooses
for all. An exchange between VMs is delayed as between failure domains; the
processor time of the VMs is not modelled.
"""

from __future__ import annotations

import itertools
import random
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import curio
import logbook

from flamingovalve.cmd.tables import table
from flamingovalve.generated.messages import CallAsk
from flamingovalve.util import clock
from standins.slotted_runner import SlottedRunnerStandIn
from tests.rig.site import Site

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingovalve.gateway.call_client import CallCounts
    from flamingovalve.generated.settings import Settings
    from flamingovalve.http.client import UpstreamCall

_VMS: Final = 12
_UPSTREAMS: Final = 4
_SLOTS: Final = 6
_EXCHANGE_SECONDS: Final = 0.003
_SLOWNESS: Final = 2.5
_IDEMPOTENT_SHARE: Final = 0.25
_SERVED: Final = 200
_REFUSED: Final = 503


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service; all times in seconds.

    :ivar seconds: duration of a run
    :ivar run_seconds: mean duration of a call
    """

    name: str
    seconds: float
    run_seconds: float
    target: float
    deadline: float

    def rate(self, load: float) -> float:
        """Return the calls per second that use a share of all slots."""
        return load * _UPSTREAMS * _SLOTS / self.run_seconds


_SERVICES: Final = (
    Service('A', 8.0, 0.0225, 0.16, 0.66),
    Service('B', 16.0, 0.09, 0.41, 1.5),
)
# The usual loads of A and B are 0.05 and 0.22; bursts reach twice that, and
# upstreams crash.
_LOADS: Final = (0.2, 0.5, 0.8)


class CallSite(Site):
    """A site whose plain upstreams have few slots."""

    app_kind = SlottedRunnerStandIn

    def __init__(self, service: Service, *, is_shared: bool) -> None:
        """Start the stand-ins of ``service``."""
        self.service = service
        self.is_shared = is_shared
        super().__init__(_VMS, engines=0, apps=_UPSTREAMS)
        for app in self.apps:
            app.run_seconds = service.run_seconds
        for vm_id in self.vms_by_id:
            self._delay_asks(self.start(vm_id))
        self.world.advance(6)

    def counts(self) -> list[CallCounts]:
        """Return the counts of the calls through each VM."""
        daemons = [vm.daemon for vm in self.vms_by_id.values() if vm.daemon]
        return [daemon.calls.client.counts for daemon in daemons]

    def _route(self, route: dict[str, Any]) -> dict[str, Any]:
        published = super()._route(route)
        published['TargetLatencyMs'] = self.service.target * 1000
        published['TimeoutMs'] = self.service.deadline * 1000
        return published

    def _settings(self, vm: Any) -> Settings:
        settings = super()._settings(vm)
        settings.gateway.shared_calls = self.is_shared
        return settings

    def _delay_asks(self, daemon: Any) -> None:
        async def serve_ask(ask: CallAsk, connection: Any) -> None:
            await curio.sleep(_EXCHANGE_SECONDS)
            await daemon.calls.keeper.serve_ask(ask, connection)

        daemon.peer_server.on_session(CallAsk, serve_ask)


@dataclass
class CallTimes:
    """Response times of the calls of a run, by their outcome.

    :ivar times: seconds to each response, or to its failure or refusal
    """

    served: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    lost: list[float] = field(default_factory=list)
    hedged: int = 0

    def add(self, other: CallTimes) -> None:
        """Add the calls of another run."""
        self.served += other.served
        self.refused += other.refused
        self.lost += other.lost
        self.hedged += other.hedged

    def add_response(self, status: int, seconds: float) -> None:
        """Add the response to one call."""
        if status == _SERVED:
            self.served.append(seconds)
        elif status == _REFUSED:
            self.refused.append(seconds)
        else:
            self.lost.append(seconds)

    def row(self, target: float) -> list[str]:
        """Return the cells of the table."""
        count = len(self.served) + len(self.refused) + len(self.lost)
        in_time = sum(seconds <= target for seconds in self.served)
        ranked = sorted(self.served)
        return [
            f'{in_time / count:.3f}',
            f'{ranked[len(ranked) // 2]:.3f}',
            f'{ranked[len(ranked) * 99 // 100]:.3f}',
            f'{len(self.refused) / count:.3f}',
            f'{len(self.lost) / count:.3f}',
            f'{self.hedged / count:.3f}',
        ]


async def _play(
    site: CallSite, load: float, seed: int, times: CallTimes
) -> None:
    """Send calls at random times through random VMs."""
    rng = random.Random(seed)
    ends = clock.now() + site.service.seconds
    stalling = await curio.spawn(_stall, site, seed)
    tasks = []
    while clock.now() < ends:
        await curio.sleep(rng.expovariate(site.service.rate(load)))
        path = '/reads/1' if rng.random() < _IDEMPOTENT_SHARE else '/orders/1'
        vm = site.vms_by_id[f'vm-{rng.randrange(_VMS)}']
        budget = f'{site.service.deadline * 1000:.0f}'
        call = site.call(path, Time_Budget_Ms=budget)
        tasks.append(await curio.spawn(_send, site, vm.front, call, times))
    for task in tasks:
        await task.join()
    await stalling.cancel()


async def _stall(site: CallSite, seed: int) -> None:
    """Let the upstreams take turns to stall."""
    rng = random.Random(-seed)
    for app in itertools.cycle(site.apps):
        await curio.sleep(rng.uniform(0, 1))
        app.slowness = _SLOWNESS
        await curio.sleep(rng.uniform(2, 4))
        app.slowness = 1.0


async def _send(
    site: CallSite, address: str, call: UpstreamCall, times: CallTimes
) -> None:
    began = clock.now()
    response = await site.caller.exchange(address, call, 10)
    times.add_response(response.status, clock.now() - began)


def _run(
    service: Service, load: float, seed: int, *, is_shared: bool
) -> CallTimes:
    site = CallSite(service, is_shared=is_shared)
    times = CallTimes()
    try:
        task = site.caller.node.spawn(_play, site, load, seed, times)
        assert site.world.run_until(
            lambda: task.terminated, service.seconds * 2
        )
        times.hedged = sum(counts.hedged for counts in site.counts())
    finally:
        site.close()
    return times


def _rows(seeds: range) -> Iterator[list[Any]]:
    for service, load in itertools.product(_SERVICES, _LOADS):
        for is_shared in (False, True):
            times = CallTimes()
            for seed in seeds:
                times.add(_run(service, load, seed, is_shared=is_shared))
            choice = 'keeper' if is_shared else 'balancer'
            yield [service.name, load, choice, *times.row(service.target)]


def main() -> None:
    """Print how the calls of each service, load and policy ended.

    The number of seeds may be given as an argument.
    """
    logbook.NullHandler().push_application()
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    headings = ['service', 'load', 'choice', 'in time', 'median', '99th']
    print(table([*headings, 'refused', 'lost', 'hedged'], _rows(seeds)))


if __name__ == '__main__':
    main()
