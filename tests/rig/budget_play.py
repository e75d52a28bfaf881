"""Failing upstreams before many VMs, and the retries that arrive there."""

from __future__ import annotations

import random
from collections import defaultdict
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.messages import Response
from standins.platform_runner import (
    PlatformEngineStandIn,
    PlatformRunnerStandIn,
)
from tests.rig.retry_rule import Allowance, RetryHistory
from tests.rig.site import Site

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.generated.settings import Settings
    from flamingovalve.http.messages import Request
    from flamingovalve.http.server import Responder
    from tests.rig.site import SiteVm

READS: Final = '/reads/'
REVIEWS: Final = '/reviews/'
APP: Final = 'app'
ENGINES: Final = 'engines'
_SERVICE_BY_PREFIX: Final = {READS: APP, REVIEWS: ENGINES}
_STALL_SECONDS: Final = 1.5
_CLIENT_SECONDS: Final = 4.0
_OK: Final = 200


class Trouble(Enum):
    """What happens to the requests that upstreams receive."""

    NONE = 'none'
    LOSES = 'loses'
    REJECTS = 'rejects'
    LACKS_MODEL = 'lacks_model'
    STALLS = 'stalls'


class _BudgetRunner(PlatformRunnerStandIn):
    """A plain upstream whose troubles the play decides."""

    play: BudgetSite

    async def respond(self, request: Request, responder: Responder) -> None:
        """Record the arrival of a request."""
        self.play.record_arrival(APP, request)
        await super().respond(request, responder)

    async def run_request(self, request: Request, responder: Responder) -> None:
        """Run one request, or let it fail."""
        if await self.play.survives(self, request, responder):
            await super().run_request(request, responder)


class _BudgetEngine(PlatformEngineStandIn):
    """An engine whose troubles the play decides."""

    play: BudgetSite

    async def respond(self, request: Request, responder: Responder) -> None:
        """Record the arrival of a request."""
        self.play.record_arrival(ENGINES, request)
        await super().respond(request, responder)

    async def run_request(self, request: Request, responder: Responder) -> None:
        """Run one request, or let it fail."""
        if await self.play.survives(self, request, responder):
            await super().run_request(request, responder)


