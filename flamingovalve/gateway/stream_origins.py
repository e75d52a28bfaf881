"""Which software version began which stream, as far as this VM knows."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import StreamOrigin
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.generated.ids import (
        Incarnation,
        RequestId,
        ServiceId,
        VmId,
    )

    Process = tuple[VmId, Incarnation]

# An origin takes some 300 bytes.
_MAX_ORIGINS: Final = 20_000


@dataclass(slots=True)
class KnownOrigin:
    """The service and software version that began a stream.

    :ivar began_at: time of its first event, on the monotonic clock
    :ivar notified: processes of other VMs that this one has notified
    :ivar source: process that notified this VM; None if it found out itself
    """

    request_id: RequestId
    service: ServiceId
    software: str
    began_at: float
    notified: set[Process] = field(default_factory=set)
    source: Process | None = None

    def to_message(self) -> StreamOrigin:
        """Return the message that notifies another VM."""
        return StreamOrigin(
            self.request_id,
            self.service,
            self.software,
            clock.now() - self.began_at,
        )


class StreamOrigins:
    """The origins that this VM knows, bounded in number and in age."""

    def __init__(self) -> None:
        """Start without origins."""
        self._by_id: OrderedDict[RequestId, KnownOrigin] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of origins."""
        return len(self._by_id)

    def find(self, request_id: RequestId) -> KnownOrigin | None:
        """Return the origin of the stream that a request began, if known."""
        return self._by_id.get(request_id)

    def add(
        self, origin: StreamOrigin, source: Process | None = None
    ) -> KnownOrigin:
        """Record an origin; a known one stays as it is.

        :param source: process that notified this VM, if one did
        """
        known = self._by_id.get(origin.request_id)
        if known is None:
            known = KnownOrigin(
                origin.request_id,
                origin.service,
                origin.software,
                clock.now() - origin.age,
                source=source,
            )
            self._by_id[origin.request_id] = known
            if len(self._by_id) > _MAX_ORIGINS:
                self._by_id.popitem(last=False)
        return known

    def all(self) -> list[KnownOrigin]:
        """Return all origins, those that were recorded first in front."""
        return list(self._by_id.values())

    def of_service(self, service: ServiceId) -> list[KnownOrigin]:
        """Return the origins of a service."""
        return [one for one in self._by_id.values() if one.service == service]

    def forget(self, origins: Iterable[KnownOrigin]) -> None:
        """Remove origins."""
        for origin in origins:
            self._by_id.pop(origin.request_id, None)
