"""Refuses requests with causes that are convicted of ends of upstreams."""

from __future__ import annotations

from operator import itemgetter
from typing import TYPE_CHECKING

from flamingovalve.gateway.quarantine.causes import causes_of, kind_of
from flamingovalve.gateway.quarantine.refusals import Refusals
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.quarantine.causes import Cause
    from flamingovalve.gateway.quarantine.counts import CrashCounts
    from flamingovalve.gateway.quarantine.suspects import Suspects
    from flamingovalve.gateway.quarantine.untold_ends import UntoldEnds
    from flamingovalve.generated.ids import Fingerprint

logger = get_logger(__name__)


class Verdicts:
    """Convicts and acquits causes, and refuses requests for them.

    :ivar refusals: how long convicted causes are refused
    """

    def __init__(
        self,
        seconds: float,
        suspects: Suspects,
        counts: CrashCounts,
        is_prober: Callable[[Fingerprint], bool],
        untold: UntoldEnds,
    ) -> None:
        """Judge ``suspects``; refuse for ``seconds`` at first.

        :param is_prober: returns whether this VM sends the probes of a cause
        """
        self._suspects = suspects
        self._counts = counts
        self._untold = untold
        self.refusals = Refusals(seconds, is_prober)

    def record_probe(self, request: InboundRequest, cause: Cause) -> None:
        """Record that a request is sent to try all its convicted causes."""
        self._counts.probes += 1
        for convicted in self._convicted_of(request):
            self.refusals.record_probe(convicted.fingerprint)
        note(
            logger,
            'probe of a convicted cause',
            id=request.id,
            **_cause_fields(cause),
        )

    def refusal(self, request: InboundRequest) -> tuple[Cause | None, float]:
        """Return the cause that a request is refused for the longest.

        :returns: the convicted cause, None if there is none, and the seconds
            for which it is refused; 0 if the request may be sent as a probe
        """
        seconds_by_cause = {
            cause: self.refusals.seconds_left(cause.fingerprint)
            for cause in self._convicted_of(request)
        }
        if not seconds_by_cause:
            return None, 0
        cause, seconds = max(seconds_by_cause.items(), key=itemgetter(1))
        if seconds:
            self._counts.refused += 1
            note(
                logger,
                'refused, it crashes upstreams',
                id=request.id,
                **request.log_fields(),
                **_cause_fields(cause),
                crashes=self._suspects.count(cause.fingerprint),
                seconds_left=round(seconds, 3),
            )
        return cause, seconds

    def _convicted_of(self, request: InboundRequest) -> list[Cause]:
        """Return the causes that a request is convicted for."""
        causes = causes_of(request)
        held = frozenset(cause.fingerprint for cause in causes)
        untold = self._untold.count(request.service)
        convicted = frozenset(self._suspects.all_convicted(held, untold))
        for fingerprint in convicted:
            self._convict(fingerprint)
        return [cause for cause in causes if cause.fingerprint in convicted]

    def _convict(self, cause: Fingerprint) -> None:
        certainty = self._suspects.certainty(cause)
        ends = self._suspects.ends.against(cause)
        ended_at = max(end.at for end in ends)
        if not self.refusals.convict(cause, ended_at, certainty):
            return
        self._keep_ends(cause)
        self._counts.convicted += 1
        note(
            logger,
            'a cause is convicted',
            kind=kind_of(cause).name.lower(),
            fingerprint=_hexadecimal(cause),
            certainty=certainty.name.lower(),
            upstreams=[end.instance.upstream for end in ends],
        )

    def acquit(self, causes: Iterable[Fingerprint]) -> None:
        """Cease to refuse causes that had a success."""
        for cause in causes:
            if self.refusals.acquit(cause):
                self._counts.acquitted += 1
                note(
                    logger,
                    'a cause is acquitted',
                    kind=kind_of(cause).name.lower(),
                    fingerprint=_hexadecimal(cause),
                )

    def extend_refusals(self, lost: Iterable[Fingerprint]) -> None:
        """Extend the refusal of causes that an upstream ended under."""
        for cause in lost:
            self.refusals.extend(cause)
            self._keep_ends(cause)

    def _keep_ends(self, cause: Fingerprint) -> None:
        """Keep the ends against a cause for as long as it is refused."""
        until = self.refusals.ends_needed_until(cause)
        for end in self._suspects.ends.against(cause) if until else ():
            end.expires_at = max(end.expires_at, until)


def _cause_fields(cause: Cause) -> dict[str, str]:
    return {
        'kind': cause.kind.name.lower(),
        'cause': cause.name,
        'fingerprint': _hexadecimal(cause.fingerprint),
    }


def _hexadecimal(cause: Fingerprint) -> str:
    return f'{cause:016x}'
