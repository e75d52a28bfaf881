"""Compares policies for rate limits: ``python -m benchmarks.limit_policies``.

Simulates requests of many VMs to one upstream that announces a limit, without
a network. One VM keeps the limit (the policy in use), or each VM that knows it
has an equal share.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, Protocol

from flamingovalve.cmd.tables import table
from flamingovalve.gateway.credit import CreditBucket
from flamingovalve.gateway.model import Quota
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

_SECONDS: Final = 60.0
_WINDOW_SECONDS: Final = 4.0
_PATIENCE_SECONDS: Final = 0.5
_RATES: Final = (0.5, 1.0, 4.0, 20.0)
_VM_COUNTS: Final = (4, 12, 60)
_DEMAND: Final = 3.0
_SEEDS: Final = 5


class Policy(Protocol):
    """Admits the requests of all VMs to one upstream."""

    def book(self, vm: int) -> float:
        """Return the seconds until a request may be sent."""


class Keeper:
    """One VM books the requests of all."""

    def __init__(self, rate: float, _vms: int) -> None:
        """Start with an empty account."""
        burst = max(1, rate / 4)
        self._bucket = CreditBucket(Quota(rate, burst), clock.now())

    def book(self, vm: int) -> float:
        """Book a request at the keeper."""
        del vm
        return self._bucket.book(_PATIENCE_SECONDS)


class Shares:
    """Each VM has an equal share and stores at most one request."""

    def __init__(self, rate: float, vms: int) -> None:
        """Start with an empty share for each VM."""
        burst = max(1, rate / vms)
        self._buckets = [
            CreditBucket(Quota(rate / vms, burst), clock.now())
            for _vm in range(vms)
        ]

    def book(self, vm: int) -> float:
        """Book a request in the share of the VM."""
        return self._buckets[vm].book(_PATIENCE_SECONDS)


def _simulate(
    new_policy: Callable[[float, int], Policy],
    rate: float,
    vms: int,
    seed: int,
) -> tuple[float, float]:
    """Return the worst window and the use of a run.

    :returns: requests in the worst window as a share of those allowed, and
        all requests as a share of what the limit allows
    """
    now = [0.0]
    clock.replace_source(lambda: now[0], lambda: now[0])
    rng = random.Random(seed)
    policy = new_policy(rate, vms)
    sent_at: list[float] = []
    arrived_at = 0.0
    while arrived_at < _SECONDS:
        arrived_at += rng.expovariate(rate * _DEMAND)
        # The VMs are idle for a third of the time and store what they may.
        if _SECONDS / 3 < arrived_at < 2 * _SECONDS / 3:
            continue
        now[0] = arrived_at
        wait = policy.book(rng.randrange(vms))
        if wait <= _PATIENCE_SECONDS:
            sent_at.append(arrived_at + wait)
    clock.restore_source()
    allowed = 1.5 * rate * _WINDOW_SECONDS + 5
    return _worst_window(sorted(sent_at)) / allowed, len(sent_at) / (
        rate * _SECONDS * 2 / 3
    )


def _worst_window(sent_at: list[float]) -> int:
    worst, first = 0, 0
    for last, moment in enumerate(sent_at):
        while sent_at[first] < moment - _WINDOW_SECONDS:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def main() -> None:
    """Print the worst window and the use of each policy and limit."""
    rows = []
    for rate in _RATES:
        for vms in _VM_COUNTS:
            for kind in (Keeper, Shares):
                runs = [
                    _simulate(kind, rate, vms, seed) for seed in range(_SEEDS)
                ]
                worst = max(run[0] for run in runs)
                use = sum(run[1] for run in runs) / len(runs)
                rows.append(
                    [
                        f'{rate:g}',
                        vms,
                        kind.__name__,
                        f'{worst:.2f}',
                        f'{use:.2f}',
                    ]
                )
    headings = ['limit', 'VMs', 'policy', 'worst window', 'use']
    print(table(headings, rows))


if __name__ == '__main__':
    main()
