"""Framed, authenticated connections between VMs.

A frame is a 4-byte length, a 16-byte authentication code and a Cap'n Proto
message. The first frame of each side carries a new random nonce. The session
key is derived from both nonces, so a recorded connection cannot be replayed.
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
from flamingovalve.util.turns import Turns

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from curio.io import Socket

    from flamingovalve.generated.ids import VmId
    from flamingovalve.util.authentication import Keyring
    from flamingovalve.util.network import Network

HEARTBEAT_SECONDS: Final = 1.0
SILENCE_SECONDS: Final = 3.5

_READ_BYTES: Final = 262144
# Whatever else listens at the address of a VM that has gone sends the first
# frame unauthenticated.
_MAX_HELLO_BYTES: Final = 4096
_MAX_FRAME_BYTES: Final = 67108864
_LENGTH_BYTES: Final = 4
_NONCE_BYTES: Final = 16
_HEADER_BYTES: Final = _LENGTH_BYTES + CODE_BYTES


class PeerConnection:
    """One connection to another VM; carries one exchange at a time."""

    def __init__(self, network: Network, opened: Socket) -> None:
        """Exchange frames over ``opened``."""
        self.remote = Hello()
        self.socket = opened
        self.idle_since = 0.0
        self._network = network
        self._buffer = bytearray()
        self._key: bytes = b''
        self._sent = 0
        self._received = 0
        self._is_client = False
        self._send_lock = curio.Lock()
        self._turns = Turns()
        self._most_bytes = _MAX_HELLO_BYTES

    async def open_handshake(self, keyring: Keyring, own: Hello) -> None:
        """Perform the handshake as the side that connected.

        It ends within the time for which a peer may be silent.

        :raises ConnectionLost: if the connection broke or fell silent
        :raises WrongPeer: if the other side does not use the key of this VM
        """
        self._is_client = True
        own.nonce = secrets.token_bytes(_NONCE_BYTES)
        self._key = keyring.current
        await self.send(own)
        received = await _in_time(self.receive(SILENCE_SECONDS))
        self.remote = _expect_hello(received)
        self._start_session(self._key, own.nonce + self.remote.nonce)

    async def accept_handshake(self, keyring: Keyring, own: Hello) -> None:
        """Perform the handshake as the side that accepted.

        It ends within the time for which a peer may be silent.

        :raises ConnectionLost: if the connection broke or fell silent
        :raises WrongPeer: if the other side uses none of the keys of this VM
        """
        code, content = await _in_time(self._read_frame(SILENCE_SECONDS))
        key = keyring.key_for(
            code, self._authenticated_part(content, received=True)
        )
        if key is None:
            raise WrongPeer('the connection was opened with an unknown key')
        self._received += 1
        self.remote = _expect_hello(_decode(content))
        own.nonce = secrets.token_bytes(_NONCE_BYTES)
        self._key = key
        await self.send(own)
        self._start_session(key, self.remote.nonce + own.nonce)

    async def send(self, message: Any) -> None:
        """Write one message.

        :raises ConnectionLost: if the connection broke
        """
        content = messages.encode_frame(message)
        async with self._send_lock:
            authenticated = self._authenticated_part(content, received=False)
            code = authentication_code(self._key, authenticated)
            self._sent += 1
            length = len(content).to_bytes(_LENGTH_BYTES, 'big')
            try:
                await self.socket.sendall(length + code + content)
            except OSError as failed:
                raise ConnectionLost(str(failed)) from failed

    async def receive(self, silence: float | None = None) -> Any:
        """Return the next message that is not a heartbeat.

        :param silence: maximum time without any frame, in seconds; a
            heartbeat starts it again
        :raises ConnectionLost: if the connection broke or fell silent
        :raises WrongPeer: if the message is forged
        """
        message = await self._receive_message(silence)
        while isinstance(message, Heartbeat):
            message = await self._receive_message(silence)
        return message

    async def close(self) -> None:
        """Close the connection."""
        await self._network.discard(self.socket)

    async def _receive_message(self, silence: float | None) -> Any:
        code, content = await self._read_frame(silence)
        authenticated = self._authenticated_part(content, received=True)
        if not hmac.compare_digest(
            code,
            authentication_code(self._key, authenticated),
        ):
            raise WrongPeer('a frame has a wrong authentication code')
        self._received += 1
        return _decode(content)

    def _authenticated_part(self, content: bytes, *, received: bool) -> bytes:
        # The authentication code covers the direction and the frame number,
        # so that reflected, repeated and dropped frames are detected.
        from_client = self._is_client is not received
        number = self._received if received else self._sent
        return b'%d%d:' % (from_client, number) + content

    def _start_session(self, key: bytes, nonces: bytes) -> None:
        self._key = hashlib.blake2b(nonces, key=key).digest()
        self._most_bytes = _MAX_FRAME_BYTES

    async def _read_frame(self, silence: float | None) -> tuple[bytes, bytes]:
        await self._fill_buffer(_HEADER_BYTES, silence)
        length = int.from_bytes(self._buffer[:_LENGTH_BYTES], 'big')
        if length > self._most_bytes:
            raise WrongPeer(f'a frame of {length} bytes exceeds the limit')
        await self._fill_buffer(_HEADER_BYTES + length, silence)
        code = bytes(self._buffer[_LENGTH_BYTES:_HEADER_BYTES])
        content = bytes(self._buffer[_HEADER_BYTES : _HEADER_BYTES + length])
        del self._buffer[: _HEADER_BYTES + length]
        return code, content

    async def _fill_buffer(self, size: int, silence: float | None) -> None:
        while len(self._buffer) < size:
            received = await self._read_some(silence)
            if not received:
                raise ConnectionLost('the peer closed the connection')
            self._buffer += received
            await self._turns.record(len(received))

    async def _read_some(self, silence: float | None) -> bytes:
        try:
            if silence is None:
                return await self.socket.recv(_READ_BYTES)
            async with curio.timeout_after(silence):
                return await self.socket.recv(_READ_BYTES)
        except curio.TaskTimeout as timed_out:
            raise ConnectionLost(
                f'no frame within {silence:g} s'
            ) from timed_out
        except OSError as failed:
            raise ConnectionLost(str(failed)) from failed


async def _in_time(reading: Awaitable[Any]) -> Any:
    """Wait for the first frame of a peer, however its bytes arrive.

    :raises ConnectionLost: if it takes too long
    """
    try:
        async with curio.timeout_after(SILENCE_SECONDS):
            return await reading
    except curio.TaskTimeout as timed_out:
        raise ConnectionLost('the handshake takes too long') from timed_out


def own_hello(vm: VmId, incarnation: ids.Incarnation) -> Hello:
    """Return the handshake message of this process."""
    return Hello(ids.VmId(vm), incarnation, b'')


def _decode(content: bytes) -> Any:
    try:
        return messages.decode_frame(content)
    except (capnp.KjException, ValueError) as failed:
        raise WrongPeer(f'cannot decode a frame: {failed}') from failed


def _expect_hello(message: Any) -> Hello:
    if not isinstance(message, Hello):
        raise WrongPeer('the first frame is not a Hello')
    return message
