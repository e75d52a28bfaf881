"""Compares scheduling policies: ``python -m benchmarks.run``.

Runs whole daemons on the virtual clock in every scenario, under each policy
and with several seeds. Writes Markdown tables and plots to
``benchmarks/out``.
"""

from __future__ import annotations

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import astuple, dataclass, replace
from pathlib import Path

from benchmarks.bound import Bound, clairvoyant
from benchmarks.experiment import Experiment
from benchmarks.plots import bars
from benchmarks.policies import POLICIES
from benchmarks.workload import DEPLOYMENTS, Deployment, Scenario, arrivals

OUT = Path(__file__).parent / 'out'

STEADY = Scenario('steady')
SCENARIOS = (
    STEADY,
    replace(STEADY, name='busy', rate=45),
    replace(STEADY, name='popularity shift', shift_at=20),
    replace(STEADY, name='ordinary flood', rate=15, flood=3),
    replace(STEADY, name='few slots', rate=12, slots=6, flood=2),
    replace(STEADY, name='failing loads', fail_loads=5),
    replace(STEADY, name='engine restart', crash_at=20),
    replace(STEADY, name='slow store', store_slowdown=3),
)
QUICK = ('steady', 'ordinary flood')

TABLE_HEADINGS = (
    'policy',
    'stalled',
    'stall s',
    'stall p95 ms',
    'urgent wait p99 ms',
    'ordinary wait p99 ms',
    'first token p95 ms',
    'batch efficiency',
    'in time',
    'loads',
)


@dataclass(frozen=True)
class Job:
    """Parameters of one run."""

    deployment: Deployment
    scenario: Scenario
    policy: str
    seed: int


@dataclass(frozen=True)
class Figures:
    """Summary of one run; each field is a column of the table.

    :ivar stalled: share of requests that waited for an adapter load
    :ivar stall_p95: load stall in milliseconds, ordinary requests
    :ivar urgent_p99: queueing time in milliseconds, urgent requests
    :ivar ordinary_p99: queueing time in milliseconds, ordinary requests
    :ivar first_p95: time to first token in milliseconds
    :ivar in_time: share of requests answered within their deadline
    """

    stalled: float
    stall_seconds: float
    stall_p95: float
    urgent_p99: float
    ordinary_p99: float
    first_p95: float
    efficiency: float
    in_time: float
    loads: float

    def cells(self) -> list[str]:
        """Return the cells of a table row."""
        return [
            f'{self.stalled:.1%}',
            f'{self.stall_seconds:.0f}',
            f'{self.stall_p95:.0f}',
            f'{self.urgent_p99:.0f}',
            f'{self.ordinary_p99:.0f}',
            f'{self.first_p95:.0f}',
            f'{self.efficiency:.3f}',
            f'{self.in_time:.1%}',
            f'{self.loads:.0f}',
        ]


def measure(job: Job) -> Figures:
    """Execute one run and summarise it."""
    experiment = Experiment(
        job.deployment,
        job.scenario,
        job.policy,
        job.seed,
    )
    outcome = experiment.run()
    stalls = outcome.stalls['ordinary']
    return Figures(
        outcome.stalled / outcome.requests,
        outcome.stall_seconds,
        stalls.get_value_at_percentile(95),
        outcome.waits['urgent'].get_value_at_percentile(99),
        outcome.waits['ordinary'].get_value_at_percentile(99),
        outcome.first_token_times.get_value_at_percentile(95),
        outcome.efficiency,
        outcome.in_time / outcome.requests,
        outcome.loads,
    )


def median(runs: list[Figures]) -> Figures:
    """Return the median of each figure over the seeds."""
    columns = zip(*map(astuple, runs), strict=True)
    return Figures(*map(statistics.median, columns))


def bound_of(
    deployment: Deployment,
    scenario: Scenario,
    seeds: int,
) -> tuple[Bound, float]:
    """Return the clairvoyant bound of the median seed and its stall share."""
    bounds = []
    for seed in range(1, seeds + 1):
        load = arrivals(deployment, scenario, seed)
        slots = deployment.engines * scenario.slots
        bound_of_seed = clairvoyant(load, slots)
        bounds.append((bound_of_seed.stall_seconds, bound_of_seed, len(load)))
    bounds.sort(key=lambda entry: entry[0])
    _seconds, median_run, requests = bounds[len(bounds) // 2]
    return median_run, median_run.stalled / requests


def main() -> None:
    """Run every scenario, print the tables and write the plots."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument('--quick', action='store_true')
    arguments = parser.parse_args()
    selected = [
        scenario
        for scenario in SCENARIOS
        if not arguments.quick or scenario.name in QUICK
    ]
    jobs = [
        Job(deployment, scenario, policy, seed)
        for deployment in DEPLOYMENTS
        for scenario in selected
        for policy in POLICIES
        for seed in range(1, arguments.seeds + 1)
    ]
    with ProcessPoolExecutor(arguments.workers) as pool:
        measured = dict(zip(jobs, pool.map(measure, jobs), strict=True))
    OUT.mkdir(exist_ok=True)
    lines = []
    for deployment in DEPLOYMENTS:
        for scenario in selected:
            lines.extend(
                section(deployment, scenario, measured, arguments.seeds),
            )
    text = '\n'.join(lines)
    (OUT / 'scheduling.md').write_text(f'{text}\n', 'utf-8')
    print(text)


def section(
    deployment: Deployment,
    scenario: Scenario,
    measured: dict[Job, Figures],
    seeds: int,
) -> list[str]:
    """Return the table of one scenario as lines, and draw its plot."""
    title = f'{deployment.name}: {scenario.name}'
    lines = [f'### {title}', '', f'| {" | ".join(TABLE_HEADINGS)} |']
    lines.append(f'| {" | ".join("---" for _column in TABLE_HEADINGS)} |')
    stalls = {}
    for policy in POLICIES:
        runs = [
            measured[Job(deployment, scenario, policy, seed)]
            for seed in range(1, seeds + 1)
        ]
        median_run = median(runs)
        stalls[policy] = median_run.stall_seconds
        lines.append(f'| {policy} | {" | ".join(median_run.cells())} |')
    bound, share = bound_of(deployment, scenario, seeds)
    stalls['bound'] = bound.stall_seconds
    lines.append(
        f'| bound (future known) | {share:.1%} | {bound.stall_seconds:.0f} '
        f'| | | | | | | {bound.loads} |',
    )
    bars(title, 'load stall, seconds in all', stalls, OUT)
    return [*lines, '']


if __name__ == '__main__':
    main()
