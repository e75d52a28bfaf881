"""Client of the control API of an engine."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from flamingovalve.errors import ConnectionLost, ErrorKind, Ran, ServingError
from flamingovalve.http.bodies import BodyKind
from flamingovalve.http.client import UpstreamCall

if TYPE_CHECKING:
    from flamingovalve.generated.settings import Engine, RelaySettings
    from flamingovalve.http.client import ConnectionPool
    from flamingovalve.http.messages import Response

FENCING_HEADER = 'x-fencing-number'
_MAX_QUOTED_BYTES = 200
_ORDER_TIMEOUT_SECONDS = 30


@dataclass(slots=True)
class LoadReport:
    """State that an engine reports; it lags behind the actual state.

    :ivar boot: identifier that changes when the engine restarts
    :ivar age: seconds since the report was taken
    :ivar resident: names of the loaded adapters
    :ivar running: requests in progress by adapter name
    """

    boot: str = ''
    age: float = 0
    resident: list[str] = field(default_factory=list)
    running: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class FencingState:
    """Highest fencing number that an engine has seen.

    :ivar boot: identifier that changes when the engine restarts
    :ivar number: None if the engine ignores fencing numbers
    """

    boot: str
    number: int | None


class EngineApi:
    """Control calls to one engine, over pooled connections."""

    def __init__(
        self,
        pool: ConnectionPool,
        engine: Engine,
        settings: RelaySettings,
    ) -> None:
        """Send calls to ``engine`` over connections of ``pool``."""
        self.engine = engine
        self._pool = pool
        self._settings = settings

    async def report(self) -> Result[LoadReport, ServingError]:
        """Fetch the load report."""
        outcome = await self._json('GET', '/v1/load-report')
        if outcome.is_error():
            return Error(outcome.error)
        raw = outcome.ok
        return Ok(
            LoadReport(
                str(raw.get('boot', '')),
                float(raw.get('age_seconds', 0)),
                list(raw.get('resident', [])),
                dict(raw.get('running', {})),
            ),
        )

    async def fencing(self) -> Result[FencingState, ServingError]:
        """Fetch the highest fencing number, which does not lag."""
        outcome = await self._json('GET', '/v1/fencing')
        return outcome.map(_fencing_state)

    async def claim(self, number: int) -> Result[FencingState, ServingError]:
        """Have the engine refuse orders below ``number`` from now on."""
        headers = [(FENCING_HEADER, str(number))]
        outcome = await self._json('POST', '/v1/fencing', {}, headers)
        return outcome.map(_fencing_state)

    async def load(
        self,
        name: str,
        number: int,
    ) -> Result[None, ServingError]:
        """Order the engine to load the adapter ``name`` and wait for it."""
        content = {'lora_name': name, 'lora_path': f'store://{name}'}
        return await self._order('/v1/load_lora_adapter', content, number)

    async def unload(
        self,
        name: str,
        number: int,
    ) -> Result[None, ServingError]:
        """Order the engine to unload the adapter ``name`` and wait for it."""
        content = {'lora_name': name}
        return await self._order('/v1/unload_lora_adapter', content, number)

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether the engine has confirmed it."""
        call = UpstreamCall('DELETE', f'/v1/streams/{request_id}', [])
        outcome = await self._exchange(call, self._settings.chunk_seconds)
        return outcome.is_ok()

    async def _order(
        self,
        path: str,
        content: dict[str, str],
        number: int,
    ) -> Result[None, ServingError]:
        headers = [(FENCING_HEADER, str(number))]
        call = UpstreamCall.from_json('POST', path, content, headers)
        outcome = await self._exchange(call, _ORDER_TIMEOUT_SECONDS)
        return outcome.bind(_order_outcome)

    async def _json(
        self,
        method: str,
        path: str,
        content: Any = None,
        headers: list[tuple[str, str]] | None = None,
    ) -> Result[dict[str, Any], ServingError]:
        call = UpstreamCall(method, path, headers or [])
        if content is not None:
            call = UpstreamCall.from_json(method, path, content, headers)
        call.expected = BodyKind.JSON
        seconds = self._settings.chunk_seconds
        outcome = await self._exchange(call, seconds)
        return outcome.bind(_json_object)

    async def _exchange(
        self,
        call: UpstreamCall,
        seconds: float,
    ) -> Result[Response, ServingError]:
        address = self.engine.address
        try:
            return Ok(await self._pool.exchange(address, call, seconds))
        except (OSError, ConnectionLost) as failed:
            await self._pool.drop(address)
            return Error(_unreachable(self.engine.id, failed))


def _fencing_state(raw: dict[str, Any]) -> FencingState:
    number = raw.get('fencing_number')
    return FencingState(
        str(raw.get('boot', '')),
        None if number is None else int(number),
    )


def _json_object(response: Response) -> Result[dict[str, Any], ServingError]:
    try:
        parsed = json.loads(response.body)
    except ValueError:
        parsed = None
    if not isinstance(parsed, dict):
        return Error(_unexpected_reply(response))
    if response.status == HTTPStatus.CONFLICT:
        return Error(_fenced_off())
    if response.status != HTTPStatus.OK:
        return Error(_unexpected_reply(response))
    return Ok(parsed)


def _order_outcome(response: Response) -> Result[None, ServingError]:
    if response.status == HTTPStatus.OK:
        return Ok(None)
    if response.status == HTTPStatus.CONFLICT:
        return Error(_fenced_off())
    return Error(_unexpected_reply(response))


def _fenced_off() -> ServingError:
    return ServingError(
        ErrorKind.NOT_OWNER,
        'another VM has claimed the engine; ask /v1/entry again',
        retry_after=1,
    )


def _unexpected_reply(response: Response) -> ServingError:
    text = response.body[:_MAX_QUOTED_BYTES].decode('utf-8', 'replace')
    return ServingError(
        ErrorKind.LOAD_FAILED,
        f'the engine refused an order ({response.status}: {text}); it is '
        'retried after a pause',
        retry_after=1,
    )


def _unreachable(engine: str, failed: Exception) -> ServingError:
    # Only a refused connection proves that the engine's process has ended.
    # A timeout may also be a network fault; if it counted as a crash,
    # requests that did not cause it would be quarantined.
    refused = isinstance(failed, ConnectionRefusedError)
    kind = ErrorKind.UPSTREAM_SILENT
    if refused:
        kind = ErrorKind.UPSTREAM_UNREACHABLE
    return ServingError(
        kind,
        f'engine {engine!r} cannot be reached ({failed}); check that it runs',
        ran=Ran.NOT,
        retry_after=1,
    )
