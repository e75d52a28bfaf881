"""Decodes the platform's documents into the types of the gateway."""

from __future__ import annotations

import ipaddress
import json
import math
from typing import Any

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
from flamingovalve.util.listeners import split_address

# Raised by access to decoded JSON that has an unexpected shape.
SHAPE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)

_MS_PER_SECOND = 1000.0
# Width of start times in messages between VMs.
_START_BITS = 64
_MAX_START_MS = 2**_START_BITS - 1
_MAX_PORT = 65535

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


def json_object(content: bytes) -> dict[str, Any]:
    """Decode one JSON object.

    :raises Undecodable: when ``content`` is not one JSON object
    """
    try:
        parsed = json.loads(content)
    except (ValueError, RecursionError) as bad:
        raise Undecodable(f'not JSON: {bad}') from bad
    if not isinstance(parsed, dict):
        raise Undecodable('JSON, but not an object')
    return parsed


def configuration(content: bytes) -> model.Configuration:
    """Decode the operators' configuration.

    :raises Undecodable: when a field is missing or of another type
    """
    raw = json_object(content)
    try:
        return _configuration(raw)
    except SHAPE_ERRORS as bad:
        raise Undecodable(f'cannot decode the configuration: {bad!r}') from bad


def upstream(key: str, content: bytes) -> model.Upstream:
    """Decode the document that an upstream publishes about itself.

    Other writers may publish documents under the same prefix, so one that
    cannot be decoded completely does not describe a usable upstream.

    :raises Undecodable: when a field is missing or of another type
    """
    raw = json_object(content)
    try:
        return _upstream(key.rpartition('/')[2], raw)
    except SHAPE_ERRORS as bad:
        raise Undecodable(f'cannot decode upstream {key}: {bad!r}') from bad


def adapter_version(content: bytes) -> model.AdapterVersion:
    """Decode the announcement of an adapter's version.

    :raises Undecodable: when a field is missing or of another type
    """
    raw = json_object(content)
    try:
        return model.AdapterVersion(
            ModelId(_string(raw['Model'])),
            AdapterId(_string(raw['Adapter'])),
            _integer(raw['Version']),
        )
    except SHAPE_ERRORS as bad:
        raise Undecodable(f'cannot decode an adapter version: {bad!r}') from bad


def _configuration(raw: dict[str, Any]) -> model.Configuration:
    by_host: dict[str, list[model.Route]] = {}
    for entry in raw['Routes']:
        route = _route(entry)
        by_host.setdefault(route.host, []).append(route)
    services = [_service(entry) for entry in raw['Services']]
    return model.Configuration(
        _integer(raw['Version']),
        {
            host: tuple(sorted(routes, key=_longest_prefix_first))
            for host, routes in by_host.items()
        },
        {service.name: service for service in services},
        _limits(raw.get('Limits', {})),
        _workspaces_by_key(raw.get('Tenants')),
        _workspaces_by_name(raw.get('Tenants') or []),
    )


def _longest_prefix_first(route: model.Route) -> int:
    return -len(route.prefix)


def _route(raw: dict[str, Any]) -> model.Route:
    # A route names one service or splits its requests among several.
    shares = raw.get('TrafficSplit') or [
        {'Service': raw['Service'], 'Weight': 1},
    ]
    kind = raw['Kind']
    resumable = bool(raw.get('Resumable')) and kind == 'streaming'
    return model.Route(
        name=_string(raw['Name']),
        host=_string(raw['Host']).lower(),
        prefix=_string(raw['PathPrefix']),
        repeat=_REPEAT_POLICIES[(kind, resumable)],
        timeout=_seconds(raw['TimeoutMs']),
        target_latency=_seconds(raw['TargetLatencyMs']),
        priority=_integer(raw.get('Priority', 0)),
        services=tuple(
            model.WeightedService(
                ServiceId(_string(share['Service'])),
                float(share['Weight']),
            )
            for share in shares
        ),
        max_upstreams=max(1, _integer(raw.get('MaxAttempts', 1))),
        streams=kind == 'streaming',
        max_event_gap=_seconds(raw.get('GapTargetMs') or 0),
        is_public=raw.get('Public') is True,
    )


