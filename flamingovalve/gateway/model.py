"""Value types of the published configuration and of upstreams."""

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


_KEY_DIGEST_BYTES: Final = 16


class RepeatPolicy(Enum):
    """Whether a request of a route may run more than once.

    A stream is not repeatable unless the caller's client or the gateway can
    resume it after the last event that was received.
    """

    ANY = 'any'
    ONCE = 'once'
    RESUMABLE = 'resumable'


class UpstreamState(Enum):
    """Whether an upstream accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, weighted by its share of the requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests under one host and path prefix.

    :ivar timeout: upper limit of the response time in seconds, as set by the
        operator
    :ivar target_latency: response time in seconds up to which a response has
        its full value; of a stream, the time to its first event
    :ivar priority: 0 is the most urgent
    :ivar max_upstreams: upper limit of upstreams that may run one request
    :ivar streams: whether the response is a stream of events
    :ivar max_event_gap: target of the gap between two events in seconds
    :ivar is_public: whether requests are served without an API key
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    timeout: float
    target_latency: float
    priority: int
    services: tuple[WeightedService, ...]
    max_upstreams: int
    streams: bool
    max_event_gap: float = 0
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Traits that all engines of a service share.

    :ivar batch: number of requests that run concurrently
    :ivar adapter_slots: number of adapters that an engine can hold
    :ivar weight_mb: memory for model weights and adapters together, in MB
    :ivar models: the base models, by name
    :ivar kv_tokens: tokens of prompts and responses that it has memory for;
        0 if unknown
    """

    batch: int
    adapter_slots: int
    weight_mb: float
    models: dict[ModelId, ModelTraits]
    kv_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ModelTraits:
    """Memory needs of a base model and its adapters, in MB."""

    name: ModelId
    weight_mb: float
    adapter_mb: float
    adapters: int


@dataclass(frozen=True, slots=True)
class UpstreamService:
    """A service of engines, or a plain service if ``engine`` is None.

    :ivar health_path: path at which its upstreams say which instance they are;
        empty if unknown
    """

    name: ServiceId
    engine: EngineTraits | None = None
    health_path: str = ''


class QuotaUnit(Enum):
    """Unit in which a quota is measured."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclass(frozen=True, slots=True)
class Quota:
    """Rate limit of a workspace over all VMs.

    :ivar rate: units per second
    :ivar burst: upper limit of accumulated units
    :ivar default_tokens: cost of a request without token counts
    """

    rate: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    default_tokens: int = 0

    def cost_of(self, tokens: int | None) -> float:
        """Return the cost of a request in units of the quota.

        :param tokens: prompt and output tokens; None if not counted
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return self.default_tokens if tokens is None else tokens


@dataclass(frozen=True, slots=True)
class Workspace:
    """A tenant whose callers share API keys and a priority.

    :ivar priority: overrides the priority of the route unless None
    :ivar quota: None for no limit
    """

    name: WorkspaceId
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and on idle connections of callers."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete published configuration.

    :ivar routes_by_host: routes of each host, longest prefix first
    :ivar workspaces_by_key: workspaces by the digests of their API keys; None
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
        """Return whether requests of a route need an API key."""
        return self.workspaces_by_key is not None and not route.is_public

    def workspace_of(self, key: bytes) -> Workspace | None:
        """Return the workspace that owns an API key, if any."""
        return (self.workspaces_by_key or {}).get(key_digest(key))

    def quota_of(self, name: WorkspaceId) -> Quota | None:
        """Return the quota of a workspace; None for no limit."""
        workspace = self.workspaces_by_name.get(name)
        return workspace.quota if workspace else None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class Upstream:
    """A running upstream, as described by its registration.

    :ivar born: when its process started, in milliseconds by its own clock; 0 if
        unknown
    :ivar software: version of its software; empty if unknown
    """

    id: UpstreamId
    service: ServiceId
    address: str
    domain: DomainId
    state: UpstreamState
    slots: int
    born: int = 0
    software: str = ''

    def is_process(self, born: int) -> bool:
        """Return whether it describes the process that started at ``born``.

        :param born: start time as the process reports it; 0 if unknown
        """
        return not born or not self.born or born == self.born


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """The version of an adapter that requests must be served with."""

    model: ModelId
    adapter: AdapterId
    version: int


def key_digest(key: bytes) -> bytes:
    """Return the digest by which an API key is looked up.

    With lookup by digest, the timing does not reveal a partly correct key.
    """
    return hashlib.blake2b(key, digest_size=_KEY_DIGEST_BYTES).digest()


EMPTY: Final = Configuration()
