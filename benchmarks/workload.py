"""Generates request arrivals for the two modelled deployments."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from itertools import accumulate


@dataclass(frozen=True)
class Deployment:
    """Sizes and request mix of one deployment.

    :ivar mix: share, application and response tokens of each request class
    :ivar skew: exponent of the Zipf distribution of adapters
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
    """Load and faults of one run.

    :ivar rate: requests per second
    :ivar shift_at: time at which other adapters become popular, in seconds
        from the start; negative for never
    :ivar flood: factor on the request rate in the middle third
    :ivar crash_at: time at which an engine crashes, in seconds from the
        start; negative for never
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

    def rate_at(self, seconds_in: float) -> float:
        """Return the requests per second at ``seconds_in`` from the start."""
        flooded = 1 / 3 < seconds_in / self.seconds < 2 / 3
        return self.rate * self.flood if flooded else self.rate


@dataclass(slots=True)
class Arrival:
    """One request of the workload.

    :ivar at: time in seconds from the start
    """

    at: float
    adapter: int
    application: str
    tokens: int


@dataclass
class Zipf:
    """Draws adapters from a Zipf distribution.

    :ivar names: adapters in order of popularity
    """

    adapters: int
    skew: float
    rng: random.Random
    names: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Assign the popularity ranks at random."""
        self.names = list(range(self.adapters))
        self.rng.shuffle(self.names)
        self._weights = list(
            accumulate(
                1 / (rank + 1) ** self.skew for rank in range(self.adapters)
            ),
        )

    def draw(self) -> int:
        """Return the adapter of one request."""
        return self.rng.choices(self.names, cum_weights=self._weights)[0]

    def shift(self) -> None:
        """Reassign the popularity ranks at random."""
        self.rng.shuffle(self.names)


def arrivals(
    deployment: Deployment,
    scenario: Scenario,
    seed: int,
) -> list[Arrival]:
    """Return the requests of one run in order of time."""
    rng = random.Random(f'{deployment.name}/{scenario.name}/{seed}')
    zipf = Zipf(deployment.adapters, deployment.skew, rng)
    shares = [share for share, _application, _tokens in deployment.mix]
    requests: list[Arrival] = []
    seconds_in = 0.0
    while seconds_in < scenario.seconds:
        previous = seconds_in
        seconds_in += rng.expovariate(scenario.rate_at(seconds_in))
        if previous < scenario.shift_at <= seconds_in:
            zipf.shift()
        _share, application, tokens = rng.choices(
            deployment.mix,
            weights=shares,
        )[0]
        requests.append(Arrival(seconds_in, zipf.draw(), application, tokens))
    return requests