def _service(raw: dict[str, Any]) -> model.UpstreamService:
    engine = raw.get('Engine')
    return model.UpstreamService(
        ServiceId(_string(raw['Name'])),
        _engine(engine) if engine else None,
        _optional_string(raw.get('HealthPath')),
    )


def _engine(raw: dict[str, Any]) -> model.EngineTraits:
    models = [_model(entry) for entry in raw['Models']]
    return model.EngineTraits(
        batch=_integer(raw['Slots']),
        adapter_slots=_integer(raw.get('AdapterSlots', 0)),
        weight_mb=float(raw['WeightsMb']),
        models={entry.name: entry for entry in models},
        kv_tokens=int(_non_negative(raw.get('KvCapacity') or 0)),
    )


def _model(raw: dict[str, Any]) -> model.ModelTraits:
    return model.ModelTraits(
        ModelId(_string(raw['Name'])),
        float(raw['WeightsMb']),
        float(raw.get('AdapterSizeMb', 0)),
        _integer(raw.get('Adapters', 0)),
    )


def _limits(raw: dict[str, Any]) -> model.CallerLimits:
    defaults = model.CallerLimits()
    return model.CallerLimits(
        _integer(raw.get('MaxHeaderBytes', defaults.header_bytes)),
        _integer(raw.get('MaxBodyBytes', defaults.body_bytes)),
        _seconds(raw.get('IdleTimeoutMs', defaults.idle_seconds * 1000)),
    )


def _workspaces_by_key(raw: Any) -> dict[bytes, model.Workspace] | None:
    if raw is None:
        return None
    return {
        model.key_digest(_string(key).encode()): _workspace(entry)
        for entry in raw
        for key in entry['ApiKeys']
    }


def _workspaces_by_name(
    raw: list[dict[str, Any]],
) -> dict[WorkspaceId, model.Workspace]:
    workspaces = [_workspace(entry) for entry in raw]
    return {workspace.name: workspace for workspace in workspaces}


def _workspace(raw: dict[str, Any]) -> model.Workspace:
    priority = raw.get('Priority')
    return model.Workspace(
        WorkspaceId(_string(raw['Name'])),
        None if priority is None else _integer(priority),
        _quota(raw),
    )


def _quota(raw: dict[str, Any]) -> model.Quota | None:
    rate = _non_negative(raw.get('RatePerS', 0))
    if not rate:
        return None
    return model.Quota(
        rate,
        _non_negative(raw.get('Burst', 0)),
        _QUOTA_UNITS[raw.get('Unit', '')],
        _integer(raw.get('PlainTokens', 0)),
    )


def _upstream(name: str, raw: dict[str, Any]) -> model.Upstream:
    return model.Upstream(
        id=UpstreamId(name),
        service=ServiceId(_string(raw['Service'])),
        address=_address(raw['Addr']),
        domain=DomainId(_string(raw['Zone'])),
        state=model.UpstreamState(raw['State']),
        slots=_integer(raw['Slots']),
        born=_start_time(raw.get('born')),
        software=_optional_string(raw.get('Version')),
    )


def _start_time(raw: Any) -> int:
    """Return when a process started; 0 if it does not say so."""
    is_number = isinstance(raw, int) and not isinstance(raw, bool)
    return raw if is_number and 0 <= raw <= _MAX_START_MS else 0


def _string(raw: Any) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'{raw!r} is not a string')
    return raw


def _address(raw: Any) -> str:
    """Return an address of the form ``IP:port``.

    :raises ValueError: if nothing can be reached there
    """
    host, port = split_address(_string(raw))
    ipaddress.IPv4Address(host)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f'{raw!r} has no valid port')
    return f'{host}:{port}'


def _optional_string(raw: Any) -> str:
    return raw if isinstance(raw, str) else ''


def _integer(raw: Any) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise TypeError(f'{raw!r} is not an integer')
    return raw


def _non_negative(raw: Any) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise TypeError(f'{raw!r} is not a number')
    if not 0 <= raw < math.inf:
        raise ValueError(f'{raw!r} is negative or not finite')
    return float(raw)


def _seconds(raw: Any) -> float:
    """Convert the platform's milliseconds to seconds."""
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise TypeError(f'{raw!r} is not a number of milliseconds')
    return raw / _MS_PER_SECOND
