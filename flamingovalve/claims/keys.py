"""Keys of non-idempotent calls: their scope and their age."""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING, Final

from flamingovalve.claims.refusals import key_without_time
from flamingovalve.generated.ids import ClaimKey

if TYPE_CHECKING:
    from flamingovalve.relay.services import ServiceRequest

_UUID7_VERSION: Final = 7
_UUID7_BITS_AFTER_TIME: Final = 80
_MILLISECONDS_PER_SECOND: Final = 1000


def scope_of(application: str, service: str, call: str) -> str:
    """Return the scope of a permit: the call that it is valid for."""
    return f'{application}/{service}/{call}'


def body_digest(request: ServiceRequest) -> bytes:
    """Return the digest that distinguishes requests with the same key."""
    return hashlib.sha256(request.body).digest()


def own_claim_key(request: ServiceRequest) -> ClaimKey:
    """Return the claim key of a caller's own idempotency key."""
    scope = scope_of(request.application, request.service, request.call)
    return ClaimKey(f'own:{scope}:{request.key}')


def key_time(request: ServiceRequest) -> float:
    """Return the Unix time at which the caller's own key was made.

    Records are kept for a bounded time, and the disk of a VM is lost with it.
    The age of a key must therefore be known: otherwise the call could run a
    second time once all holders have dropped its record.

    :raises ServingError: if neither the key nor the request contains it
    """
    if request.key_time > 0:
        return request.key_time
    try:
        parsed = uuid.UUID(request.key)
    except ValueError as invalid:
        raise key_without_time() from invalid
    if parsed.version != _UUID7_VERSION:
        raise key_without_time()
    return (parsed.int >> _UUID7_BITS_AFTER_TIME) / _MILLISECONDS_PER_SECOND
