"""Decodes callers' requests and encodes the responses of this system."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.gateway.inbound import Completion, InboundRequest
from flamingovalve.generated.ids import AdapterId, ModelId, RequestId
from flamingovalve.generated.messages import PromptPart
from flamingovalve.http.messages import JSON_TYPE, Response, end_to_end
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.model import Route
    from flamingovalve.http.messages import HeaderList, Request

_ID_HEADER: Final = 'attempt-id'
_RESUMED_HEADER: Final = 'resumes'
_LAST_EVENT_HEADER: Final = 'last-event-id'
_BUDGET_HEADER: Final = 'time-budget-ms'
_MODEL_HEADER: Final = 'model'
_TOKENS_HEADER: Final = 'token-counts'
_PREFIX_HEADER: Final = 'prompt-prefix'
_KEY_HEADER: Final = 'api-key'
# Width of token counts in messages between VMs.
_COUNT_BITS: Final = 32
_MAX_TOKENS: Final = 2**_COUNT_BITS - 1
_MS_PER_SECOND: Final = 1000.0
# An error message quotes at most this much of a header.
_QUOTED_CHARACTERS: Final = 80

# Only this system sets these headers. With them a caller could reserve memory,
# bypass the queue, access another request's memory or impersonate another
# workspace. API keys are not forwarded to upstreams.
_INTERNAL_HEADERS: Final = frozenset(
    (
        _KEY_HEADER,
        'expect-instance',
        'expect-version',
        'hold',
        'kv-backup',
        'kv-fetch',
        'kv-from',
        'pin-ms',
        'request-priority',
        'tenant',
        'time-budget-ms',
    ),
)


def host_of(request: Request) -> str:
    """Return the host that a request addresses, without its port."""
    return request.headers.get('host', '').partition(':')[0].lower()


def request_id(request: Request) -> str:
    """Return the ID that the caller gave a request."""
    return request.headers.get(_ID_HEADER, '')


def key_of(request: Request) -> bytes:
    """Return the API key of a request, empty if absent.

    :raises ServingError: when the header is repeated, as another component
        could use a different one of the keys
    """
    keys = [
        text
        for name, text in request.header_lines
        if name.lower() == _KEY_HEADER
    ]
    if len(keys) > 1:
        raise ServingError(
            ErrorKind.MALFORMED_REQUEST,
            f'header {_KEY_HEADER} occurs {len(keys)} times; send it once',
        )
    return keys[0].encode('latin-1') if keys else b''


def inbound(request: Request, route: Route) -> InboundRequest:
    """Decode a request that matches ``route``.

    :raises ServingError: when a required header cannot be parsed
    """
    budget = _time_budget(request, route)
    arrived_at = clock.now()
    return InboundRequest(
        id=RequestId(request_id(request)),
        method=request.method,
        target=request.target,
        headers=_forwarded_headers(request.header_lines),
        body=request.body,
        route=route,
        received_at=arrived_at,
        deadline=arrived_at + min(budget, route.timeout),
        patience=budget,
        priority=route.priority,
        tokens=_total_tokens(request),
        completion=_completion(request) if route.streams else None,
        resumed_id=RequestId(request.headers.get(_RESUMED_HEADER, '')),
        resumed_after=request.headers.get(_LAST_EVENT_HEADER, ''),
    )


def error_response(error: ServingError) -> Response:
    """Build the response that reports ``error`` to a caller."""
    headers = [('content-type', JSON_TYPE)]
    if error.retry_after is not None:
        headers.append(('retry-after', f'{max(error.retry_after, 0):.2f}'))
    body = json.dumps(error.to_json()).encode()
    return Response(_status(error), headers, body)


def addresses_response(addresses: list[str], seconds: float) -> Response:
    """Build the response that lists the addresses to use."""
    return Response.from_json({'Addrs': addresses, 'TtlS': int(seconds)})


def _status(error: ServingError) -> int:
    # 503 guarantees that the request has not run; 502 guarantees nothing.
    guarantees_not_run = error.kind.status == ErrorKind.OVERLOADED.status
    if guarantees_not_run and error.ran is not Ran.NOT:
        return ErrorKind.OUTCOME_UNKNOWN.status
    return error.kind.status


def _time_budget(request: Request, route: Route) -> float:
    text = request.headers.get(_BUDGET_HEADER)
    if text is None:
        return route.timeout
    try:
        return max(0, float(text)) / _MS_PER_SECOND
    except ValueError as bad:
        raise _malformed(_BUDGET_HEADER, text) from bad


def _forwarded_headers(lines: HeaderList) -> HeaderList:
    return [
        (name, text)
        for name, text in end_to_end(lines)
        if name.lower() not in _INTERNAL_HEADERS
    ]


def _completion(request: Request) -> Completion | None:
    headers = request.headers
    requested_model = headers.get(_MODEL_HEADER)
    if requested_model is None:
        return None
    model, _slash, adapter = requested_model.partition('/')
    prompt, output = _token_counts(headers.get(_TOKENS_HEADER, '0,0'))
    return Completion(
        ModelId(model),
        AdapterId(adapter),
        prompt,
        output,
        _prompt_parts(headers.get(_PREFIX_HEADER, '')),
    )


def _token_counts(text: str) -> tuple[int, int]:
    try:
        prompt, output = (int(part) for part in text.split(','))
    except ValueError as bad:
        raise _malformed(_TOKENS_HEADER, text) from bad
    if not all(0 <= count <= _MAX_TOKENS for count in (prompt, output)):
        raise _malformed(_TOKENS_HEADER, text)
    return prompt, output


def _total_tokens(request: Request) -> int | None:
    text = request.headers.get(_TOKENS_HEADER)
    return None if text is None else sum(_token_counts(text))


def _prompt_parts(text: str) -> list[PromptPart]:
    try:
        pairs = [entry.split(':') for entry in text.split(',') if entry]
        return [PromptPart(name.strip(), int(size)) for name, size in pairs]
    except ValueError as bad:
        raise _malformed(_PREFIX_HEADER, text) from bad


def _malformed(name: str, text: str) -> ServingError:
    quoted = text[:_QUOTED_CHARACTERS]
    return ServingError(
        ErrorKind.MALFORMED_REQUEST,
        f'header {name} holds {quoted!r}, which cannot be read; correct it',
    )
