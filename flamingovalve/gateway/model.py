"""What operators publish, as values: routes, services and upstreams."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.ids import WorkspaceId

NO_WORKSPACE: Final = WorkspaceId('')

if TYPE_CHECKING:
    from flamingovalve.generated.ids import (
        AdapterId,
        DomainId,
        ModelId,
        ServiceId,
        UpstreamId,
    )


_DIGEST_BYTES: Final = 16


class Repeat(Enum):
    """How often one request of a route may run.

    A stream counts as not repeatable unless the caller's client or this
    system can resume it behind the last event that it has.
    """

    ANY = 'any'
    ONCE = 'once'
    RESUMABLE = 'resumable'


class UpstreamState(Enum):
    """Whether an upstream takes new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A share of a route's requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests under one host and path prefix go.

    :ivar timeout: longest time to an answer that the operator wants, seconds
    :ivar target_latency: time to an answer that is worth its full value,
        seconds; of a stream, to its first event
    :ivar priority: 0 is the most urgent
    :ivar most_upstreams: upstreams that one request may be sent to
    :ivar streams: whether the answer is a series of events
    :ivar longest_pause: longest pause between two events that is in time,
        seconds
    :ivar is_public: whether requests are served without an API key
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout: float
    target_latency: float
    priority: int
    services: tuple[WeightedService, ...]
    most_upstreams: int
    streams: bool
    longest_pause: float = 0
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What all engines of a service have in common.

    :ivar batch: requests that run at once
    :ivar adapter_slots: adapters that an engine can hold
    :ivar weight_mb: memory for weights and adapters together
    :ivar models: the base models, by name
    """

    batch: int
    adapter_slots: int
    weight_mb: float
    models: dict[ModelId, ModelTraits]


@dataclass(frozen=True, slots=True)
class ModelTraits:
    """One base model."""

    name: ModelId
    weight_mb: float
    adapter_mb: float
    adapters: int


@dataclass(frozen=True, slots=True)
class UpstreamService:
    """A service; without ``engine`` it is a plain one."""

    name: ServiceId
    engine: EngineTraits | None = None


class QuotaUnit(Enum):
    """Unit in which a quota is measured."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclass(frozen=True, slots=True)
class Quota:
    """Rate limit of a workspace over all VMs.

    :ivar rate: units a second
    :ivar burst: most units that can accumulate
    :ivar default_tokens: cost of a request without token counts
    """

    rate: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    default_tokens: int = 0

    def cost_of(self, tokens: int | None) -> float:
        """Give the cost of a request in units of the quota.

        :param tokens: prompt and output tokens; none if not counted
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return self.default_tokens if tokens is None else tokens


@dataclass(frozen=True, slots=True)
class Workspace:
    """A tenant whose callers share API keys and a priority.

    :ivar priority: overrides the priority of the route unless none
    :ivar quota: none for no limit
    """

    name: WorkspaceId
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers may send, and on how long they may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole published configuration.

    :ivar routes_by_host: routes of each host, longest prefix first
    :ivar workspaces_by_key: workspaces by the digests of their API keys; none
        if the configuration defines no workspaces
    """

    version: int = 0
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: dict[ServiceId, UpstreamService] = field(
        default_factory=dict,
    )
    limits: CallerLimits = CallerLimits()
    workspaces_by_key: dict[bytes, Workspace] | None = None
    workspaces_by_name: dict[WorkspaceId, Workspace] = field(
        default_factory=dict,
    )

    def needs_key(self, route: Route) -> bool:
        """Tell whether requests of a route need an API key."""
        return self.workspaces_by_key is not None and not route.is_public

    def workspace_of(self, key: bytes) -> Workspace | None:
        """Give the workspace that owns an API key."""
        return (self.workspaces_by_key or {}).get(key_digest(key))

    def quota_of(self, name: WorkspaceId) -> Quota | None:
        """Give the quota of a workspace; none for no limit."""
        workspace = self.workspaces_by_name.get(name)
        return workspace.quota if workspace else None

    def find(self, host: str, path: str) -> Route | None:
        """Give the route with the longest prefix that begins ``path``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class Upstream:
    """One running upstream as it describes itself."""

    id: UpstreamId
    service: ServiceId
    address: str
    domain: DomainId
    state: UpstreamState
    slots: int


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """A version of an adapter that requests have to be served with."""

    model: ModelId
    adapter: AdapterId
    version: int


def key_digest(key: bytes) -> bytes:
    """Give the digest by which an API key is looked up.

    Lookup by digest keeps its timing from revealing a partly correct key.
    """
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


EMPTY: Final = Configuration()
