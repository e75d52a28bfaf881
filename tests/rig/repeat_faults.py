"""Random faults on a site whose upstreams repeat answers late."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from tests.rig.late_repeats import LateRepeats
from tests.rig.site_faults import FaultySite

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.http.messages import Request

_REPEATED_SHARE: Final = 0.5
_MAX_MISSES: Final = 4


class RepeatingSite(FaultySite):
    """A site with late copies of refusals, failures and successes."""

    def __init__(self, seed: int) -> None:
        """Start the site."""
        super().__init__(seed)
        self.repeats = LateRepeats(self._is_repeated)
        self.repeats.install(*self.site.engines, *self.site.apps)

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults; refusals have three times the weight."""
        return [
            *super().faults(),
            self.miss_adapters,
            self.miss_adapters,
            self.miss_adapters,
            self.fill_apps,
            self.cut_upstreams,
        ]

    def miss_adapters(self) -> None:
        """Let the engines refuse the next requests for adapters."""
        for engine in self.site.engines:
            engine.misses = self.rng.randrange(1, _MAX_MISSES)
        for _request in range(_MAX_MISSES):
            self.ask()

    def fill_apps(self) -> None:
        """Let some plain upstreams refuse all requests, or none."""
        for app in self.site.apps:
            app.full = self.rng.random() < 1 / 3

    def cut_upstreams(self) -> None:
        """Partition a VM from all upstreams."""
        vm_id = self.rng.choice(list(self.site.vms_by_id))
        names = [one.name for one in (*self.site.engines, *self.site.apps)]
        self.site.links.partition([vm_id], names)

    def settle(self) -> None:
        """End all faults."""
        self.repeats.applies = lambda _request, _status: False
        for app in self.site.apps:
            app.full = False
        for engine in self.site.engines:
            engine.misses = 0
        super().settle()

    def find_violations(self) -> list[str]:
        """Describe each violation, streams that run twice among them."""
        runs: Counter[str] = Counter()
        for engine in self.site.engines:
            runs.update(engine.runs_by_request)
        broken = [f'{name} ran twice' for name, n in runs.items() if n > 1]
        for name, task in self.answers:
            response = task.result if task.terminated else None
            if runs[name] and getattr(response, 'status', 0) in {429, 503}:
                broken.append(f'{name} ran and was called not run')
        return [*broken, *super().find_violations()]

    def _is_repeated(self, _request: Request, _status: int) -> bool:
        return self.rng.random() < _REPEATED_SHARE
