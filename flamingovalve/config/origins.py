"""Where configuration values are read from: the service or another VM."""

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

_PEER_SECONDS: Final = 3.0


class Origin:
    """Where values are read from: the service or one peer."""

    name = ''

    async def read(self, key: str, sha256: str) -> bytes:
        """Give the value at ``key``.

        :param sha256: digest of the page that is wanted; empty for any
        :raises ServiceUnavailable: when there is none to be had
        """
        raise NotImplementedError


class ServiceOrigin(Origin):
    """Reads from the configuration service."""

    name = 'service'

    def __init__(self, service: ConfigurationService) -> None:
        """Read from ``service``."""
        self._service = service

    async def read(self, key: str, sha256: str) -> bytes:
        """Give the value at ``key``."""
        published = await self._service.read(key)
        return published.content


class PeerOrigin(Origin):
    """Reads from another VM."""

    name = 'peer'

    def __init__(self, peers: PeerPool, address: str, vm: VmId) -> None:
        """Read from the VM at ``address``."""
        self._peers = peers
        self._address = address
        self._vm = vm

    async def read(self, key: str, sha256: str) -> bytes:
        """Give the value that the VM holds at ``key``."""
        ask = ConfigurationAsk(key, sha256)
        try:
            _incarnation, reply = await self._peers.ask(
                self._address,
                self._vm,
                ask,
                _PEER_SECONDS,
            )
        except (PeerUnreachable, ConnectionLost, WrongPeer) as failed:
            raise ServiceUnavailable(str(failed)) from failed
        if not isinstance(reply, ConfigurationReply) or not reply.found:
            raise ServiceUnavailable(f'{self._vm} holds no {key}')
        return zlib.decompress(reply.content)
