"""Permits: keys whose calls only one process can run."""

from __future__ import annotations

import base64
import hmac
import secrets
from dataclasses import dataclass
from typing import Final

from expression import Error, Ok, Result

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.generated.ids import Incarnation, VmId
from flamingovalve.util import clock
from flamingovalve.util.authentication import (
    CODE_BYTES,
    authentication_code,
)

PREFIX: Final = 'permit.'
_SEPARATOR: Final = '|'
_FIELD_COUNT: Final = 7
_NONCE_BYTES: Final = 9
_KEY_BYTES: Final = 32


@dataclass(frozen=True, slots=True)
class Permit:
    """The content of a permit.

    :ivar scope: application, service and call that it is valid for
    :ivar executor: the VM of the only process that can run its call
    :ivar executor_incarnation: that process, which made the permit
    :ivar witness: the VM that must acknowledge the run; empty for none
    :ivar expires_at: Unix time after which it is refused
    """

    scope: str
    executor: VmId
    executor_incarnation: Incarnation
    witness: VmId
    witness_incarnation: Incarnation
    expires_at: int
    nonce: str

    def signed_part(self) -> str:
        """Return the text that the authentication code covers."""
        return _SEPARATOR.join(
            (
                self.scope,
                self.executor,
                str(self.executor_incarnation),
                self.witness,
                str(self.witness_incarnation),
                str(self.expires_at),
                self.nonce,
            )
        )


class PermitMaker:
    """Makes and checks the permits of this process.

    The signing key exists only in the memory of this process. A process that
    replaces it has another key and rejects the permits of this one without
    having to know them.
    """

    def __init__(self, vm: VmId, incarnation: Incarnation) -> None:
        """Make permits that name this process as executor."""
        self._vm = vm
        self._incarnation = incarnation
        self._key = secrets.token_bytes(_KEY_BYTES)

    def make(
        self,
        scope: str,
        witness: tuple[VmId, Incarnation],
        seconds: float,
    ) -> str:
        """Return the text of a new permit that is valid for ``seconds``."""
        permit = Permit(
            scope,
            self._vm,
            self._incarnation,
            *witness,
            int(clock.wall() + seconds),
            secrets.token_urlsafe(_NONCE_BYTES),
        )
        signed = permit.signed_part().encode()
        permit_bytes = authentication_code(self._key, signed) + signed
        return PREFIX + base64.urlsafe_b64encode(permit_bytes).decode('ascii')

    def is_ours(self, text: str) -> bool:
        """Return whether this process made the permit."""
        code, signed = _split_code(text)
        return hmac.compare_digest(
            code,
            authentication_code(self._key, signed),
        )


def parse_permit(text: str) -> Result[Permit, ServingError]:
    """Parse a permit without checking its authentication code."""
    try:
        _code, signed = _split_code(text)
        fields = signed.decode().split(_SEPARATOR)
    except ValueError:
        return Error(_malformed_permit())
    if len(fields) != _FIELD_COUNT:
        return Error(_malformed_permit())
    try:
        numbers = [int(fields[index]) for index in (2, 4, 5)]
    except ValueError:
        return Error(_malformed_permit())
    return Ok(
        Permit(
            fields[0],
            VmId(fields[1]),
            Incarnation(numbers[0]),
            VmId(fields[3]),
            Incarnation(numbers[1]),
            numbers[2],
            fields[6],
        ),
    )


def is_permit(text: str) -> bool:
    """Return whether an idempotency key is a permit."""
    return text.startswith(PREFIX)


def _split_code(text: str) -> tuple[bytes, bytes]:
    encoded = text.removeprefix(PREFIX).encode('ascii')
    permit_bytes = base64.b64decode(encoded, b'-_', validate=True)
    return permit_bytes[:CODE_BYTES], permit_bytes[CODE_BYTES:]


def _malformed_permit() -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_NEEDED,
        'the permit is damaged; ask /v1/entry for a new one',
    )
