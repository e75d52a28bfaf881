"""Selects the route of a request and checks its API key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingovalve.errors import ErrorKind, ServingError

if TYPE_CHECKING:
    from flamingovalve.gateway.adapter import PlatformAdapter
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Route, Workspace
    from flamingovalve.gateway.revocation import RevocationGuard
    from flamingovalve.http.messages import Request


@dataclass(slots=True)
class AccessCounts:
    """Outcomes of requests on routes that require an API key."""

    admitted: int = 0
    unknown_keys: int = 0


class AccessControl:
    """Authorizes requests by route and API key."""

    def __init__(
        self,
        platform: PlatformAdapter,
        catalogue: Catalogue,
        guard: RevocationGuard,
    ) -> None:
        """Check keys against ``catalogue`` while ``guard`` permits it."""
        self.counts = AccessCounts()
        self._platform = platform
        self._catalogue = catalogue
        self._guard = guard

    async def admit(self, request: Request) -> InboundRequest:
        """Authorize and decode a request.

        :raises ServingError: if no route matches, if the key is missing,
            repeated or unknown, or if the configuration may be stale
        """
        route = self._match_route(request)
        if not self._catalogue.configuration.needs_key(route):
            return self._platform.inbound(request, route)
        await self._guard.check(self._platform.request_id(request))
        # The configuration may have been replaced during the check.
        route = self._match_route(request)
        inbound = self._platform.inbound(request, route)
        if self._catalogue.configuration.needs_key(route):
            self._assign_workspace(inbound, self._workspace_of(request))
        return inbound

    def _assign_workspace(
        self,
        inbound: InboundRequest,
        workspace: Workspace,
    ) -> None:
        self.counts.admitted += 1
        inbound.workspace = workspace.name
        if workspace.priority is not None:
            inbound.priority = workspace.priority

    def _match_route(self, request: Request) -> Route:
        host = self._platform.host_of(request)
        route = self._catalogue.configuration.find(host, request.path)
        if route is None:
            raise ServingError(
                ErrorKind.UNKNOWN_PATH,
                f'no route of host {host!r} matches path {request.path!r}',
            )
        return route

    def _workspace_of(self, request: Request) -> Workspace:
        key = self._platform.key_of(request)
        if not key:
            raise self._unknown_key_error(
                'this route requires an API key; send one'
            )
        workspace = self._catalogue.configuration.workspace_of(key)
        if workspace is None:
            raise self._unknown_key_error(
                'no workspace owns this API key; send another'
            )
        return workspace

    def _unknown_key_error(self, message: str) -> ServingError:
        self.counts.unknown_keys += 1
        return ServingError(ErrorKind.UNKNOWN_KEY, message)
