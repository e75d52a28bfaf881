"""Compares quota policies: ``python -m benchmarks.quota_policies``.

Simulates the requests of one workspace, without a network, under three
policies: a single VM keeps the credit (the policy in use), each VM has a
share of the quota by its demand, or each VM counts what all VMs admit.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from flamingovalve.cmd.tables import table
from flamingovalve.gateway.credit import CreditBucket
from flamingovalve.gateway.model import Quota, QuotaUnit
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterator

_SECONDS: Final = 40.0
_QUOTA: Final = Quota(60_000.0, 60_000.0, QuotaUnit.TOKENS)
_WINDOW_SECONDS: Final = 8.0
_GOSSIP_SECONDS: Final = 0.5
_DETECTION_SECONDS: Final = 2.0
_CHAT_SHARE: Final = 0.5
_CHAT_TOKENS: Final = 1000
_REVIEW_TOKENS: Final = 9000
_STEADY_LOAD: Final = 0.9
_HOT_LOAD: Final = 7.5
_OVERAGE: Final = 0.25
_SERVING_VM_COUNTS: Final = (12, 24, 60)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request with its time, VM and cost."""

    at: float
    vm: int
    tokens: int


class Policy(Protocol):
    """Admission of requests under one quota that many VMs share."""

    def admits(self, arrival: Arrival, *, is_partitioned: bool) -> bool:
        """Return whether a request is admitted.

        :param is_partitioned: whether the fleet is split into two equal halves
        """


class Keeper:
    """One VM holds the credit; each half of a partitioned fleet has its own."""

    def __init__(self, vms: int) -> None:
        """Create a bucket for each half of the fleet."""
        self._vms = vms
        self._buckets = [CreditBucket(_QUOTA, 0), CreditBucket(_QUOTA, 0)]
        self._local_buckets = [_share_bucket(1 / vms) for _vm in range(vms)]
        self._partitioned_since: float | None = None

    def admits(self, arrival: Arrival, *, is_partitioned: bool) -> bool:
        """Ask the keeper, or use the VM's share while it cannot be reached."""
        if not is_partitioned:
            self._partitioned_since = None
            return self._buckets[0].take(arrival.tokens) == 0
        if self._partitioned_since is None:
            self._partitioned_since = arrival.at
        half = arrival.vm % 2
        is_detected = arrival.at > self._partitioned_since + _DETECTION_SECONDS
        if half and not is_detected:
            local = self._local_buckets[arrival.vm]
            return local.take(arrival.tokens, may_overdraw=False) == 0
        share = _OVERAGE / 2 if half else 1
        return self._buckets[half].take(arrival.tokens, share) == 0


class DemandShares:
    """Each VM has a share of the quota in proportion to its demand."""

    def __init__(self, vms: int) -> None:
        """Start with equal shares."""
        self._vms = vms
        self._buckets = [_share_bucket(1 / vms) for _vm in range(vms)]
        self._demand = [0.0 for _bucket in self._buckets]
        self._divided_at = 0.0

    def admits(self, arrival: Arrival, *, is_partitioned: bool) -> bool:
        """Take credit from the share of the VM."""
        del is_partitioned
        self._demand[arrival.vm] += arrival.tokens
        if arrival.at > self._divided_at + _GOSSIP_SECONDS:
            self._divided_at = arrival.at
            self._divide()
        return self._buckets[arrival.vm].take(arrival.tokens) == 0

    def _divide(self) -> None:
        total = sum(self._demand) or 1
        for vm, demand in enumerate(self._demand):
            share = (demand / total + 1 / self._vms) / 2
            self._buckets[vm].update_quota(_share_of_quota(share))
        self._demand = [demand / 2 for demand in self._demand]


class SharedCounters:
    """Each VM counts its own admissions and those gossiped by others."""

    def __init__(self, vms: int) -> None:
        """Create a bucket of the full quota for each VM."""
        self._buckets = [CreditBucket(_QUOTA, 0) for _vm in range(vms)]
        self._unsent: list[Arrival] = []

    def admits(self, arrival: Arrival, *, is_partitioned: bool) -> bool:
        """Take credit from the bucket of the VM, after due gossip."""
        while self._unsent and (
            self._unsent[0].at < arrival.at - _GOSSIP_SECONDS
        ):
            self._gossip(self._unsent.pop(0), is_partitioned=is_partitioned)
        admitted = self._buckets[arrival.vm].take(arrival.tokens) == 0
        if admitted:
            self._unsent.append(arrival)
        return admitted

    def _gossip(self, admitted: Arrival, *, is_partitioned: bool) -> None:
        for vm, bucket in enumerate(self._buckets):
            is_unreachable = is_partitioned and vm % 2 != admitted.vm % 2
            if vm != admitted.vm and not is_unreachable:
                bucket.give_back(-admitted.tokens)