class BudgetSite(Site):
    """A site whose upstreams fail, and which counts what arrives there.

    :ivar share: share of the requests that the upstreams' trouble concerns
    :ivar weights_by_vm: how many requests clients send to each VM, relatively
    :ivar repeats: how often clients repeat a failed request, at once
    :ivar served: number of requests that were served
    """

    app_kind = _BudgetRunner

    def __init__(
        self,
        vms: int = 10,
        seed: int = 1,
        allowance: Allowance | None = None,
        trouble: Trouble = Trouble.LOSES,
        route: str = READS,
        upstreams: int = 4,
    ) -> None:
        """Start the stand-ins and the VMs, which find each other."""
        self.allowance = allowance or Allowance()
        self.trouble = trouble
        self.route = route
        self.rng = random.Random(f'budget {seed}')
        self.share = 1.0
        self.repeats = 0
        self.served = 0
        self.requests_by_service: dict[str, list[float]] = defaultdict(list)
        self._arrivals: dict[tuple[str, str], list[float]] = defaultdict(list)
        super().__init__(vms, upstreams, 3, upstreams)
        self.weights_by_vm = dict.fromkeys(self.vms_by_id, 1.0)
        for runner in (*self.engines, *self.apps):
            runner.play = self
        self.shares_calls = True
        for vm_id in self.vms_by_id:
            self.start(vm_id)
        self.world.advance(6)

    @property
    def service(self) -> str:
        """The service of the requests that clients send."""
        return _SERVICE_BY_PREFIX[self.route]

    def _settings(self, vm: SiteVm) -> Settings:
        settings = super()._settings(vm)
        settings.gateway.retry_ratio = self.allowance.ratio
        settings.gateway.retry_slack = self.allowance.slack
        settings.gateway.retry_window_seconds = self.allowance.window
        settings.fleet.seeds = [
            vm.peer for vm in list(self.vms_by_id.values())[:3]
        ]
        return settings

    def _stand_in(self, name: str, kind: Any, *extra_args: Any) -> Any:
        is_engine = kind is PlatformEngineStandIn
        return super()._stand_in(
            name, _BudgetEngine if is_engine else kind, *extra_args
        )

    # -- Upstreams

    def record_arrival(self, service: str, request: Request) -> None:
        """Record a request of a client that has reached an upstream."""
        attempt = request.headers.get('attempt-id')
        if attempt:
            self._arrivals[service, attempt].append(self.now())

    async def survives(
        self,
        runner: PlatformRunnerStandIn,
        request: Request,
        responder: Responder,
    ) -> bool:
        """Return whether a request runs, after what happens to it if not."""
        if self.rng.random() >= self.share:
            return True
        if self.trouble is Trouble.LOSES:
            runner.record_run(request)
            await curio.sleep(runner.run_seconds)
            raise ConnectionLost('the response is lost')
        if self.trouble is Trouble.REJECTS:
            await responder.send(Response(503, [('Not-Executed', '1')]))
            return False
        if self.trouble is Trouble.LACKS_MODEL:
            await responder.send(Response(421, [('Not-Executed', '1')]))
            return False
        if self.trouble is Trouble.STALLS:
            await curio.sleep(_STALL_SECONDS)
        return True

    # -- Clients

    def now(self) -> float:
        """Return the time on the virtual clock."""
        return self.world.monotonic()

    def play(self, seconds: float, per_second: float = 20) -> None:
        """Let clients send requests, at random times, to random VMs."""
        end = self.now() + seconds
        at = self.now() + self.rng.expovariate(per_second)
        while at < end:
            self.world.advance(max(at - self.now(), 0))
            self.caller.node.spawn(self._run_client)
            at += self.rng.expovariate(per_second)
        self.world.advance(max(end - self.now(), 0))

    def settle(self) -> None:
        """Wait until all clients are done."""
        self.world.advance(_CLIENT_SECONDS + 1)

    async def _run_client(self) -> None:
        for _try in range(1 + self.repeats):
            if await self._is_served():
                self.served += 1
                return

    async def _is_served(self) -> bool:
        weights = list(self.weights_by_vm.values())
        vm_id = self.rng.choices(list(self.weights_by_vm), weights)[0]
        path = f'{self.route}{self.sent}'
        is_read = self.route == READS
        call = self.call(path) if is_read else self.chat(path=path)
        self.requests_by_service[self.service].append(self.now())
        front = self.vms_by_id[vm_id].front
        try:
            async with curio.timeout_after(_CLIENT_SECONDS):
                response = await self.caller.exchange(
                    front, call, _CLIENT_SECONDS
                )
        except (OSError, ConnectionLost, curio.TaskTimeout):
            return False
        return response.status == _OK

    # -- Faults

    def separate(self, *groups: Iterable[str]) -> None:
        """Cut the links between groups of VMs, in place of earlier cuts."""
        self.links.heal()
        parts = [list(group) for group in groups]
        for index, part in enumerate(parts):
            for other in parts[index + 1 :]:
                self.links.partition(part, other)

    def isolate_all(self) -> None:
        """Cut all links between VMs."""
        self.separate(*([vm_id] for vm_id in self.vms_by_id))

    def split(self, count: int) -> None:
        """Cut the VMs into so many groups of about the same size."""
        names = list(self.vms_by_id)
        self.separate(*(names[part::count] for part in range(count)))

    def restart(self, vm_ids: Iterable[str]) -> None:
        """Kill and start VMs at once."""
        for vm_id in list(vm_ids):
            self.kill(vm_id)
            self.start(vm_id)

    def pause(self, vm_id: str, *, paused: bool = True) -> None:
        """Stop the process of a VM as by SIGSTOP, or resume it."""
        node = self.vms_by_id[vm_id].node
        if node is not None:
            node.paused = paused

    # -- Checks

    def history(self, service: str = '') -> RetryHistory:
        """Return the requests for a service and the retries at it.

        :param service: defaults to the service that clients use
        """
        name = service or self.service
        retries = [
            at
            for (arrived_at, _attempt), times in self._arrivals.items()
            if arrived_at == name
            for at in sorted(times)[1:]
        ]
        requests = self.requests_by_service[name]
        return RetryHistory(self.allowance, requests, retries)

    def attempts_sent(self) -> int:
        """Return the number of requests that have reached an upstream."""
        return len(self._arrivals)
