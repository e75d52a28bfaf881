"""Client of the configuration service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.client import UpstreamCall

if TYPE_CHECKING:
    from flamingovalve.generated.settings import ConfigurationSettings
    from flamingovalve.http.client import ConnectionPool

_STATUS_OK = 200
_STATUS_NOT_MODIFIED = 304


class ServiceUnavailable(Exception):
    """The configuration service or a peer sent no usable value."""


@dataclass(slots=True)
class Published:
    """One value and its revision in the service."""

    content: bytes
    revision: int


class ConfigurationService:
    """Reads and watches values of the configuration service."""

    def __init__(
        self,
        pool: ConnectionPool,
        settings: ConfigurationSettings,
    ) -> None:
        """Create a client of the service that ``settings`` name."""
        self.calls = 0
        self.failures = 0
        self._pool = pool
        self._settings = settings

    async def read(self, key: str) -> Published:
        """Read the value at ``key``.

        :raises ServiceUnavailable: when no value can be read
        """
        published = await self._get(f'/v1/keys/{key}', 0)
        if published is None:
            raise ServiceUnavailable(f'no value at {key}')
        return published

    async def watch(self, key: str, revision: int) -> Published | None:
        """Wait for a revision of ``key`` other than ``revision``.

        :returns: the new value, or None if the revision did not change
            within ``watch_seconds``
        :raises ServiceUnavailable: when the service sends no valid response
        """
        wait = self._settings.watch_seconds
        target = f'/v1/keys/{key}?after={revision}&wait={wait:g}'
        return await self._get(target, wait)

    async def _get(self, target: str, wait: float) -> Published | None:
        self.calls += 1
        try:
            response = await self._pool.exchange(
                self._settings.address,
                UpstreamCall('GET', target, []),
                wait + self._settings.timeout_seconds,
            )
        except (OSError, ConnectionLost) as failed:
            self.failures += 1
            await self._pool.drop(self._settings.address)
            raise ServiceUnavailable(str(failed)) from failed
        if response.status == _STATUS_NOT_MODIFIED:
            return None
        revision = response.header('x-revision') or ''
        if response.status != _STATUS_OK or not revision.isdigit():
            self.failures += 1
            raise ServiceUnavailable(
                f'{target} returned status {response.status}'
            )
        return Published(response.body, int(revision))
