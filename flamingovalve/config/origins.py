"""Sources of configuration values: the service or another VM."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Final

from flamingovalve.config.service import ServiceUnavailable
from flamingovalve.errors import ConnectionLost, WrongPeer
from flamingovalve.generated.messages import (
    ConfigurationAsk,
    ConfigurationReply,
)
from flamingovalve.peer.client import PeerUnreachable

if TYPE_CHECKING:
    from flamingovalve.config.service import ConfigurationService
    from flamingovalve.generated.ids import VmId
    from flamingovalve.peer.client import PeerPool

_PEER_TIMEOUT_SECONDS: Final = 3.0


class Origin:
    """A source of configuration values."""

    name = ''

    async def read(self, key: str, sha256: str) -> bytes:
        """Return the value at ``key``.

        :param sha256: expected digest, in hex; empty for any value
        :raises ServiceUnavailable: when no value can be read
        """
        raise NotImplementedError


class ServiceOrigin(Origin):
    """Reads from the configuration service."""

    name = 'service'

    def __init__(self, service: ConfigurationService) -> None:
        """Create an origin that reads from ``service``."""
        self._service = service

    async def read(self, key: str, sha256: str) -> bytes:
        """Return the value at ``key``; the digest is ignored."""
        published = await self._service.read(key)
        return published.content


class PeerOrigin(Origin):
    """Reads from another VM."""

    name = 'peer'

    def __init__(self, peers: PeerPool, address: str, vm: VmId) -> None:
        """Create an origin that reads from the VM at ``address``."""
        self._peers = peers
        self._address = address
        self._vm = vm

    async def read(self, key: str, sha256: str) -> bytes:
        """Return the value that the VM holds at ``key``."""
        ask = ConfigurationAsk(key, sha256)
        try:
            _incarnation, reply = await self._peers.ask(
                self._address,
                self._vm,
                ask,
                _PEER_TIMEOUT_SECONDS,
            )
        except (PeerUnreachable, ConnectionLost, WrongPeer) as failed:
            raise ServiceUnavailable(str(failed)) from failed
        if not isinstance(reply, ConfigurationReply) or not reply.found:
            raise ServiceUnavailable(f'VM {self._vm} does not hold {key}')
        return zlib.decompress(reply.content)
