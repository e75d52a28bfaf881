"""Quarantine of requests that crash engines."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.generated.messages import PoisonRumour
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from flamingovalve.generated.ids import EngineId, Fingerprint
    from flamingovalve.generated.settings import RelaySettings

logger = get_logger(__name__)

_CRASHES_TO_REFUSE: Final = 2
_MAX_CRASHED_BOOTS: Final = 64


class Verdict(Enum):
    """Whether and how a request may be run."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


@dataclass(slots=True)
class Suspicion:
    """Crashes attributed to the requests with one fingerprint.

    :ivar crashes: 1 for a suspect; 2 once it crashed an engine on which it
        ran alone
    :ivar expires_at: expiry time on the monotonic clock
    """

    crashes: int
    expires_at: float


@dataclass
class QuarantineCounts:
    """Counters of the quarantine since this process started."""

    crashes: int = 0
    suspects: int = 0
    convicted: int = 0
    cleared: int = 0
    refused: int = 0


@dataclass
class _InFlight:
    fingerprints: dict[str, Fingerprint] = field(default_factory=dict)


class Quarantine:
    """Finds the requests that crash engines and refuses them.

    When an engine crashes, every request that it ran becomes a suspect,
    although most of them did not cause the crash. A suspect runs alone on an
    engine: if that engine crashes too, the request is the cause and is
    refused until the quarantine expires; if it succeeds, it is cleared.
    """

    def __init__(self, settings: RelaySettings) -> None:
        """Start with no suspects."""
        self.counts = QuarantineCounts()
        self.unsent_rumours: list[PoisonRumour] = []
        self._settings = settings
        self._by_fingerprint: dict[Fingerprint, Suspicion] = {}
        self._in_flight: dict[EngineId, _InFlight] = {}
        self._crashed_boots: list[tuple[EngineId, str]] = []

    def __len__(self) -> int:
        """Return the number of suspect and refused fingerprints."""
        return len(self._by_fingerprint)

    def verdict(self, fingerprint: Fingerprint) -> Verdict:
        """Return whether and how a request with ``fingerprint`` may be run."""
        known = self._by_fingerprint.get(fingerprint)
        if known is None:
            return Verdict.CLEAR
        if clock.now() >= known.expires_at:
            del self._by_fingerprint[fingerprint]
            return Verdict.CLEAR
        if known.crashes >= _CRASHES_TO_REFUSE:
            self.counts.refused += 1
            return Verdict.REFUSED
        return Verdict.SUSPECT

    def started(
        self,
        engine: EngineId,
        request_id: str,
        fingerprint: Fingerprint,
    ) -> None:
        """Record that an engine started a request."""
        running = self._in_flight.setdefault(engine, _InFlight())
        running.fingerprints[request_id] = fingerprint

    def ended(self, engine: EngineId, request_id: str) -> None:
        """Record that an engine no longer runs a request."""
        running = self._in_flight.get(engine)
        if running is not None:
            running.fingerprints.pop(request_id, None)

    def cleared(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that ran alone without a crash."""
        if self._by_fingerprint.pop(fingerprint, None) is not None:
            self.counts.cleared += 1

    def crashed(self, engine: EngineId, boot: str) -> None:
        """Record that an engine crashed; suspect the requests it ran.

        Every request in flight reports the crash; it is counted once.

        :param boot: boot id of the engine process that ended
        """
        if (engine, boot) in self._crashed_boots:
            return
        self._crashed_boots.append((engine, boot))
        del self._crashed_boots[:-_MAX_CRASHED_BOOTS]
        self.counts.crashes += 1
        running = self._in_flight.get(engine, _InFlight())
        fingerprints = set(running.fingerprints.values())
        for fingerprint in fingerprints:
            self._suspect(fingerprint, alone=len(fingerprints) == 1)

    def suspect_remotely(self, fingerprint: Fingerprint) -> None:
        """Suspect a request that ran on a crashed engine of another VM."""
        if fingerprint not in self._by_fingerprint:
            self._suspect(fingerprint, alone=False)

    def apply_rumour(self, rumour: PoisonRumour) -> bool:
        """Apply another VM's rumour; return whether it changed anything."""
        known = self._by_fingerprint.get(rumour.fingerprint)
        if known is not None and known.crashes >= rumour.crashes:
            return False
        expires_at = clock.now() + rumour.remaining
        self._by_fingerprint[rumour.fingerprint] = Suspicion(
            rumour.crashes,
            expires_at,
        )
        return True

    def take_unsent_rumours(self) -> list[PoisonRumour]:
        """Remove and return the rumours not yet sent to other VMs."""
        rumours = self.unsent_rumours
        self.unsent_rumours = []
        return rumours

    def _suspect(self, fingerprint: Fingerprint, *, alone: bool) -> None:
        known = self._by_fingerprint.get(fingerprint)
        crashes = 1
        if known is not None and alone:
            # It took part in two crashes and ran alone at the second.
            crashes = _CRASHES_TO_REFUSE
            self.counts.convicted += 1
            logger.warning(
                'request with fingerprint {:016x} crashes engines', fingerprint
            )
        else:
            self.counts.suspects += 1
        seconds = self._settings.quarantine_seconds
        expires_at = clock.now() + seconds
        self._by_fingerprint[fingerprint] = Suspicion(crashes, expires_at)
        self.unsent_rumours.append(PoisonRumour(fingerprint, crashes, seconds))


def poison_request(ran: Ran) -> ServingError:
    """Return the error for a request that crashes engines."""
    return ServingError(
        ErrorKind.POISON_REQUEST,
        'this request crashed two engines and is refused; change it, or wait '
        'until its quarantine ends',
        ran=ran,
    )
