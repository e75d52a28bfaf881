"""Decodes what the platform publishes into the product's types."""

from __future__ import annotations

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

# What taking apart JSON of an unexpected shape raises.
WRONG_SHAPE = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)

_MS_PER_SECOND = 1000.0

_REPEAT = {
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

    :raises Undecodable: when ``content`` is something else
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
    except WRONG_SHAPE as bad:
        raise Undecodable(f'configuration: {bad!r}') from bad


def upstream(key: str, content: bytes) -> model.Upstream:
    """Decode what an upstream says of itself.

    Other writers may leave entries of their own beside these; one that is
    not wholly understood names no upstream that could be used.

    :raises Undecodable: when a field is missing or of another type
    """
    raw = json_object(content)
    try:
        return _upstream(key.rpartition('/')[2], raw)
    except WRONG_SHAPE as bad:
        raise Undecodable(f'upstream {key}: {bad!r}') from bad


def adapter_version(content: bytes) -> model.AdapterVersion:
    """Decode the announcement of an adapter's version.

    :raises Undecodable: when a field is missing or of another type
    """
    raw = json_object(content)
    try:
        return model.AdapterVersion(
            ModelId(_text(raw['Model'])),
            AdapterId(_text(raw['Adapter'])),
            _whole(raw['Version']),
        )
    except WRONG_SHAPE as bad:
        raise Undecodable(f'adapter version: {bad!r}') from bad


def _configuration(raw: dict[str, Any]) -> model.Configuration:
    by_host: dict[str, list[model.Route]] = {}
    for entry in raw['Routes']:
        route = _route(entry)
        by_host.setdefault(route.host, []).append(route)
    services = [_service(entry) for entry in raw['Services']]
    return model.Configuration(
        _whole(raw['Version']),
        {
            host: tuple(sorted(routes, key=_longest_first))
            for host, routes in by_host.items()
        },
        {service.name: service for service in services},
        _limits(raw.get('Limits', {})),
        _workspaces_by_key(raw.get('Tenants')),
        _workspaces_by_name(raw.get('Tenants') or []),
    )


def _longest_first(route: model.Route) -> int:
    return -len(route.prefix)


def _route(raw: dict[str, Any]) -> model.Route:
    # A route names one service, or divides its requests among several.
    shares = raw.get('TrafficSplit') or [
        {'Service': raw['Service'], 'Weight': 1},
    ]
    kind = raw['Kind']
    resumable = bool(raw.get('Resumable')) and kind == 'streaming'
    return model.Route(
        name=_text(raw['Name']),
        host=_text(raw['Host']).lower(),
        prefix=_text(raw['PathPrefix']),
        repeat=_REPEAT[(kind, resumable)],
        timeout=_seconds(raw['TimeoutMs']),
        target_latency=_seconds(raw['TargetLatencyMs']),
        priority=_whole(raw.get('Priority', 0)),
        services=tuple(
            model.WeightedService(
                ServiceId(_text(share['Service'])),
                float(share['Weight']),
            )
            for share in shares
        ),
        max_upstreams=max(1, _whole(raw.get('MaxAttempts', 1))),
        streams=kind == 'streaming',
        max_event_gap=_seconds(raw.get('GapTargetMs') or 0),
        is_public=raw.get('Public') is True,
    )


def _service(raw: dict[str, Any]) -> model.UpstreamService:
    engine = raw.get('Engine')
    return model.UpstreamService(
        ServiceId(_text(raw['Name'])),
        _engine(engine) if engine else None,
    )


def _engine(raw: dict[str, Any]) -> model.EngineTraits:
    models = [_model(entry) for entry in raw['Models']]
    return model.EngineTraits(
        batch=_whole(raw['Slots']),
        adapter_slots=_whole(raw.get('AdapterSlots', 0)),
        weight_mb=float(raw['WeightsMb']),
        models={entry.name: entry for entry in models},
    )


def _model(raw: dict[str, Any]) -> model.ModelTraits:
    return model.ModelTraits(
        ModelId(_text(raw['Name'])),
        float(raw['WeightsMb']),
        float(raw.get('AdapterSizeMb', 0)),
        _whole(raw.get('Adapters', 0)),
    )


def _limits(raw: dict[str, Any]) -> model.CallerLimits:
    usual = model.CallerLimits()
    return model.CallerLimits(
        _whole(raw.get('MaxHeaderBytes', usual.header_bytes)),
        _whole(raw.get('MaxBodyBytes', usual.body_bytes)),
        _seconds(raw.get('IdleTimeoutMs', usual.idle_seconds * 1000)),
    )


def _workspaces_by_key(raw: Any) -> dict[bytes, model.Workspace] | None:
    if raw is None:
        return None
    return {
        model.key_digest(_text(key).encode()): _workspace(entry)
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
        WorkspaceId(_text(raw['Name'])),
        None if priority is None else _whole(priority),
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
        _whole(raw.get('PlainTokens', 0)),
    )


def _upstream(name: str, raw: dict[str, Any]) -> model.Upstream:
    return model.Upstream(
        id=UpstreamId(name),
        service=ServiceId(_text(raw['Service'])),
        address=_text(raw['Addr']),
        domain=DomainId(_text(raw['Zone'])),
        state=model.UpstreamState(raw['State']),
        slots=_whole(raw['Slots']),
    )


def _text(raw: Any) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'{raw!r} is no text')
    return raw


def _whole(raw: Any) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise TypeError(f'{raw!r} is no whole number')
    return raw


def _non_negative(raw: Any) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise TypeError(f'{raw!r} is no number')
    if not 0 <= raw < math.inf:
        raise ValueError(f'{raw!r} is negative or not finite')
    return float(raw)


def _seconds(raw: Any) -> float:
    """Turn the platform's milliseconds into the product's seconds."""
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise TypeError(f'{raw!r} is no number of milliseconds')
    return raw / _MS_PER_SECOND
