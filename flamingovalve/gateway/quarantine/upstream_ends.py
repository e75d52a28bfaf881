"""Finds out whether an upstream has ended, or only a connection to it."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ConnectionLost, HeldBack
from flamingovalve.gateway.quarantine.ends import Instance
from flamingovalve.gateway.upstream_paths import PathFailure
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.dialer import UpstreamDialer
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.relay import Wire
    from flamingovalve.gateway.upstream_client import UpstreamClient
    from flamingovalve.gateway.upstream_paths import UpstreamPaths
    from flamingovalve.http.client import UpstreamConnection

_CHECK_SECONDS: Final = 0.4
_IDENTIFY_PATIENCE_SECONDS: Final = 0.1
# An upstream that is back under its id registers within this time.
_REGISTRATION_SECONDS: Final = 0.5
_MAX_FINDINGS: Final = 256


class EndSign(Enum):
    """What shows that an upstream has ended.

    :cvar REFUSES: it refuses connections, and no VM reaches it
    :cvar SILENT: it does not answer to any VM
    :cvar OTHER_INSTANCE: another instance answers at its address
    :cvar RESTARTED: it has registered with a new start time
    """

    REFUSES = 'refuses'
    SILENT = 'silent'
    OTHER_INSTANCE = 'other_instance'
    RESTARTED = 'restarted'


_SIGNS: Final = {
    PathFailure.REFUSED: EndSign.REFUSES,
    PathFailure.TIMED_OUT: EndSign.SILENT,
    PathFailure.SILENT: EndSign.SILENT,
}


@dataclass(frozen=True, slots=True)
class _Finding:
    at: float
    sign: EndSign | None
    is_identified: bool

    def answers(self, since: float, *, identifies: bool) -> bool:
        """Return whether it can be used for a request lost since a time."""
        is_complete = self.is_identified or self.sign is not None
        return self.at >= since and (is_complete or not identifies)


class UpstreamEnds:
    """Checks upstreams under which requests were lost.

    What was lost together shares one check.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        client: UpstreamClient,
        dialer: UpstreamDialer,
        paths: UpstreamPaths,
        wire: Wire,
    ) -> None:
        """Check through ``client`` and over connections of ``dialer``.

        :param paths: how connections to upstreams failed
        """
        self._catalogue = catalogue
        self._client = client
        self._dialer = dialer
        self._paths = paths
        self._wire = wire
        self._findings: dict[Instance, _Finding] = {}
        self._locks: defaultdict[Instance, curio.Lock] = defaultdict(curio.Lock)

    async def find(
        self, upstream: Upstream, since: float, *, identifies: bool = True
    ) -> EndSign | None:
        """Return what shows that an upstream has ended; None if it has not.

        :param since: when the request was lost, on the monotonic clock; what
            was found earlier is not used
        :param identifies: whether to identify the instance that accepts connections
        """
        instance = Instance.from_upstream(upstream)
        async with self._locks[instance]:
            finding = self._findings.get(instance)
            if finding is None or not finding.answers(
                since, identifies=identifies
            ):
                sign = await self._check(upstream, identifies=identifies)
                finding = _Finding(clock.now(), sign, identifies)
                self._findings[instance] = finding
        self._forget_oldest()
        return finding.sign

    def _forget_oldest(self) -> None:
        while len(self._findings) > _MAX_FINDINGS:
            oldest = next(iter(self._findings))
            del self._findings[oldest]
            self._locks.pop(oldest, None)

    async def _check(
        self, upstream: Upstream, *, identifies: bool
    ) -> EndSign | None:
        if self._has_restarted(upstream):
            return EndSign.RESTARTED
        connection = await self._dialer.connect_freshly(upstream)
        if connection is None:
            return _SIGNS.get(self._paths.failure(upstream.id))
        if identifies:
            return await self._identify(connection, upstream)
        await self._dialer.keep(connection)
        return None

    async def _identify(
        self, connection: UpstreamConnection, upstream: Upstream
    ) -> EndSign | None:
        """Return a sign if another process has answered at the address."""
        try:
            is_other = await self._is_other(connection, upstream)
        except (ConnectionLost, TimeoutError):
            await connection.close()
            return None
        except HeldBack:
            is_other = False
        await self._dialer.release(connection)
        if is_other:
            return EndSign.OTHER_INSTANCE
        await curio.sleep(_REGISTRATION_SECONDS)
        return EndSign.RESTARTED if self._has_restarted(upstream) else None

    async def _is_other(
        self, connection: UpstreamConnection, upstream: Upstream
    ) -> bool:
        services = self._catalogue.configuration.services_by_name
        service = services.get(upstream.service)
        if service is None or not service.health_path:
            return False
        head = await self._client.identify(
            connection,
            upstream,
            self._wire.identity_call(service.health_path, upstream),
            _CHECK_SECONDS,
            _IDENTIFY_PATIENCE_SECONDS,
        )
        return self._wire.is_other_instance(head, upstream)

    def _has_restarted(self, upstream: Upstream) -> bool:
        known = self._catalogue.find_upstream(upstream.id)
        return known is not None and known.born != upstream.born
