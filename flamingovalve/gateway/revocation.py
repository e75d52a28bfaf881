"""Refuses requests that need a key while the configuration may be stale.

A VM that is partitioned or rejected by the store does not learn of revoked
keys and would continue to accept them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import return_times
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.confirmation import Confirmation

logger = get_logger(__name__)

# Share of the revocation bound for which a confirmation is valid. The rest
# allows for the delay of a watch.
_VALID_SHARE: Final = 0.7
# Share of the revocation bound after which a confirmation is renewed, early
# enough that requests need not wait for it.
_RENEWAL_SHARE: Final = 0.2
_RENEWAL_PAUSE_SECONDS: Final = 0.5
# Bounds the delay of a request when no other VM can be reached.
_MAX_WAIT_SECONDS: Final = 0.3
# Short, as callers can retry at once on a VM that is not partitioned.
_RETRY_SECONDS: Final = 0.3


@dataclass(slots=True)
class RevocationCounts:
    """Renewals of the confirmation, and requests refused without one."""

    renewals: int = 0
    refused: int = 0


class RevocationGuard:
    """Refuses requests whose keys may have been revoked."""

    def __init__(
        self,
        confirmation: Confirmation,
        renew: Callable[[float], Awaitable[None]],
        revoke_seconds: float,
    ) -> None:
        """Enforce the bound of ``revoke_seconds``; 0 disables it.

        :param renew: renews the confirmation, given the target age in seconds
        """
        self.counts = RevocationCounts()
        self._confirmation = confirmation
        self._renew = renew
        self._valid_seconds = revoke_seconds * _VALID_SHARE
        self._renewal_seconds = revoke_seconds * _RENEWAL_SHARE
        self._renewal: curio.Task | None = None
        self._renewed_at = float('-inf')

    async def check(self, request_id: str) -> None:
        """Check that the configuration is recent enough to validate keys.

        Must be called after the request has been read, so that a slow read
        does not admit a key that was revoked during the read. Waits briefly
        for a renewal if the confirmation has expired.

        :raises ServingError: if the confirmation is still expired
        """
        if not self._valid_seconds:
            return
        if self._confirmation.age() > self._renewal_seconds:
            await self._begin_renewal()
        if not self._is_confirmed() and self._renewal is not None:
            async with curio.ignore_after(_MAX_WAIT_SECONDS):
                await self._renewal.wait()
        if not self._is_confirmed():
            raise self._refusal_error(request_id)

    def _is_confirmed(self) -> bool:
        return self._confirmation.age() <= self._valid_seconds

    async def _begin_renewal(self) -> None:
        if self._renewal is not None and not self._renewal.terminated:
            return
        if clock.now() < self._renewed_at + _RENEWAL_PAUSE_SECONDS:
            self._renewal = None
            return
        self._renewed_at = clock.now()
        self.counts.renewals += 1
        self._renewal = await curio.spawn(
            self._renew,
            self._renewal_seconds,
            daemon=True,
        )

    def _refusal_error(self, request_id: str) -> ServingError:
        self.counts.refused += 1
        age = self._confirmation.age()
        note(
            logger,
            'refused, the configuration may be stale',
            id=request_id,
            age=round(age, 2),
            max_age=self._valid_seconds,
        )
        return ServingError(
            ErrorKind.STALE_CONFIGURATION,
            'this VM cannot verify that the key is still valid; '
            'use another address',
            retry_after=return_times.add_jitter(_RETRY_SECONDS, request_id),
        )
