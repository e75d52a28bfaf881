"""Arrivals of requests as the two deployments describe them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from itertools import accumulate


@dataclass(frozen=True)
class Deployment:
    """Sizes of one deployment and its mix of requests.

    :ivar mix: share of each class: application and tokens of its answers
    """

    name: str
    domains: tuple[str, ...]
    vms: int
    engines: int
    fencing: bool
    mix: tuple[tuple[float, str, int], ...]
    adapters: int = 3000
    skew: float = 1.1


INDUS_CREST = Deployment(
    'Indus Crest',
    ('korangi', 'site-area', 'landhi', 'port-qasim'),
    vms=4,
    engines=5,
    fencing=True,
    mix=(
        (0.15, 'urgent', 10),
        (0.25, 'brand', 30),
        (0.45, 'studio', 30),
        (0.15, 'studio', 150),
    ),
)
ZAHRADNI_KARTA = Deployment(
    'Zahradní Karta',
    ('praha-a', 'praha-b', 'brno-c'),
    vms=3,
    engines=5,
    fencing=True,
    mix=(
        (0.1, 'urgent', 10),
        (0.6, 'studio', 40),
        (0.3, 'studio', 80),
    ),
)
DEPLOYMENTS = (INDUS_CREST, ZAHRADNI_KARTA)


@dataclass(frozen=True)
class Scenario:
    """What happens while the load runs.

    :ivar rate: requests a second
    :ivar shift_at: when popularity moves to other adapters; negative: never
    :ivar flood: factor on ordinary requests in the middle third
    """

    name: str
    seconds: float = 40
    rate: float = 20
    slots: int = 12
    batch: int = 16
    shift_at: float = -1
    flood: float = 1
    fail_loads: int = 0
    crash_at: float = -1
    store_slowdown: float = 1

    def rate_at(self, moment: float) -> float:
        """Give the requests a second at a moment of the run."""
        flooded = 1 / 3 < moment / self.seconds < 2 / 3
        return self.rate * self.flood if flooded else self.rate


@dataclass(slots=True)
class Arrival:
    """One request of the load."""

    at: float
    adapter: int
    application: str
    tokens: int


@dataclass
class Zipf:
    """Draws adapters by popularity; a shift renames the popular ones."""

    adapters: int
    skew: float
    chance: random.Random
    names: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Rank the adapters at random."""
        self.names = list(range(self.adapters))
        self.chance.shuffle(self.names)
        self._weights = list(
            accumulate(
                1 / (rank + 1) ** self.skew for rank in range(self.adapters)
            ),
        )

    def draw(self) -> int:
        """Give the adapter of one request."""
        return self.chance.choices(self.names, cum_weights=self._weights)[0]

    def shift(self) -> None:
        """Make other adapters popular, without warning."""
        self.chance.shuffle(self.names)


def arrivals(
    deployment: Deployment,
    scenario: Scenario,
    seed: int,
) -> list[Arrival]:
    """Give the requests of one run, in order of time."""
    chance = random.Random(f'{deployment.name}/{scenario.name}/{seed}')
    zipf = Zipf(deployment.adapters, deployment.skew, chance)
    shares = [share for share, _application, _tokens in deployment.mix]
    made: list[Arrival] = []
    moment = 0.0
    while moment < scenario.seconds:
        before = moment
        moment += chance.expovariate(scenario.rate_at(moment))
        if before < scenario.shift_at <= moment:
            zipf.shift()
        _share, application, tokens = chance.choices(
            deployment.mix,
            weights=shares,
        )[0]
        made.append(Arrival(moment, zipf.draw(), application, tokens))
    return made
