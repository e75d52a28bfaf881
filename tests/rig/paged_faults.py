"""Random changes of published documents while VMs lose and read the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from tests.rig.site import ROUTES
from tests.rig.site_faults import FaultySite

if TYPE_CHECKING:
    from collections.abc import Callable

# Time in which a change has to reach each VM that reaches the store.
CONFIG_SECONDS: Final = 5.0
_ADAPTERS: Final = 6
_BEAT_SECONDS: Final = 0.25
_MAX_SLOWNESS_SECONDS: Final = 0.3


class PagedSite(FaultySite):
    """A site whose store sends pages, slowly, while all VMs are lost."""

    def __init__(self, seed: int) -> None:
        """Start the site."""
        super().__init__(seed)
        self.site.store.page_items = self.rng.choice((1, 2, 3, 5))
        self._removed: set[str] = set()

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults, with a total loss at twice the weight."""
        return [
            self.lose_all,
            self.lose_all,
            self.kill,
            self.start,
            self.slow_store,
            self.cut_store,
            self.cut_vms,
            self.heal,
            self.compact,
            self.change_routes,
            self.remove_upstream,
            self.register_upstream,
            self.declare_version,
        ]

    def lose_all(self) -> None:
        """Kill all VMs and start them, while documents change."""
        for vm in self.site.vms_by_id.values():
            if vm.node is not None:
                self.site.kill(vm.id)
        self.slow_store()
        self.start()
        for _change in range(self.rng.randrange(1, 4)):
            self.advance(self.rng.uniform(0, 1))
            change = self.rng.choice(
                (
                    self.change_routes,
                    self.remove_upstream,
                    self.register_upstream,
                    self.declare_version,
                )
            )
            change()

    def slow_store(self) -> None:
        """Change the time that an answer of the store takes."""
        seconds = self.rng.uniform(0, _MAX_SLOWNESS_SECONDS)
        self.site.store.answer_seconds = seconds

    def compact(self) -> None:
        """Let the store discard its history."""
        self.site.store.oldest = self.site.store.revision

    def change_routes(self) -> None:
        """Publish a configuration with some of the routes."""
        kept = [route for route in ROUTES if self.rng.random() < 2 / 3]
        routes = [self.site._route(route) for route in kept]
        self.site.publish(Routes=routes)

    def remove_upstream(self) -> None:
        """Delete the entry of an upstream."""
        runner = self.rng.choice([*self.site.engines, *self.site.apps])
        self._removed.add(runner.name)
        self.site.store.delete(f'servers/{runner.name}')

    def register_upstream(self) -> None:
        """Let the upstreams that were removed register again."""
        self._removed.clear()

    def declare_version(self) -> None:
        """Declare a newer version of an adapter."""
        adapter = f'a{self.rng.randrange(_ADAPTERS)}'
        version = self.site.store.revision
        entry = {'Model': 'base', 'Adapter': adapter, 'Version': version}
        self.site.store.put(f'op/version/base.{adapter}', entry)

    def advance(self, seconds: float) -> None:
        """Advance the time while all upstreams write their entries."""
        end = self.site.world.monotonic() + seconds
        while self.site.world.monotonic() < end:
            for runner in (*self.site.engines, *self.site.apps):
                if runner.name not in self._removed:
                    self.site.register(runner)
            left = end - self.site.world.monotonic()
            self.site.world.advance(min(left, _BEAT_SECONDS))

    def settle(self) -> None:
        """End all faults; leave the documents as they are."""
        self.heal()
        self.start()
        self.site.store.answer_seconds = 0.0
        self.advance(CONFIG_SECONDS)

    def find_violations(self) -> list[str]:
        """Describe what VMs know otherwise than the store."""
        expected = self._published()
        broken = []
        for vm in self.site.vms_by_id.values():
            known = self._known(vm.daemon)
            broken += [
                f'{vm.id}: {name} is {known[name]}, published {published}'
                for name, published in expected.items()
                if known[name] != published
            ]
        return broken

    def _published(self) -> dict[str, Any]:
        keys = self.site.store.items_by_key
        return {
            'configuration': self.site.version,
            'upstreams': sorted(
                key.removeprefix('servers/')
                for key in keys
                if key.startswith('servers/')
            ),
            'versions': [
                self.site.store.entry(f'op/version/base.a{n}').get('Version', 0)
                for n in range(_ADAPTERS)
            ],
        }

    def _known(self, daemon: Any) -> dict[str, Any]:
        catalogue = daemon.catalogue
        # An entry that lapsed around an outage stays registered, and takes no
        # requests after its grace period.
        listed = [
            upstream.id
            for service in ('app', 'engines')
            for upstream in catalogue.upstreams(service)
        ]
        return {
            'configuration': catalogue.configuration.version,
            'upstreams': sorted(listed),
            'versions': [
                catalogue.wanted_version('base', f'a{n}')
                for n in range(_ADAPTERS)
            ],
        }
