"""Random faults on a site whose upstreams announce limits."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, Final

from standins.announcing import Announced
from tests.rig.site_faults import FaultySite
from tests.rig.upstream_rules import (
    Disturbance,
    Disturbances,
    leaving_violations,
    limit_violations,
    rest_violations,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.announcing import History
    from standins.platform_runner import PlatformRunnerStandIn

_REQUEST_INTERVAL_SECONDS: Final = 0.08
_RATES: Final = (0.3, 1.0, 1.0, 2.5, 8.0)
_RESTS: Final = (0.3, 1.0, 3.0, 3.0, 7.5)
_PATHS: Final = (
    frozenset(),
    frozenset(('/report', '/order')),
)


class AnnouncingSite(FaultySite):
    """A site with random faults and announcements from one seed."""

    def __init__(self, seed: int) -> None:
        """Start the site; reports announce nothing in every other run."""
        super().__init__(seed)
        self.disturbances = Disturbances()
        self.sent_at: dict[str, float] = {}
        self._stopped_since: dict[str, float] = {}
        self._cut_since: dict[str, float] = {}
        for upstream in self.upstreams():
            upstream.history.silent_paths = _PATHS[seed % 2]

    def upstreams(self) -> list[PlatformRunnerStandIn]:
        """Return the engines and the plain upstreams."""
        return [*self.site.engines, *self.site.apps]

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults and announcements."""
        return [
            self.limit,
            self.limit,
            self.limit,
            self.reject,
            self.reject,
            self.leave,
            self.unlimit,
            self.unlimit,
            self.cut_vms,
            self.cut_store,
            self.heal,
            self.kill,
            self.start,
            self.pause,
            self.wake,
            self.lose_orders,
        ]

    def limit(self) -> None:
        """Let an upstream announce a limit, or change the one it has."""
        self._announce(rate_limit=self.rng.choice(_RATES))

    def reject(self) -> None:
        """Let an upstream reject requests and ask for rest."""
        history = self._announce(rest_seconds=self.rng.choice(_RESTS))
        history.rejects_all = self.rng.random() < 1 / 3

    def leave(self) -> None:
        """Let an upstream leave, unless it is the last of its service."""
        upstreams = self.rng.choice((self.site.engines, self.site.apps))
        staying = [
            one for one in upstreams if not one.history.announced.is_leaving
        ]
        if len(staying) > 1:
            history = self.rng.choice(staying).history
            history.announced = dataclasses.replace(
                history.announced, is_leaving=True
            )

    def unlimit(self) -> None:
        """Let an upstream announce nothing any more."""
        history = self.rng.choice(self.upstreams()).history
        history.announced = Announced()
        history.rejects_all = False

    def ask(self) -> None:
        """Send nothing; :meth:`advance` sends requests all the time."""

    def advance(self, seconds: float) -> None:
        """Advance the time while callers send requests."""
        end = self._now() + seconds
        while self._now() < end:
            self._request()
            super().advance(min(end - self._now(), _REQUEST_INTERVAL_SECONDS))

    def kill(self) -> None:
        """Kill the process of a VM."""
        self._record(super().kill)

    def start(self) -> None:
        """Start the processes that were killed."""
        self._record(super().start)

    def pause(self) -> None:
        """Pause a process."""
        self._record(super().pause)

    def wake(self) -> None:
        """Resume the paused processes."""
        self._record(super().wake)

    def cut_vms(self) -> None:
        """Partition the fleet into two parts."""
        self._record(super().cut_vms)

    def heal(self) -> None:
        """Heal all partitions."""
        self._record(super().heal)

    def find_violations(self) -> list[str]:
        """Return a description of each violation."""
        self._record(lambda: None)
        broken = [
            violation
            for upstream in self.upstreams()
            for check in (limit_violations, rest_violations)
            for violation in check(
                upstream.name, upstream.history, self.disturbances
            )
        ]
        late = [
            violation
            for upstream in self.upstreams()
            for violation in leaving_violations(
                upstream.name, upstream.history, self.disturbances, self.sent_at
            )
        ]
        return [*broken, *late, *self._run_violations()]

    def _announce(self, **changes: Any) -> History:
        history = self.rng.choice(self.upstreams()).history
        history.announced = dataclasses.replace(history.announced, **changes)
        return history

    def _request(self) -> None:
        running = self.running()
        if not running:
            return
        kind = self.rng.randrange(6)
        if kind < 3:
            adapter = self.rng.randrange(8)
            call = self.site.chat(f'a{adapter}' if adapter > 2 else '')
        elif kind < 5:
            call = self.site.call('/reads/1')
        else:
            call = self.site.call('/orders/1')
        name = dict(call.headers)['Attempt-Id']
        vm_id = self.rng.choice(running)
        self.sent_at[name] = self._now()
        self.answers.append((name, self.site.begin(vm_id, call)))

    def _record(self, change: Callable[[], None]) -> None:
        """Record which VMs are stopped or cut off before or after a change."""
        vm_ids = set(self.site.vms_by_id)
        stopped, cut = vm_ids - set(self.running()), self._minority()
        change()
        self._track(
            self._stopped_since,
            stopped | (vm_ids - set(self.running())),
            vm_ids - set(self.running()),
            is_partition=False,
        )
        minority = self._minority()
        self._track(
            self._cut_since, cut | minority, minority, is_partition=True
        )

    def _track(
        self,
        since: dict[str, float],
        disturbed: set[str],
        still_disturbed: set[str],
        *,
        is_partition: bool,
    ) -> None:
        now = self._now()
        for vm in disturbed:
            begins = since.setdefault(vm, now)
            self.disturbances.entries.append(
                Disturbance(vm, begins, now, is_partition)
            )
            if vm not in still_disturbed:
                del since[vm]

    def _minority(self) -> set[str]:
        """Return the VMs that are cut off from a majority."""
        _larger, smaller = sorted(
            self.parts, key=lambda part: (-len(part), min(part, default=''))
        )
        return set(smaller)

    def _now(self) -> float:
        return self.site.world.monotonic()
