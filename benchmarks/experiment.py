"""Runs one workload against whole daemons on the virtual clock."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
from hdrh.histogram import HdrHistogram

from benchmarks.policies import POLICIES
from benchmarks.workload import Deployment, Scenario, arrivals
from flamingovalve.errors import ConnectionLost
from flamingovalve.generated.settings import RelaySettings
from flamingovalve.http.client import ConnectionPool, UpstreamCall
from flamingovalve.util import clock
from tests.rig.fleet import Fleet, Shape, completion_call

if TYPE_CHECKING:
    from benchmarks.workload import Arrival
    from flamingovalve.engines.queue import Ticket

DEADLINE_SECONDS = 20
TOKEN_SECONDS = 0.02
_WARM_UP_SECONDS = 8
_MILLISECONDS = 1000
_MAX_RECORDED_MS = 600_000


@dataclass
class Outcome:
    """Measurements of one run.

    :ivar in_time: number of requests answered within their deadline
    :ivar stalled: number of requests that waited for an adapter load
    :ivar busy: seat-seconds used
    :ivar wanted: seat-seconds that the running and waiting requests could
        have used
    :ivar stalls: histogram of load stalls in milliseconds, by priority
    :ivar first_token_times: histogram of the time to first token, in
        milliseconds
    :ivar waits: histogram of queueing times in milliseconds, by priority
    """

    policy: str
    seed: int
    requests: int = 0
    answered: int = 0
    in_time: int = 0
    refused: int = 0
    stalled: int = 0
    stall_seconds: float = 0
    loads: int = 0
    evictions: int = 0
    busy: float = 0
    wanted: float = 0
    stalls: dict[str, Any] = field(
        default_factory=lambda: defaultdict(_histogram),
    )
    first_token_times: Any = None
    waits: dict[str, Any] = field(
        default_factory=lambda: defaultdict(_histogram),
    )

    def __post_init__(self) -> None:
        """Create the histogram of the time to first token."""
        self.first_token_times = _histogram()

    @property
    def efficiency(self) -> float:
        """Batch efficiency: ``busy`` as a share of ``wanted``."""
        return self.busy / self.wanted if self.wanted else 1


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_RECORDED_MS, 3)


class Experiment:
    """One policy under one workload."""

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        policy: str,
        seed: int,
    ) -> None:
        """Start a fleet with the sizes of the deployment."""
        self.scenario = scenario
        self.load = arrivals(deployment, scenario, seed)
        self.outcome = Outcome(policy, seed, requests=len(self.load))
        self.fleet = Fleet.started(
            Shape(
                vms=deployment.vms,
                engines=deployment.engines,
                adapters=deployment.adapters,
                domains=deployment.domains,
                slots=scenario.slots,
                batch=scenario.batch,
                fencing=deployment.fencing,
                seed=seed,
                tune=POLICIES[policy],
            ),
        )

        self.pool = ConnectionPool(
            self.fleet.caller.network,
            RelaySettings(),
        )

    def run(self) -> Outcome:
        """Send the whole workload and return the measurements."""
        try:
            self._run()
        finally:
            self.fleet.close()
        return self.outcome

    def _run(self) -> None:
        fleet = self.fleet
        fleet.world.advance(_WARM_UP_SECONDS)
        fleet.store.slowdown = self.scenario.store_slowdown
        self._register_dispatch_listeners()
        self._schedule_faults()
        task = fleet.caller.node.spawn(self._send_all)
        limit = self.scenario.seconds + 2 * DEADLINE_SECONDS + 60
        assert fleet.world.run_until(lambda: task.terminated, limit)
        self._collect_counts()

    def _register_dispatch_listeners(self) -> None:
        for daemon in self.fleet.daemons():
            for owner in daemon.engines.owners():
                owner.scheduler.dispatch_listener = self._record_dispatch

    def _schedule_faults(self) -> None:
        for engine in self.fleet.engines_by_id.values():
            engine.fail_loads = self.scenario.fail_loads
        if self.scenario.crash_at >= 0:
            node = self.fleet.node_named('engine-0')
            node.spawn(self._crash_later)

    async def _crash_later(self) -> None:
        await curio.sleep(self.scenario.crash_at)
        await self.fleet.engines_by_id['engine-0'].crash()

    def _record_dispatch(self, ticket: Ticket) -> None:
        waited = ticket.dispatched_at - ticket.entered_at
        priority = ticket.priority.value
        self.outcome.waits[priority].record_value(_ms(waited))
        self.outcome.first_token_times.record_value(_ms(waited + TOKEN_SECONDS))
        stall = ticket.stall_seconds if ticket.stalled else 0
        self.outcome.stalls[priority].record_value(_ms(stall))

    async def _send_all(self) -> None:
        started_at = clock.now()
        tasks = []
        for arrival in self.load:
            due = started_at + arrival.at
            await curio.sleep(max(due - clock.now(), 0))
            tasks.append(await curio.spawn(self._send, arrival))
        for task in tasks:
            await task.join()

    async def _send(self, arrival: Arrival) -> None:
        name = f'adapter-{arrival.adapter}'
        started_at = clock.now()
        status = await self._exchange(name, arrival)
        if status == 200:
            self.outcome.answered += 1
            missed_deadline = clock.now() - started_at > DEADLINE_SECONDS
            self.outcome.in_time += not missed_deadline
        else:
            self.outcome.refused += 1

    async def _exchange(self, name: str, arrival: Arrival) -> int:
        call = completion_call(
            name,
            f'at {arrival.at}',
            arrival.application,
            max_tokens=arrival.tokens,
            deadline=DEADLINE_SECONDS,
        )
        try:
            address = await self._find_address(name, arrival)
            response = await self.pool.exchange(
                address,
                call,
                DEADLINE_SECONDS + 5,
            )
        except (OSError, ConnectionLost):
            return 0
        return response.status

    async def _find_address(
        self,
        name: str,
        arrival: Arrival,
    ) -> str:
        vms = list(self.fleet.vms_by_id.values())
        entry_vm = vms[int(arrival.at * _MILLISECONDS) % len(vms)]
        query = f'model={name}&application={arrival.application}'
        response = await self.pool.exchange(
            entry_vm.http_address,
            UpstreamCall('GET', f'/v1/entry?{query}', []),
            5,
        )
        return json.loads(response.body)['addresses'][0]

    def _collect_counts(self) -> None:
        outcome = self.outcome
        for daemon in self.fleet.daemons():
            for owner in daemon.engines.owners():
                counts = owner.scheduler.counts
                outcome.stalled += counts.stalled
                outcome.stall_seconds += counts.stall_seconds
                outcome.loads += counts.loads
                outcome.evictions += counts.evictions
                outcome.busy += counts.busy_seat_seconds
                outcome.wanted += counts.wanted_seat_seconds


def _ms(seconds: float) -> int:
    return max(1, int(seconds * _MILLISECONDS))
