"""Keys of non-idempotent calls: whose they are and how old."""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING, Final

from flamingovalve.claims.refusals import key_without_time
from flamingovalve.generated.ids import ClaimKey

if TYPE_CHECKING:
    from flamingovalve.relay.services import ServiceRequest

_UUID7: Final = 7
_UUID7_RANDOM_BITS: Final = 80
_MILLISECONDS: Final = 1000


def scope_of(application: str, service: str, call: str) -> str:
    """Give the text that says what a permit is good for."""
    return f'{application}/{service}/{call}'


def body_digest(request: ServiceRequest) -> bytes:
    """Give the digest that tells two requests of one key apart."""
    return hashlib.sha256(request.body).digest()


def own_claim_key(request: ServiceRequest) -> ClaimKey:
    """Give the claim key of a caller's own idempotency key."""
    scope = scope_of(request.application, request.service, request.call)
    return ClaimKey(f'own:{scope}:{request.key}')


def key_time(request: ServiceRequest) -> float:
    """Give the Unix time at which the caller's own key was made.

    Records are kept for a bounded time and no disk outlives a VM, so a key
    must tell its age: an old one could otherwise run a second time once
    everyone has forgotten it.

    :raises ServingError: when the key does not tell
    """
    if request.key_time > 0:
        return request.key_time
    try:
        parsed = uuid.UUID(request.key)
    except ValueError as bad:
        raise key_without_time() from bad
    if parsed.version != _UUID7:
        raise key_without_time()
    return (parsed.int >> _UUID7_RANDOM_BITS) / _MILLISECONDS
