"""Reports of ends, as VMs send them to each other."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.quarantine.ends import End, Instance
from flamingovalve.generated.messages import EndRumour
from flamingovalve.util import clock, hashing

if TYPE_CHECKING:
    from flamingovalve.gateway.quarantine.suspects import Suspects
    from flamingovalve.generated.ids import Fingerprint

_STANDING_RUMOURS: Final = 8
_MAX_CAUSES_OF_RUMOUR: Final = 64
_NO_CONTRAST: Final = -1.0


class EndReports:
    """Composes the rumours of the ends that this VM knows."""

    def __init__(self, suspects: Suspects) -> None:
        """Report ends of ``suspects``."""
        self._suspects = suspects

    def standing_rumours(self) -> list[EndRumour]:
        """Return the ends to notify VMs of that missed them."""
        repeated = self._suspects.repeated()
        latest = sorted(repeated, key=lambda end: end.at, reverse=True)
        return [
            self.rumour_of(end, repeated[end])
            for end in islice(latest, _STANDING_RUMOURS)
        ]

    def all_rumours(self) -> list[EndRumour]:
        """Return all ends, for a VM that knows none."""
        return [self.rumour_of(end) for end in self._suspects.ends]

    def repeated_rumours(self) -> list[EndRumour]:
        """Return all ends of causes with several."""
        repeated = self._suspects.repeated()
        return [self.rumour_of(end, lost) for end, lost in repeated.items()]

    def digest(self) -> int:
        """Return a digest of the ends of causes with several; never 0."""
        repeated = self._suspects.repeated()
        parts = sorted(
            f'{end.instance.upstream} {end.instance.born} {sorted(lost)}'
            for end, lost in repeated.items()
        )
        return hashing.fingerprint(*parts) | 1

    def complete(self, rumour: EndRumour, end: End) -> None:
        """Add what is known of an end to a rumour that is passed on."""
        complete = self.rumour_of(end)
        rumour.lost = complete.lost
        rumour.exonerated = complete.exonerated
        rumour.proven = complete.proven
        rumour.contrast = complete.contrast
        rumour.informed = complete.informed
        rumour.known = complete.known

    def rumour_of(
        self, end: End, causes: set[Fingerprint] | None = None
    ) -> EndRumour:
        """Return the report of an end, with ``causes`` or the most relevant."""
        lost = end.lost if causes is None else causes
        if len(lost) > _MAX_CAUSES_OF_RUMOUR:
            ranked = sorted(lost, key=self._suspects.count, reverse=True)
            lost = set(ranked[:_MAX_CAUSES_OF_RUMOUR])
        now = clock.now()
        return EndRumour(
            end.instance.upstream,
            end.instance.born,
            max(now - end.at, 0),
            max(end.expires_at - now, 0),
            sorted(lost),
            sorted(lost & end.exonerated),
            sorted(lost & end.proven),
            max(now - end.contrast_at, _NO_CONTRAST),
            end.is_informed,
            len(self._suspects),
        )


def end_of(rumour: EndRumour) -> End:
    """Return the end that a rumour reports."""
    now = clock.now()
    is_contrasted = rumour.contrast >= 0
    return End(
        Instance(rumour.upstream, rumour.born),
        now - rumour.age,
        now + rumour.remaining,
        set(rumour.lost),
        set(rumour.exonerated),
        set(rumour.proven),
        now - rumour.contrast if is_contrasted else float('inf'),
        rumour.informed,
    )
