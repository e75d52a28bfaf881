"""For how long the streams of a service can be resumed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.model import EMPTY

if TYPE_CHECKING:
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.model import Configuration
    from flamingovalve.generated.ids import ServiceId

# A caller resumes a stream within the time that it would have waited for it.
_MEMORY_PER_TIMEOUT: Final = 2.0
_MIN_MEMORY_SECONDS: Final = 5.0


class StreamMemory:
    """Derives the time from the time-outs of the published routes."""

    def __init__(self, catalogue: Catalogue) -> None:
        """Use the configuration of ``catalogue``."""
        self._catalogue = catalogue
        self._configuration = EMPTY
        self._timeouts: dict[ServiceId, float] = {}

    def seconds(self, service: ServiceId) -> float:
        """Return the time after the first event of a stream, in seconds."""
        configuration = self._catalogue.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._timeouts = _longest_timeouts(configuration)
        longest = self._timeouts.get(service, 0) * _MEMORY_PER_TIMEOUT
        return max(longest, _MIN_MEMORY_SECONDS)


def _longest_timeouts(configuration: Configuration) -> dict[ServiceId, float]:
    """Return the longest time-out in seconds of the streams of each service."""
    timeouts: dict[ServiceId, float] = {}
    for routes in configuration.routes_by_host.values():
        for route in routes:
            for share in route.services if route.streams else ():
                known = timeouts.get(share.service, 0)
                timeouts[share.service] = max(known, route.timeout)
    return timeouts