def _share_of_quota(share: float) -> Quota:
    return Quota(_QUOTA.rate * share, _QUOTA.burst * share, _QUOTA.unit)


def _share_bucket(share: float) -> CreditBucket:
    return CreditBucket(_share_of_quota(share), 0)


@dataclass(frozen=True, slots=True)
class Workload:
    """Offered load and faults of a run.

    :ivar load: requested tokens as a share of the quota
    :ivar moves: whether the requests move to other VMs every few seconds
    :ivar is_partitioned: whether the fleet is split in the middle third
    """

    name: str
    load: float
    moves: bool = False
    is_partitioned: bool = False


_WORKLOADS: Final = (
    Workload('steady', _STEADY_LOAD),
    Workload('hot', _HOT_LOAD),
    Workload('moving', _STEADY_LOAD, moves=True),
    Workload('split, hot', _HOT_LOAD, is_partitioned=True),
)


def _arrivals(workload: Workload, vms: int, seed: int) -> Iterator[Arrival]:
    rng = random.Random(seed)
    mean = _CHAT_SHARE * _CHAT_TOKENS + (1 - _CHAT_SHARE) * _REVIEW_TOKENS
    mean_interval = mean / (_QUOTA.rate * workload.load)
    at = 1.0
    while at < _SECONDS:
        at += rng.expovariate(1 / mean_interval)
        is_chat = rng.random() < _CHAT_SHARE
        mean_tokens = _CHAT_TOKENS if is_chat else _REVIEW_TOKENS
        tokens = round(rng.gammavariate(2, mean_tokens / 2))
        vm = rng.randrange(vms)
        if workload.moves:
            vm = (int(at / 5) + rng.randrange(2)) % vms
        yield Arrival(at, vm, tokens)


def _simulate(
    policy: Policy, workload: Workload, vms: int, seed: int
) -> list[float]:
    """Return the worst window and the loss of a run.

    The worst window is the largest number of tokens admitted in any window,
    as a share of what the quota allows. The loss is the shortfall against a
    single bucket, as a share of the tokens that the bucket admits.
    """
    virtual_now = [0.0]
    clock.replace_source(lambda: virtual_now[0], lambda: virtual_now[0])
    reference = CreditBucket(_QUOTA, 0)
    admitted_arrivals: list[Arrival] = []
    entitled = 0
    for arrival in _arrivals(workload, vms, seed):
        virtual_now[0] = arrival.at
        third = _SECONDS / 3
        is_partitioned = (
            workload.is_partitioned and third < arrival.at < 2 * third
        )
        admitted = policy.admits(arrival, is_partitioned=is_partitioned)
        is_entitled = reference.take(arrival.tokens) == 0
        entitled += arrival.tokens * is_entitled
        if admitted:
            admitted_arrivals.append(arrival)
    clock.restore_source()
    lost = max(
        entitled - sum(arrival.tokens for arrival in admitted_arrivals), 0
    )
    return [_worst_window(admitted_arrivals), lost / entitled]


def _worst_window(admitted_arrivals: list[Arrival]) -> float:
    allowed = _QUOTA.rate * _WINDOW_SECONDS + _QUOTA.burst
    worst, first, total = 0, 0, 0
    for arrival in admitted_arrivals:
        total += arrival.tokens
        while admitted_arrivals[first].at < arrival.at - _WINDOW_SECONDS:
            total -= admitted_arrivals[first].tokens
            first += 1
        worst = max(worst, total)
    return worst / allowed


def main() -> None:
    """Print the worst window and the loss of each policy and workload."""
    rows = []
    for workload in _WORKLOADS:
        for vms in _SERVING_VM_COUNTS:
            for kind in (Keeper, DemandShares, SharedCounters):
                runs = [
                    _simulate(kind(vms), workload, vms, seed)
                    for seed in range(5)
                ]
                worst = max(run[0] for run in runs)
                lost = sum(run[1] for run in runs) / len(runs)
                rows.append(
                    [
                        workload.name,
                        vms,
                        kind.__name__,
                        f'{worst:.2f}',
                        f'{lost:.2f}',
                    ]
                )
    headings = ['load', 'serving VMs', 'policy', 'worst window', 'loss']
    print(table(headings, rows))


if __name__ == '__main__':
    main()
