"""Framed, authenticated connections between VMs.

A frame is a 4-byte length, a 16-byte authentication code and a Cap'n Proto
message. The first frame of each side carries a fresh number; both numbers
enter the session key, so a recorded connection cannot be played again.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING, Any, Final

import capnp
import curio

from flamingovalve.errors import ConnectionLost, WrongPeer
from flamingovalve.generated import ids, messages
from flamingovalve.generated.messages import Heartbeat, Hello
from flamingovalve.util.authentication import CODE_BYTES, authentication_code

if TYPE_CHECKING:
    from curio.io import Socket

    from flamingovalve.generated.ids import VmId
    from flamingovalve.util.authentication import Keyring
    from flamingovalve.util.network import Network

HEARTBEAT_SECONDS: Final = 1.0
SILENCE_SECONDS: Final = 3.5

_READ_BYTES: Final = 262144
_FRAME_BYTES: Final = 1024**3
_LENGTH_BYTES: Final = 4
_NONCE_BYTES: Final = 16
_HEAD_BYTES: Final = _LENGTH_BYTES + CODE_BYTES


class PeerConnection:
    """One connection to another VM; carries one exchange at a time."""

    def __init__(self, network: Network, opened: Socket) -> None:
        """Speak over ``opened``."""
        self.remote = Hello()
        self.socket = opened
        self.idle_since = 0.0
        self._network = network
        self._buffer = bytearray()
        self._key: bytes = b''
        self._sent = 0
        self._received = 0
        self._is_client = False
        self._sending = curio.Lock()

    async def greet(self, keyring: Keyring, own: Hello) -> None:
        """Open the exchange as the side that connected.

        :raises WrongPeer: when the other side does not hold our key
        """
        self._is_client = True
        own.nonce = secrets.token_bytes(_NONCE_BYTES)
        self._key = keyring.current
        await self.send(own)
        self.remote = _expect_hello(await self.receive(SILENCE_SECONDS))
        self._start_session(self._key, own.nonce + self.remote.nonce)

    async def welcome(self, keyring: Keyring, own: Hello) -> None:
        """Answer the greeting as the side that accepted.

        :raises WrongPeer: when the other side holds none of our keys
        """
        code, content = await self._read_frame(SILENCE_SECONDS)
        key = keyring.key_for(code, self._numbered(content, received=True))
        if key is None:
            raise WrongPeer('a connection was opened with an unknown key')
        self._received += 1
        self.remote = _expect_hello(_decode(content))
        own.nonce = secrets.token_bytes(_NONCE_BYTES)
        self._key = key
        await self.send(own)
        self._start_session(key, self.remote.nonce + own.nonce)

    async def send(self, message: Any) -> None:
        """Write one message.

        :raises ConnectionLost: when the connection broke
        """
        content = messages.encode_frame(message)
        async with self._sending:
            numbered = self._numbered(content, received=False)
            code = authentication_code(self._key, numbered)
            self._sent += 1
            length = len(content).to_bytes(_LENGTH_BYTES, 'big')
            try:
                await self.socket.sendall(length + code + content)
            except OSError as broken:
                raise ConnectionLost(str(broken)) from broken

    async def receive(self, silence: float | None = None) -> Any:
        """Wait for the next message; heartbeats only prolong the wait.

        :param silence: longest time without any frame, in seconds
        :raises ConnectionLost: when the connection broke or fell silent
        :raises WrongPeer: when the message is forged
        """
        message = await self._receive_any(silence)
        while isinstance(message, Heartbeat):
            message = await self._receive_any(silence)
        return message

    async def close(self) -> None:
        """Give up the connection."""
        await self._network.discard(self.socket)

    async def _receive_any(self, silence: float | None) -> Any:
        code, content = await self._read_frame(silence)
        numbered = self._numbered(content, received=True)
        if not hmac.compare_digest(
            code,
            authentication_code(self._key, numbered),
        ):
            raise WrongPeer('a frame does not carry the key of its connection')
        self._received += 1
        return _decode(content)

    def _numbered(self, content: bytes, *, received: bool) -> bytes:
        # The direction and the count enter the code: a frame that is
        # reflected, repeated or dropped on the way no longer fits.
        from_client = self._is_client is not received
        count = self._received if received else self._sent
        return b'%d%d:' % (from_client, count) + content

    def _start_session(self, key: bytes, nonces: bytes) -> None:
        self._key = hashlib.blake2b(nonces, key=key).digest()

    async def _read_frame(self, silence: float | None) -> tuple[bytes, bytes]:
        await self._fill(_HEAD_BYTES, silence)
        length = int.from_bytes(self._buffer[:_LENGTH_BYTES], 'big')
        if length > _FRAME_BYTES:
            raise WrongPeer(f'a frame of {length} bytes is too long')
        await self._fill(_HEAD_BYTES + length, silence)
        code = bytes(self._buffer[_LENGTH_BYTES:_HEAD_BYTES])
        content = bytes(self._buffer[_HEAD_BYTES : _HEAD_BYTES + length])
        del self._buffer[: _HEAD_BYTES + length]
        return code, content

    async def _fill(self, wanted: int, silence: float | None) -> None:
        while len(self._buffer) < wanted:
            received = await self._read_some(silence)
            if not received:
                raise ConnectionLost('the peer closed the connection')
            self._buffer += received

    async def _read_some(self, silence: float | None) -> bytes:
        try:
            if silence is None:
                return await self.socket.recv(_READ_BYTES)
            async with curio.timeout_after(silence):
                return await self.socket.recv(_READ_BYTES)
        except curio.TaskTimeout as late:
            raise ConnectionLost(f'no frame for {silence:g} s') from late
        except OSError as broken:
            raise ConnectionLost(str(broken)) from broken


def own_hello(vm: VmId, incarnation: ids.Incarnation) -> Hello:
    """Give the greeting of this process."""
    return Hello(ids.VmId(vm), incarnation, b'')


def _decode(content: bytes) -> Any:
    try:
        return messages.decode_frame(content)
    except (capnp.KjException, ValueError) as bad:
        raise WrongPeer(f'a frame cannot be decoded: {bad}') from bad


def _expect_hello(message: Any) -> Hello:
    if not isinstance(message, Hello):
        raise WrongPeer('the first frame is no greeting')
    return message
