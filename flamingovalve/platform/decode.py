"""Decodes the platform's documents into the types of the gateway.

Each field is read within bounds, so that what others write fits the types, the
arithmetic and the messages of the gateway. A document with a field out of its
bounds is not decoded at all.
"""

from __future__ import annotations

import ipaddress
from typing import Final

from flamingovalve.errors import Undecodable
from flamingovalve.gateway import model
from flamingovalve.generated.ids import (
    AdapterId,
    DomainId,
    ModelId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from flamingovalve.platform.fields import (
    IDENTIFIER,
    LABEL,
    LONG_TEXT,
    MAX_EXACT,
    NAME,
    OPTIONAL_TARGET,
    Fields,
    Range,
)
from flamingovalve.util.listeners import split_address

_MS_PER_SECOND: Final = 1000.0
_MAX_PORT: Final = 65535
# A fencing number is made of a start time and a count of orders: their sum
# times 2**12 has to stay below 2**53.
_ORDER_BITS: Final = 31
_START_BITS: Final = 41
_MAX_ORDERS: Final = 2**_ORDER_BITS
_MAX_START_MS: Final = 2**_START_BITS - 1 - _MAX_ORDERS

# Width of versions of adapters in messages between VMs.
_ADAPTER_VERSION_BITS: Final = 32
_MAX_ADAPTER_VERSION: Final = 2**_ADAPTER_VERSION_BITS - 1
_MAX_SLOTS: Final = 1_000_000
_MAX_COUNT: Final = 1_000_000_000
_MAX_TOKENS: Final = 1_000_000_000_000
_MAX_DURATION_MS: Final = 1_000_000_000
_MAX_MB: Final = 1_000_000_000
_MAX_BYTES: Final = 1_000_000_000_000
_MAX_WEIGHT: Final = 1_000_000_000
# A lower rate has an interval that fits no timer.
_MIN_RATE_PER_SECOND: Final = 1e-6
_MAX_RATE_PER_SECOND: Final = 1_000_000_000

ADAPTER_VERSIONS: Final = Range(0, _MAX_ADAPTER_VERSION)
ORDER_COUNTS: Final = Range(0, _MAX_ORDERS)
START_TIMES_MS: Final = Range(0, _MAX_START_MS)
_VERSIONS: Final = Range(0, MAX_EXACT)
_SLOTS: Final = Range(0, _MAX_SLOTS)
_COUNTS: Final = Range(0, _MAX_COUNT)
_TOKENS: Final = Range(0, _MAX_TOKENS)
_DURATIONS_MS: Final = Range(0, _MAX_DURATION_MS)
_SIZES_MB: Final = Range(0, _MAX_MB)
_SIZES_BYTES: Final = Range(0, _MAX_BYTES)
_WEIGHTS: Final = Range(0, _MAX_WEIGHT)
_RATES_PER_SECOND: Final = Range(_MIN_RATE_PER_SECOND, _MAX_RATE_PER_SECOND)
_BURSTS: Final = Range(0, _MAX_TOKENS)

_REPEAT_POLICIES = {
    ('idempotent', False): model.RepeatPolicy.ANY,
    ('non_idempotent', False): model.RepeatPolicy.ONCE,
    ('streaming', False): model.RepeatPolicy.ONCE,
    ('streaming', True): model.RepeatPolicy.RESUMABLE,
}

_QUOTA_UNITS = {
    '': model.QuotaUnit.REQUESTS,
    'request': model.QuotaUnit.REQUESTS,
    'requests': model.QuotaUnit.REQUESTS,
    'token_count': model.QuotaUnit.TOKENS,
}


def configuration(content: bytes) -> model.Configuration:
    """Decode the operators' configuration.

    :raises Undecodable: when a field is missing, of another type or out of
        its bounds
    """
    raw = Fields.of(content)
    by_host: dict[str, list[model.Route]] = {}
    for entry in raw.each_fields('Routes'):
        route = _route(entry)
        by_host.setdefault(route.host, []).append(route)
    services = [_service(entry) for entry in raw.each_fields('Services')]
    has_workspaces = raw.contains('Tenants')
    workspaces = raw.each_fields('Tenants') if has_workspaces else []
    return model.Configuration(
        raw.integer('Version', _VERSIONS),
        {
            host: tuple(sorted(routes, key=_longest_prefix_first))
            for host, routes in by_host.items()
        },
        {service.name: service for service in services},
        _limits(raw.fields('Limits')),
        _workspaces_by_key(workspaces) if has_workspaces else None,
        _workspaces_by_name(workspaces),
    )


def upstream(key: str, content: bytes) -> model.Upstream:
    """Decode the document that an upstream publishes about itself.

    Other writers may publish documents under the same prefix, so one that
    cannot be decoded completely does not describe a usable upstream.

    :param key: prefix and id; an id has no slash
    :raises Undecodable: when a field is missing, of another type or out of
        its bounds
    """
    _prefix, _slash, name = key.partition('/')
    if '/' in name:
        raise Undecodable('the id in the key has a slash')
    raw = Fields.of(content)
    return model.Upstream(
        id=UpstreamId(IDENTIFIER.read(name, 'the id in the key')),
        service=ServiceId(raw.text('Service', NAME)),
        address=_address(raw),
        domain=DomainId(raw.text('Zone', NAME)),
        state=_state(raw),
        slots=raw.integer('Slots', _SLOTS),
        born=raw.integer('born', START_TIMES_MS, 0),
        software=raw.text('Version', NAME, ''),
    )


def adapter_version(content: bytes) -> model.AdapterVersion:
    """Decode the announcement of an adapter's version.

    :raises Undecodable: when a field is missing, of another type or out of
        its bounds
    """
    raw = Fields.of(content)
    return model.AdapterVersion(
        ModelId(raw.text('Model', NAME)),
        AdapterId(raw.text('Adapter', NAME)),
        raw.integer('Version', ADAPTER_VERSIONS),
    )


def _longest_prefix_first(route: model.Route) -> int:
    return -len(route.prefix)


def _route(raw: Fields) -> model.Route:
    streams = raw.text('Kind', NAME) == 'streaming'
    return model.Route(
        name=raw.text('Name', NAME),
        host=raw.text('Host', LABEL).lower(),
        prefix=raw.text('PathPrefix', LONG_TEXT),
        repeat=_repeat_policy(raw),
        timeout=_seconds(raw, 'TimeoutMs'),
        target_latency=_seconds(raw, 'TargetLatencyMs'),
        priority=raw.integer('Priority', _COUNTS, 0),
        services=tuple(_weighted_services(raw)),
        max_upstreams=max(1, raw.integer('MaxAttempts', _COUNTS, 1)),
        streams=streams,
        max_event_gap=_seconds(raw, 'GapTargetMs', 0),
        is_public=raw.is_true('Public'),
    )


def _repeat_policy(raw: Fields) -> model.RepeatPolicy:
    kind = raw.text('Kind', NAME)
    is_resumable = raw.has('Resumable') and kind == 'streaming'
    try:
        return _REPEAT_POLICIES[(kind, is_resumable)]
    except KeyError as unknown:
        raise Undecodable('Kind of a route is not known') from unknown


def _weighted_services(raw: Fields) -> list[model.WeightedService]:
    """Return the services among which a route splits its requests."""
    if not raw.has('TrafficSplit'):
        return [model.WeightedService(ServiceId(raw.text('Service', NAME)), 1)]
    return [
        model.WeightedService(
            ServiceId(share.text('Service', NAME)),
            share.number('Weight', _WEIGHTS),
        )
        for share in raw.each_fields('TrafficSplit')
    ]


def _service(raw: Fields) -> model.UpstreamService:
    return model.UpstreamService(
        ServiceId(raw.text('Name', NAME)),
        _engine(raw.fields('Engine')) if raw.has('Engine') else None,
        raw.text('HealthPath', OPTIONAL_TARGET, ''),
    )


def _engine(raw: Fields) -> model.EngineTraits:
    models = [_model(entry) for entry in raw.each_fields('Models')]
    return model.EngineTraits(
        batch=raw.integer('Slots', _SLOTS),
        adapter_slots=raw.integer('AdapterSlots', _COUNTS, 0),
        weight_mb=raw.number('WeightsMb', _SIZES_MB),
        models={entry.name: entry for entry in models},
        kv_tokens=int(raw.number('KvCapacity', _TOKENS, 0)),
    )


def _model(raw: Fields) -> model.ModelTraits:
    return model.ModelTraits(
        ModelId(raw.text('Name', NAME)),
        raw.number('WeightsMb', _SIZES_MB),
        raw.number('AdapterSizeMb', _SIZES_MB, 0),
        raw.integer('Adapters', _COUNTS, 0),
    )


def _limits(raw: Fields) -> model.CallerLimits:
    defaults = model.CallerLimits()
    return model.CallerLimits(
        raw.integer('MaxHeaderBytes', _SIZES_BYTES, defaults.header_bytes),
        raw.integer('MaxBodyBytes', _SIZES_BYTES, defaults.body_bytes),
        _seconds(raw, 'IdleTimeoutMs', defaults.idle_seconds * _MS_PER_SECOND),
    )


def _workspaces_by_key(entries: list[Fields]) -> dict[bytes, model.Workspace]:
    return {
        model.key_digest(key.encode()): _workspace(entry)
        for entry in entries
        for key in entry.texts('ApiKeys', LONG_TEXT)
    }


def _workspaces_by_name(
    entries: list[Fields],
) -> dict[WorkspaceId, model.Workspace]:
    workspaces = [_workspace(entry) for entry in entries]
    return {workspace.name: workspace for workspace in workspaces}


def _workspace(raw: Fields) -> model.Workspace:
    has_priority = raw.contains('Priority')
    return model.Workspace(
        WorkspaceId(raw.text('Name', LABEL)),
        raw.integer('Priority', _COUNTS) if has_priority else None,
        _quota(raw),
    )


def _quota(raw: Fields) -> model.Quota | None:
    if raw.number('RatePerS', _BURSTS, 0) == 0:
        return None
    unit = raw.text('Unit', NAME, '')
    if unit not in _QUOTA_UNITS:
        raise Undecodable('Unit of a quota is not known')
    return model.Quota(
        raw.number('RatePerS', _RATES_PER_SECOND),
        raw.number('Burst', _BURSTS, 0),
        _QUOTA_UNITS[unit],
        raw.integer('PlainTokens', _COUNTS, 0),
    )


def _state(raw: Fields) -> model.UpstreamState:
    try:
        return model.UpstreamState(raw.text('State', NAME))
    except ValueError as unknown:
        raise Undecodable('State is not known') from unknown


def _address(raw: Fields) -> str:
    """Return an address of the form ``IP:port``.

    :raises Undecodable: if nothing can be reached there
    """
    try:
        host, port = split_address(raw.text('Addr', NAME))
        ipaddress.IPv4Address(host)
    except ValueError as bad:
        raise Undecodable('Addr is not IP:port') from bad
    if not 0 < port <= _MAX_PORT:
        raise Undecodable(f'Addr has no port from 1 to {_MAX_PORT}')
    return f'{host}:{port}'


def _seconds(raw: Fields, name: str, default_ms: float | None = None) -> float:
    """Read a duration in the platform's milliseconds."""
    return raw.number(name, _DURATIONS_MS, default_ms) / _MS_PER_SECOND
