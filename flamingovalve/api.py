"""The HTTP API for callers and operators."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.http.messages import Response
from flamingovalve.relay.services import ServiceRequest
from flamingovalve.relay.work import PATHS, CompletionWork, requested_model
from flamingovalve.util import clock
from flamingovalve.util.rates import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.config.inventory import Inventory
    from flamingovalve.daemon import Daemon
    from flamingovalve.generated.ids import ApplicationId
    from flamingovalve.generated.settings import (
        Application,
        Service,
        ServiceCall,
    )
    from flamingovalve.http.messages import Request
    from flamingovalve.http.server import Responder

DEADLINE_HEADER: Final = 'x-deadline-seconds'
KEY_HEADER: Final = 'idempotency-key'
KEY_TIME_HEADER: Final = 'x-idempotency-time'
OPERATOR_HEADER: Final = 'x-operator-secret'

_METRICS_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'
_SERVICE_PREFIX: Final = '/v1/services/'
_BEARER: Final = 'Bearer '
_MAX_KEY_CHARACTERS: Final = 512
_MAX_HEADER_SECONDS: Final = 1_000_000_000_000


def leaving_error() -> ServingError:
    """Return the error for work that a leaving VM does not take."""
    return ServingError(
        ErrorKind.LEAVING,
        'this VM is leaving; request /v1/entry from another VM',
        retry_after=1,
    )


class Api:
    """Dispatches the requests of one daemon by path."""

    def __init__(self, daemon: Daemon) -> None:
        """Create the API of ``daemon``."""
        self._daemon = daemon
        self._settings = daemon.settings
        self._buckets: dict[ApplicationId, TokenBucket] = {}
        self._routes: dict[
            tuple[str, str],
            Callable[[Request], Awaitable[Response]],
        ] = {
            ('GET', '/v1/entry'): self._entry,
            ('GET', '/v1/models'): self._models,
            ('GET', '/healthz'): self._health,
            ('GET', '/readyz'): self._readiness,
            ('GET', '/metrics'): self._metrics,
            ('GET', '/state'): self._state,
            ('POST', '/v1/drain'): self._drain,
        }

    async def __call__(self, request: Request, responder: Responder) -> None:
        """Handle one request."""
        if request.path in PATHS:
            _expect_method(request, 'POST')
            await self._handle_completion(request, responder)
            return
        if request.path.startswith(_SERVICE_PREFIX):
            _expect_method(request, 'POST')
            await self._handle_call(request, responder)
            return
        route = self._routes.get((request.method, request.path))
        if route is None:
            raise self._no_route(request)
        await responder.send(await route(request))

    # -- Callers

    async def _handle_completion(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        deadline = self._deadline(request)
        self._check_accepts_work(deadline)
        content = request.json_object()
        application = self._application(request)
        model = requested_model(content)
        target = _unwrap(self._inventory.resolve(model, application))
        self._check_rate_limit(application)
        work = CompletionWork.from_request(
            request,
            content,
            application,
            target,
            deadline,
        )
        async with responder.watch_caller():
            await self._daemon.serve(work, responder)

    async def _handle_call(
        self, request: Request, responder: Responder
    ) -> None:
        try:
            service_request, service, call = self._parse_service_request(
                request
            )
        except ServingError as refused:
            if KEY_HEADER in request.headers:
                # This VM has not run the call, but an earlier attempt with the
                # same key may have run through another VM.
                refused.ran = Ran.UNKNOWN
            raise
        await responder.send(
            await self._daemon.call(service_request, service, call)
        )

    def _parse_service_request(
        self,
        request: Request,
    ) -> tuple[ServiceRequest, Service, ServiceCall]:
        service_id, call_id = _service_path(request.path)
        application = self._application(request)
        service, call = self._find_call(service_id, call_id, application)
        self._check_rate_limit(application)
        deadline = self._deadline(request)
        if call.idempotent:
            self._check_accepts_work(deadline)
        service_request = ServiceRequest(
            self._daemon.new_request_id(),
            application.id,
            service.id,
            call.id,
            request.headers.get('content-type', ''),
            request.body,
            deadline,
            _idempotency_key(request),
            _idempotency_time(request),
        )
        return service_request, service, call

    async def _entry(self, request: Request) -> Response:
        query = request.query
        credential = query.get('application') or _credential(request)
        application = _unwrap(self._inventory.authenticate(credential))
        if 'service' in query:
            return self._service_entry(query, application)
        if 'model' not in query:
            raise _missing_parameter()
        target = _unwrap(self._inventory.resolve(query['model'], application))
        answers = self._daemon.entry_answers
        return Response.from_json(
            answers.for_target(target, self._inventory),
        )

    def _service_entry(
        self,
        query: dict[str, str],
        application: Application,
    ) -> Response:
        service, call = self._find_call(
            query['service'],
            query.get('call', ''),
            application,
        )
        answer = self._daemon.entry_answers.for_call(service.id, call.id)
        if not call.idempotent and not self._daemon.is_leaving:
            answer['permit'] = self._daemon.executor.make_permit(
                application.id,
                service.id,
                call.id,
            )
            seconds = self._settings.claims.permit_seconds
            answer['permit_seconds'] = seconds
        return Response.from_json(answer)

    async def _models(self, request: Request) -> Response:
        application = self._application(request)
        listed = [
            {'id': record.id, 'object': 'model', 'owned_by': record.model}
            for record in self._inventory.adapters
            if application.id in record.applications
        ]
        return Response.from_json({'object': 'list', 'data': listed})

    # -- Operators

    async def _health(self, _request: Request) -> Response:
        return Response.from_json({'alive': True})

    async def _readiness(self, _request: Request) -> Response:
        ready = self._daemon.is_ready and not self._daemon.is_leaving
        return Response.from_json(
            {'ready': ready},
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
        )

    async def _metrics(self, _request: Request) -> Response:
        headers = [('content-type', _METRICS_TYPE)]
        return Response(
            HTTPStatus.OK, headers, self._daemon.metrics.exposition()
        )

    async def _state(self, _request: Request) -> Response:
        headers = [('content-type', 'application/json')]
        body = json.dumps(self._daemon.state_dump(), indent=1).encode()
        return Response(HTTPStatus.OK, headers, body)

    async def _drain(self, request: Request) -> Response:
        secret = self._settings.operators.secret
        if not secret or request.headers.get(OPERATOR_HEADER) != secret:
            raise ServingError(
                ErrorKind.APPLICATION_NOT_ALLOWED,
                'draining requires the operators.secret of this VM; send it, '
                'or send SIGTERM to the process',
            )
        await self._daemon.begin_leaving()
        return Response.from_json({'leaving': True}, HTTPStatus.ACCEPTED)

    # -- Checks

    @property
    def _inventory(self) -> Inventory:
        return self._daemon.inventory()

    def _check_accepts_work(self, deadline: float) -> None:
        """Check that this VM may serve a request until its deadline.

        :raises ServingError: if it refuses work, or stops before
        """
        if self._daemon.refuses_work or deadline > self._daemon.drains_until:
            raise leaving_error()

    def _application(self, request: Request) -> Application:
        return _unwrap(self._inventory.authenticate(_credential(request)))

    def _find_call(
        self,
        service_id: str,
        call_id: str,
        application: Application,
    ) -> tuple[Service, ServiceCall]:
        return _unwrap(
            self._inventory.find_call(service_id, call_id, application),
        )

    def _check_rate_limit(self, application: Application) -> None:
        bucket = self._buckets.get(application.id)
        if bucket is None:
            limits = self._settings.limits
            bucket = TokenBucket(
                limits.application_rate,
                limits.application_burst,
            )
            self._buckets[application.id] = bucket
        wait = bucket.take()
        if wait:
            raise ServingError(
                ErrorKind.RATE_LIMITED,
                f'application {application.id!r} exceeds its rate limit of '
                f'{self._settings.limits.application_rate:g} requests/s; '
                'slow down',
                retry_after=wait,
            )

    def _deadline(self, request: Request) -> float:
        text = request.headers.get(DEADLINE_HEADER)
        max_seconds = self._settings.limits.request_seconds
        if text is None:
            return clock.now() + max_seconds
        seconds = _parse_seconds(text, DEADLINE_HEADER)
        if seconds <= 0:
            raise _invalid_seconds(DEADLINE_HEADER)
        return clock.now() + min(seconds, max_seconds)

    def _no_route(self, request: Request) -> ServingError:
        methods = [
            method for method, path in self._routes if path == request.path
        ]
        if methods:
            return _wrong_method(request.path, methods[0])
        return ServingError(
            ErrorKind.UNKNOWN_PATH,
            f'no route matches {request.path!r}; '
            'see the documentation for callers',
        )


def _unwrap(outcome: Any) -> Any:
    if outcome.is_error():
        raise outcome.error
    return outcome.ok


def _expect_method(request: Request, method: str) -> None:
    if request.method != method:
        raise _wrong_method(request.path, method)


def _wrong_method(path: str, method: str) -> ServingError:
    return ServingError(
        ErrorKind.METHOD_NOT_ALLOWED,
        f'{path} takes {method} only',
    )


def _credential(request: Request) -> str:
    text = request.headers.get('authorization', '')
    return text.removeprefix(_BEARER).strip()


def _service_path(path: str) -> tuple[str, str]:
    service, _separator, call = path[len(_SERVICE_PREFIX) :].partition('/')
    return service, call


def _idempotency_key(request: Request) -> str:
    key = request.headers.get(KEY_HEADER, '').strip()
    if len(key) > _MAX_KEY_CHARACTERS:
        raise ServingError(
            ErrorKind.MALFORMED_REQUEST,
            f'{KEY_HEADER} exceeds {_MAX_KEY_CHARACTERS} characters; '
            'use a UUIDv7',
        )
    return key


def _idempotency_time(request: Request) -> float:
    text = request.headers.get(KEY_TIME_HEADER)
    return _parse_seconds(text, KEY_TIME_HEADER) if text else 0


def _parse_seconds(text: str, name: str) -> float:
    try:
        parsed = float(text)
    except ValueError as bad:
        raise _invalid_seconds(name) from bad
    if not 0 <= parsed < _MAX_HEADER_SECONDS:
        raise _invalid_seconds(name)
    return parsed


def _invalid_seconds(name: str) -> ServingError:
    return ServingError(
        ErrorKind.MALFORMED_REQUEST,
        f'{name} is not a positive number of seconds; correct it',
    )


def _missing_parameter() -> ServingError:
    return ServingError(
        ErrorKind.MALFORMED_REQUEST,
        "the query needs 'model', or 'service' and 'call'",
    )
