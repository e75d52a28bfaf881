"""VMs that lose their paths to upstreams while callers still reach them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, ClassVar, Final

from flamingovalve.errors import ConnectionLost
from tests.rig.site_faults import FaultySite

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingovalve.http.client import UpstreamCall

CONTACT_SECONDS: Final = 3.0
# Partitioned VMs serve less than this share of what the others serve ...
LEAST_SHARE: Final = 2 / 3
# ... and more requests than these fail there.
ALLOWED_FAILURES: Final = 10
ALLOWED_FAILURE_SHARE: Final = 1 / 50
# What the project aims at beyond the rule.
AIMED_SHARE: Final = 0.95
_FEWEST_TRIES: Final = 10
_REQUEST_INTERVAL_SECONDS: Final = 0.04
_CHAT_BUDGET_MS: Final = 2400
_CALL_BUDGET_MS: Final = 1000
_ADAPTERS: Final = 6
# Upstreams close the connection after one in so many responses.
_CLOSES_EVERY: Final = 4
_SILENCE_SECONDS: Final = 1.0
_PARTITION_SECONDS: Final = (5.0, 9.0)


class Mode(Enum):
    """What happens to connections of a partitioned VM.

    ``REFUSE`` keeps those that are open and refuses new ones.
    """

    HANG = 'hang'
    RESET = 'reset'
    REFUSE = 'refuse'


@dataclass
class Partition:
    """A time in which some VMs have no path to some upstreams."""

    vms: list[str]
    upstreams: list[str]
    mode: Mode
    since: float
    until: float = float('inf')


@dataclass
class Try:
    """The first attempt of a request.

    :ivar is_in_touch: whether its VM ran undisturbed for the contact time
    :ivar ended_at: when the complete response had arrived
    """

    name: str
    vm: str
    path: str
    sent_at: float
    deadline: float
    is_in_touch: bool
    status: int | None = None
    ended_at: float = float('inf')

    def is_served(self) -> bool:
        """Return whether it was answered with success in time."""
        return self.status == 200 and self.ended_at <= self.deadline


@dataclass
class PartitionedSite(FaultySite):
    """A site whose VMs lose their paths to upstreams, from one seed."""

    vm_count: ClassVar[int] = 6
    engine_count: ClassVar[int] = 3

    seed: int
    tries: list[Try] = field(default_factory=list)
    partitions: list[Partition] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the site."""
        FaultySite.__init__(self, self.seed)
        for runner in (*self.site.engines, *self.site.apps):
            runner.closes_every = _CLOSES_EVERY
        self._is_loaded = True
        self._request_rng = random.Random(self.seed)
        self._in_touch_from = dict.fromkeys(self.site.vms_by_id, 0.0)

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults that :meth:`play` chooses from."""
        return [
            self.cut_some,
            self.cut_some,
            self.cut_most_of_a_domain,
            self.heal_paths,
            self.cut_store,
            self.kill,
            self.start,
            self.silence_upstream,
            self.lose_orders,
            self.slow_orders,
        ]

    # -- Requests

    def ask(self) -> None:
        """Send nothing; :meth:`advance` sends requests all the time."""

    def advance(self, seconds: float) -> None:
        """Advance the time while callers send requests."""
        end = self.now() + seconds
        while self.now() < end:
            self._request()
            left = end - self.now()
            super().advance(min(left, _REQUEST_INTERVAL_SECONDS))

    def settle(self) -> None:
        """End all faults and wait for the site to recover, without load."""
        self._is_loaded = False
        super().settle()

    def now(self) -> float:
        """Return the virtual time."""
        return self.site.world.monotonic()

    def _request(self) -> None:
        running = self.running()
        if not running or not self._is_loaded:
            return
        call = self._next_call()
        headers = dict(call.headers)
        vm_id = self._request_rng.choice(running)
        budget = int(headers['Time-Budget-Ms']) / 1000
        attempt = Try(
            headers['Attempt-Id'],
            vm_id,
            call.target,
            self.now(),
            self.now() + budget,
            self.now() >= self._in_touch_from[vm_id],
        )
        self.tries.append(attempt)
        front = self.site.vms_by_id[vm_id].front
        task = self.site.caller.node.spawn(
            self._attempt, attempt, front, call, budget
        )
        self.answers.append((attempt.name, task))

    def _next_call(self) -> UpstreamCall:
        kind = self._request_rng.randrange(6)
        if kind < 3:
            adapter = self._request_rng.randrange(_ADAPTERS)
            path = '/chats/1' if kind else '/reviews/1'
            name = f'a{adapter}' if adapter > 2 else ''
            call = self.site.chat(name, path)
            return _with_budget(call, _CHAT_BUDGET_MS)
        path = '/reads/1' if kind == 3 else '/orders/1'
        return self.site.call(path, _CALL_BUDGET_MS)

    async def _attempt(
        self, attempt: Try, front: str, call: UpstreamCall, seconds: float
    ) -> object:
        try:
            response = await self.site.caller.exchange(front, call, seconds)
        except (OSError, ConnectionLost) as lost:
            return lost
        attempt.status = response.status
        attempt.ended_at = self.now()
        return response

    # -- Faults

    def cut(
        self,
        vms: Iterable[str],
        mode: Mode,
        upstreams: Iterable[str] | None = None,
    ) -> Partition:
        """Partition VMs from upstreams, from all of them by default."""
        if upstreams is None:
            runners = (*self.site.engines, *self.site.apps)
            upstreams = [runner.name for runner in runners]
        partition = Partition(list(vms), list(upstreams), mode, self.now())
        links = self.site.links
        if mode is Mode.HANG:
            links.partition(partition.vms, partition.upstreams)
        elif mode is Mode.REFUSE:
            links.refuse(partition.vms, partition.upstreams)
        else:
            links.refuse(
                partition.vms, partition.upstreams, ConnectionResetError
            )
            for vm_id in partition.vms:
                self._reset(vm_id, partition.upstreams)
        self.partitions.append(partition)
        return partition

    def heal_paths(self) -> None:
        """End the present partition, if there is one."""
        partition = self._present()
        if partition is not None:
            self.site.links.heal_between(partition.vms, partition.upstreams)
            partition.until = self.now()

    def cut_some(self) -> None:
        """Partition up to half of the VMs for some seconds."""
        names = list(self.site.vms_by_id)
        count = self.rng.randrange(1, len(names) // 2 + 1)
        self._cut_for_seconds(self.rng.sample(names, count))

    def cut_most_of_a_domain(self) -> None:
        """Partition most or all VMs of a failure domain for some seconds."""
        domain = self.rng.choice(('east', 'west'))
        names = [
            vm.id for vm in self.site.vms_by_id.values() if vm.domain == domain
        ]
        count = self.rng.choice((len(names) - 1, len(names)))
        self._cut_for_seconds(self.rng.sample(names, count))

    def silence_upstream(self) -> None:
        """Let one upstream fall silent for a second."""
        if self._present() is not None:
            return
        runner = self.rng.choice((*self.site.engines, *self.site.apps))
        vms = list(self.site.vms_by_id)
        self.site.links.partition(vms, [runner.name])
        self.advance(_SILENCE_SECONDS)
        self.site.links.heal_between(vms, [runner.name])

    def heal(self) -> None:
        """End all partitions."""
        self.heal_paths()
        super().heal()

    def kill(self) -> None:
        """Kill the process of a VM, unless VMs are partitioned."""
        if self._present() is None:
            super().kill()

    def start(self) -> None:
        """Start the processes that were killed."""
        for vm in self.site.vms_by_id.values():
            if vm.node is None:
                self._in_touch_from[vm.id] = self.now() + CONTACT_SECONDS
        super().start()

    def _cut_for_seconds(self, vms: list[str]) -> None:
        if self._present() is not None:
            return
        self.start()
        self.cut(vms, self.rng.choice(list(Mode)))
        self.advance(self.rng.uniform(*_PARTITION_SECONDS))
        if self.rng.random() < 0.5:
            self.heal_paths()

    def _reset(self, vm_id: str, upstreams: list[str]) -> None:
        node = self.site.vms_by_id[vm_id].node
        if node is not None:
            node.network.shut_down_connections(upstreams)

    def _present(self) -> Partition | None:
        for partition in self.partitions:
            if partition.until == float('inf'):
                return partition
        return None

    # -- Checks

    def find_violations(self) -> list[str]:
        """Return a description of each violation."""
        broken = super().find_violations()
        for partition in self.partitions:
            broken += self.partition_violations(partition)
        return broken

    def _run_violations(self) -> list[str]:
        orders = {one.name for one in self.tries if one.path == '/orders/1'}
        return [
            violation
            for violation in super()._run_violations()
            if violation.partition(' ')[0] in orders
        ]

    def judged(self, partition: Partition) -> list[Try]:
        """Return the tries of a partition, from the contact time on."""
        begin = partition.since + CONTACT_SECONDS
        return [
            one
            for one in self.tries
            if begin <= one.sent_at < partition.until and one.is_in_touch
        ]

    def partition_violations(self, partition: Partition) -> list[str]:
        """Return how a partition broke the rule, together and VM by VM."""
        tries = self.judged(partition)
        cut = [one for one in tries if one.vm in partition.vms]
        others = [one for one in tries if one.vm not in partition.vms]
        failed = sum(not one.is_served() for one in cut)
        allowed = ALLOWED_FAILURES + len(cut) * ALLOWED_FAILURE_SHARE
        broken = []
        least = LEAST_SHARE * served_share(others)
        if failed > allowed and served_share(cut) < least:
            broken.append(f'{describe(partition)}: {_counts(cut, others)}')
        for vm_id in partition.vms:
            own = [one for one in cut if one.vm == vm_id]
            if len(own) >= _FEWEST_TRIES and served_share(own) < least:
                broken.append(
                    f'{describe(partition)}, {vm_id}: {_counts(own, others)}'
                )
        return broken

    def aim_violations(self, partition: Partition) -> list[str]:
        """Return how a partition missed the aim of the project."""
        tries = self.judged(partition)
        broken = []
        others = [one for one in tries if one.vm not in partition.vms]
        if served_share(others) < AIMED_SHARE:
            broken.append(f'others: {_counts(others, others)}')
        for vm_id in partition.vms:
            own = [one for one in tries if one.vm == vm_id]
            if served_share(own) < AIMED_SHARE * served_share(others):
                broken.append(f'{vm_id}: {_counts(own, others)}')
        return broken


def describe(partition: Partition) -> str:
    """Return the VMs and the mode of a partition."""
    return f'{partition.mode.value} {" ".join(sorted(partition.vms))}'


def served_share(tries: list[Try]) -> float:
    """Return the share of tries that were served; 1 without any."""
    if not tries:
        return 1
    return sum(one.is_served() for one in tries) / len(tries)


def _counts(own: list[Try], others: list[Try]) -> str:
    served = sum(one.is_served() for one in own)
    others_served = sum(one.is_served() for one in others)
    failed = [f'{one.name} {one.path}' for one in own if not one.is_served()]
    return (
        f'served {served} of {len(own)}, the others {others_served} of '
        f'{len(others)}; {failed[:3]}'
    )


def _with_budget(call: UpstreamCall, budget_ms: int) -> UpstreamCall:
    call.headers = [
        (name, str(budget_ms) if name == 'Time-Budget-Ms' else text)
        for name, text in call.headers
    ]
    return call
