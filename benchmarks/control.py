"""Control-plane cost and settling time: ``python -m benchmarks.control``.

Runs whole daemons on the virtual clock, for several fleet sizes. The
processor time is that of the whole test rig divided by the number of VMs, so
it is an upper bound for one VM.
"""

from __future__ import annotations

import argparse
import statistics
import time
from dataclasses import dataclass

from flamingovalve.cmd.tables import table
from tests.rig.fleet import Fleet, Shape

SIZES = (5, 10, 20, 50, 100)
MEASURE_SECONDS = 60
WATCH_SECONDS = 60
DOMAINS = ('korangi', 'site-area', 'landhi', 'port-qasim')


@dataclass
class Cost:
    """Control-plane cost of one VM, per second.

    :ivar vms: size of the fleet
    :ivar processor: share of a core
    """

    vms: int
    messages: float
    bytes: float
    processor: float


@dataclass
class Fit:
    """A least-squares line through measured points.

    :ivar error: largest relative error
    """

    intercept: float
    slope: float
    error: float

    @classmethod
    def through(cls, points: list[tuple[float, float]]) -> Fit:
        """Fit a line through points of size and figure."""
        line = statistics.linear_regression(*zip(*points, strict=True))
        errors = [
            abs(line.intercept + line.slope * size - figure) / figure
            for size, figure in points
            if figure
        ]
        return cls(line.intercept, line.slope, max(errors, default=0))

    def at(self, size: float) -> float:
        """Return the value of the line at ``size``."""
        return self.intercept + self.slope * size


def idle_cost(vms: int, engines: int = 4) -> Cost:
    """Measure a fleet without requests."""
    shape = Shape(vms=vms, engines=engines, adapters=10, domains=DOMAINS)
    fleet = Fleet.started(shape)
    try:
        fleet.world.advance(20)
        before = _counts(fleet)
        started_at = time.process_time()
        fleet.world.advance(MEASURE_SECONDS)
        processor = time.process_time() - started_at
        after = _counts(fleet)
    finally:
        fleet.close()
    return Cost(
        vms,
        (after[0] - before[0]) / vms / MEASURE_SECONDS,
        (after[1] - before[1]) / vms / MEASURE_SECONDS,
        processor / vms / MEASURE_SECONDS,
    )


def _counts(fleet: Fleet) -> tuple[int, int]:
    counts = [daemon.gossip.counts for daemon in fleet.daemons()]
    return (
        sum(entry.sent for entry in counts),
        sum(entry.sent_bytes for entry in counts),
    )


def measure_settling(fault: str, seed: int) -> float:
    """Return the seconds from a fault until each engine has one owner."""
    shape = Shape(vms=20, engines=10, adapters=10, domains=DOMAINS, seed=seed)
    fleet = Fleet.started(shape)
    try:
        fleet.world.advance(20 + seed * 0.37)
        _FAULTS[fault](fleet)
        return _settling_seconds(fleet)
    finally:
        fleet.close()


def _settling_seconds(fleet: Fleet) -> float:
    """Return the seconds after which the fleet stayed settled."""
    started_at = fleet.world.current_time
    last_unsettled = 0.0
    while fleet.world.current_time - started_at < WATCH_SECONDS:
        fleet.world.advance(0.1)
        if not fleet.is_settled():
            last_unsettled = fleet.world.current_time - started_at
    assert fleet.is_settled(), fleet.owners()
    return last_unsettled


def _kill_owner(fleet: Fleet) -> None:
    fleet.kill(fleet.owners()['engine-0'][0])


def _freeze_owner(fleet: Fleet) -> None:
    fleet.pause(fleet.owners()['engine-0'][0])
    _exclude(fleet, [fleet.owners()['engine-0'][0]])


def _kill_domain(fleet: Fleet) -> None:
    for vm in fleet.vms_by_id.values():
        if vm.domain == DOMAINS[0]:
            fleet.kill(vm.id)


def _leave(fleet: Fleet) -> None:
    owner = fleet.owners()['engine-0'][0]
    daemon = fleet.daemon(owner)
    fleet.world.ask(fleet.vms_by_id[owner].node, daemon.begin_leaving)


def _heal(fleet: Fleet) -> None:
    ids = list(fleet.vms_by_id)
    fleet.links.partition(ids[:8], ids[8:])
    fleet.world.advance(60)
    fleet.links.heal()


def _exclude(fleet: Fleet, vm_ids: list[str]) -> None:
    # A paused daemon object still reports the engines that it owned before.
    for vm_id in vm_ids:
        fleet.vms_by_id[vm_id].daemon = None


_FAULTS = {
    'owner killed': _kill_owner,
    'owner frozen': _freeze_owner,
    'owner leaves': _leave,
    'domain of 5 VMs killed': _kill_domain,
    'split 8 / 12 healed': _heal,
}


def false_suspicions(seed: int, seconds: float = 3600) -> int:
    """Count suspicions at 5 % datagram loss, over an hour by default."""
    shape = Shape(vms=20, engines=2, adapters=4, domains=DOMAINS, seed=seed)
    fleet = Fleet.started(shape)
    try:
        fleet.links.loss = 0.05
        fleet.world.advance(seconds)
        return sum(
            daemon.gossip.counts.suspicions for daemon in fleet.daemons()
        )
    finally:
        fleet.close()


def main() -> None:
    """Run the measurements and print their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=7)
    parser.add_argument('--most', type=int, default=SIZES[-1])
    arguments = parser.parse_args()
    costs = [idle_cost(size) for size in SIZES if size <= arguments.most]
    print_costs(costs)
    rows = []
    for fault in _FAULTS:
        durations = [
            measure_settling(fault, seed)
            for seed in range(1, arguments.seeds + 1)
        ]
        median_seconds = statistics.median(durations)
        rows.append((fault, f'{median_seconds:.1f}', f'{max(durations):.1f}'))
    print(table(('FAULT (20 VMs)', 'SETTLED S MEDIAN', 'WORST'), rows))
    print()
    suspicions_per_hour = false_suspicions(1)
    print(f'suspicions in an hour at 5 % loss, 20 VMs: {suspicions_per_hour}')


def print_costs(costs: list[Cost]) -> None:
    """Print the control-plane cost by fleet size and the fitted lines."""
    rows = [
        (
            cost.vms,
            f'{cost.messages:.2f}',
            f'{cost.bytes:.0f}',
            f'{cost.processor:.3%}',
        )
        for cost in costs
    ]
    for name, attribute in (
        ('messages/s', 'messages'),
        ('bytes/s', 'bytes'),
        ('core', 'processor'),
    ):
        points = [(cost.vms, getattr(cost, attribute)) for cost in costs]
        fit = Fit.through(points)
        print(
            f'{name} = {fit.intercept:.4g} + {fit.slope:.4g} x VMs '
            f'(worst miss {fit.error:.0%}, {points[0][0]} to {points[-1][0]} '
            f'VMs); at 760: {fit.at(760):.4g}',
        )
    print(table(('VMS', 'MESSAGES/S', 'BYTES/S', 'CORE'), rows))
    print()


if __name__ == '__main__':
    main()
