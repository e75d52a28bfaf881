"""Message authentication codes by keyed BLAKE2b, and replay windows."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from flamingovalve.generated.settings import FleetSettings

CODE_BYTES: Final = 16
_WINDOW_BITS: Final = 256


def authentication_code(key: bytes, content: bytes) -> bytes:
    """Return the 16-byte code of ``content`` under ``key``."""
    digest = hashlib.blake2b(content, digest_size=CODE_BYTES, key=key)
    return digest.digest()


class Keyring:
    """The key that authenticates messages and the keys that are accepted.

    While a key is rotated, VMs with the old and VMs with the new settings
    file must accept each other's messages: each accepts both keys and signs
    with its current one.
    """

    def __init__(self, keys: list[bytes]) -> None:
        """Sign with the first of ``keys`` and accept all of them."""
        self._keys = keys

    @classmethod
    def from_settings(cls, settings: FleetSettings) -> Keyring:
        """Build the keyring from the two keys of the settings file."""
        texts = [settings.key_current, settings.key_previous]
        return cls(
            [hashlib.blake2b(text.encode()).digest() for text in texts if text]
        )

    @property
    def current(self) -> bytes:
        """Key that signs messages."""
        return self._keys[0]

    def seal(self, content: bytes) -> bytes:
        """Return ``content`` with its code prepended."""
        return authentication_code(self.current, content) + content

    def open(self, sealed: bytes) -> bytes | None:
        """Return the content of a sealed message, ``None`` if it is forged."""
        code, content = sealed[:CODE_BYTES], sealed[CODE_BYTES:]
        if self.key_for(code, content) is None:
            return None
        return content

    def key_for(self, code: bytes, content: bytes) -> bytes | None:
        """Return the accepted key for which ``code`` is valid, if any."""
        for key in self._keys:
            if hmac.compare_digest(code, authentication_code(key, content)):
                return key
        return None


class ReplayWindow:
    """Accepts each sequence number of one sender once.

    A replayed datagram carries a valid code, so old rumours or
    acknowledgements would otherwise count as new. Numbers too far below the
    highest one are refused because the window no longer covers them.
    """

    __slots__ = ('_highest', '_seen')

    def __init__(self) -> None:
        """Accept any first number."""
        self._highest = -1
        self._seen = 0

    def accept(self, sequence: int) -> bool:
        """Return whether ``sequence`` is new, and record it."""
        if sequence > self._highest:
            shift = min(sequence - self._highest, _WINDOW_BITS)
            mask = (1 << _WINDOW_BITS) - 1
            self._seen = ((self._seen << shift) | 1) & mask
            self._highest = sequence
            return True
        age = self._highest - sequence
        if age >= _WINDOW_BITS or self._seen >> age & 1:
            return False
        self._seen |= 1 << age
        return True
