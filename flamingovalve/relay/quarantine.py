"""Keeps a request that crashes engines from crashing more of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import PoisonRumour
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from flamingovalve.generated.ids import EngineId, Fingerprint
    from flamingovalve.generated.settings import RelaySettings

logger = get_logger(__name__)

_CONVICTION: Final = 2
_BOOTS_KEPT: Final = 64


class Verdict(Enum):
    """How a request may be run."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


@dataclass(slots=True)
class Suspicion:
    """What is held against one fingerprint.

    :ivar crashes: 1 for a suspect; 2 once it crashed an engine on its own
    :ivar expires_at: on our clock
    """

    crashes: int
    expires_at: float


@dataclass
class QuarantineCounts:
    """What the quarantine has seen since this process started."""

    crashes: int = 0
    suspects: int = 0
    convicted: int = 0
    cleared: int = 0
    refused: int = 0


@dataclass
class _InFlight:
    fingerprints: dict[str, Fingerprint] = field(default_factory=dict)


class Quarantine:
    """Suspects after a crash are run apart; a second crash convicts.

    When an engine crashes, every request it ran is a suspect, and most are
    innocent. A suspect is run on an engine by itself: if that crashes too,
    there is no neighbour to blame, and if it succeeds, it is cleared.
    """

    def __init__(self, settings: RelaySettings) -> None:
        """Start without suspects."""
        self.counts = QuarantineCounts()
        self.news: list[PoisonRumour] = []
        self._settings = settings
        self._by_fingerprint: dict[Fingerprint, Suspicion] = {}
        self._in_flight: dict[EngineId, _InFlight] = {}
        self._crashed_boots: list[tuple[EngineId, str]] = []

    def __len__(self) -> int:
        """Count the suspects and the convicted."""
        return len(self._by_fingerprint)

    def verdict(self, fingerprint: Fingerprint) -> Verdict:
        """Tell how the request of ``fingerprint`` may be run."""
        known = self._by_fingerprint.get(fingerprint)
        if known is None:
            return Verdict.CLEAR
        if clock.now() >= known.expires_at:
            del self._by_fingerprint[fingerprint]
            return Verdict.CLEAR
        if known.crashes >= _CONVICTION:
            self.counts.refused += 1
            return Verdict.REFUSED
        return Verdict.SUSPECT

    def started(
        self,
        engine: EngineId,
        request_id: str,
        fingerprint: Fingerprint,
    ) -> None:
        """Note that an engine runs a request."""
        running = self._in_flight.setdefault(engine, _InFlight())
        running.fingerprints[request_id] = fingerprint

    def ended(self, engine: EngineId, request_id: str) -> None:
        """Note that a request no longer runs."""
        running = self._in_flight.get(engine)
        if running is not None:
            running.fingerprints.pop(request_id, None)

    def cleared(self, fingerprint: Fingerprint) -> None:
        """Note that a suspect ran apart and did no harm."""
        if self._by_fingerprint.pop(fingerprint, None) is not None:
            self.counts.cleared += 1

    def crashed(self, engine: EngineId, boot: str) -> None:
        """Note that an engine crashed; suspect what it ran.

        Every request in flight notices the crash; it counts once.

        :param boot: the boot of the engine that ended
        """
        if (engine, boot) in self._crashed_boots:
            return
        self._crashed_boots.append((engine, boot))
        del self._crashed_boots[:-_BOOTS_KEPT]
        self.counts.crashes += 1
        running = self._in_flight.get(engine, _InFlight())
        present = set(running.fingerprints.values())
        for fingerprint in present:
            self._suspect(fingerprint, alone=len(present) == 1)

    def suspect_remotely(self, fingerprint: Fingerprint) -> None:
        """Suspect a request that crashed an engine of another VM."""
        if fingerprint not in self._by_fingerprint:
            self._suspect(fingerprint, alone=False)

    def apply_rumour(self, rumour: PoisonRumour) -> bool:
        """Take another VM's finding; tell whether it was news."""
        known = self._by_fingerprint.get(rumour.fingerprint)
        if known is not None and known.crashes >= rumour.crashes:
            return False
        expires_at = clock.now() + rumour.remaining
        self._by_fingerprint[rumour.fingerprint] = Suspicion(
            rumour.crashes,
            expires_at,
        )
        return True

    def take_news(self) -> list[PoisonRumour]:
        """Give the findings that other VMs have not been told."""
        news = self.news
        self.news = []
        return news

    def _suspect(self, fingerprint: Fingerprint, *, alone: bool) -> None:
        known = self._by_fingerprint.get(fingerprint)
        crashes = 1
        if known is not None and alone:
            # Seen at two crashes, the second time without neighbours.
            crashes = _CONVICTION
            self.counts.convicted += 1
            logger.warning('request {:016x} crashes engines', fingerprint)
        else:
            self.counts.suspects += 1
        seconds = self._settings.quarantine_seconds
        expires_at = clock.now() + seconds
        self._by_fingerprint[fingerprint] = Suspicion(crashes, expires_at)
        self.news.append(PoisonRumour(fingerprint, crashes, seconds))
