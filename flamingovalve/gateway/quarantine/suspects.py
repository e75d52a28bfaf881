"""Decides which causes are convicted of the ends of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.quarantine.causes import (
    CauseKind,
    is_call,
    is_same_call,
    kind_of,
)
from flamingovalve.gateway.quarantine.ends import EndTable
from flamingovalve.gateway.quarantine.refusals import Certainty
from flamingovalve.gateway.quarantine.successes import Successes
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from flamingovalve.gateway.quarantine.ends import End
    from flamingovalve.generated.ids import Fingerprint

# Ends without a success in between. When a third of the upstreams end, sound
# requests meet two in a row, but not three.
_ENDS_OF_CALL: Final = 3
_ENDS_OF_SHARED: Final = 4
# Another cause that was lost with just the same upstreams delays a conviction up
# to these numbers of ends.
_ENDS_OF_TIED_CALL: Final = 4
_ENDS_OF_TIED_SHARED: Final = 6
# Ends that follow each other more quickly are one for the count. What ends many
# upstreams at once is hardly a request; a proven cause needs ends under
# requests that were sent after the previous end.
_SECONDS_APART: Final = 0.05
_SECONDS_APART_IF_PROVEN: Final = 1.0
# Ends of a suspect that explain those of a proven cause.
_ENDS_TO_EXPLAIN: Final = 2


class Suspects:
    """The ends that speak against causes, and the successes that speak for them.

    A cause is a suspect from the first end under it until the next success.
    A request is convicted for a cause that has enough ends, unless they have
    another explanation that the request does not hold.
    """

    def __init__(self, seconds: float) -> None:
        """Remember a success for ``seconds``."""
        self.ends = EndTable()
        self._successes = Successes(seconds)
        self._answered_calls = Successes(seconds)

    def __len__(self) -> int:
        """Return the number of ends."""
        return len(self.ends)

    # -- Evidence

    def merge(self, report: End) -> tuple[End, bool]:
        """Add a report of an end; return the end and whether anything is new.

        The end then names what is proven by the successes known here.
        """
        report.is_informed |= any(map(self._has_success, report.lost))
        exonerated_before = self.ends.exonerated_of(report.instance)
        known, is_new = self.ends.merge(report)
        self._successes.record(known.exonerated - exonerated_before)
        proven = {cause for cause in known.lost if self._has_success(cause)}
        is_proven_here = not proven <= known.proven
        known.proven |= proven
        while self.ends.is_overfull():
            self.ends.remove_oldest(self.repeated())
        return known, is_new or is_proven_here

    def record_success(self, causes: Iterable[Fingerprint]) -> list[End]:
        """Exonerate causes; return the ends that spoke against them."""
        found = list(causes)
        self._successes.record(cause for cause in found if not is_call(cause))
        self._answered_calls.record(filter(is_call, found))
        changed: dict[int, End] = {}
        for cause in found:
            for end in self.ends.against(cause):
                end.exonerated.add(cause)
                end.contrast_at = min(end.contrast_at, clock.now())
                changed[id(end)] = end
        return list(changed.values())

    # -- Verdicts

    def count(self, cause: Fingerprint) -> int:
        """Return the ends that speak against a cause."""
        return len(self.ends.against(cause))

    def is_answered(self, call: Fingerprint) -> bool:
        """Return whether a call was answered at this VM lately."""
        return self._answered_calls.include(call)

    def suspicion(self, causes: Iterable[Fingerprint]) -> int:
        """Return the most ends against a cause that is not proven."""
        return max(
            (self.count(one) for one in causes if not self.is_proven(one)),
            default=0,
        )

    def convicted(self, causes: Iterable[Fingerprint]) -> Fingerprint | None:
        """Return the cause for which a request is convicted, if there is one.

        :param causes: all causes of the request
        """
        return next(self.all_convicted(frozenset(causes)), None)

    def all_convicted(
        self, held: frozenset[Fingerprint], untold: int = 0
    ) -> Iterator[Fingerprint]:
        """Return each cause for which a request is convicted.

        :param held: all causes of the request
        :param untold: ends that nobody knows the causes of
        """
        return (
            cause
            for cause in held
            if self._convicts(cause, held) or self._may_be_deadly(cause, untold)
        )

    def may_be_deadly(self, ends: int, untold: int) -> bool:
        """Return whether a call that was lost may have ended enough upstreams.

        Deadly calls come together: once one is known, no other is tried again.

        :param ends: upstreams that ended under it
        :param untold: ends that nobody knows the causes of
        """
        if ends and untold and ends + untold >= _ENDS_OF_CALL:
            return True
        return ends > 0 and bool(self._deadly_ends())

    def is_proven(self, cause: Fingerprint) -> bool:
        """Return whether a success of a cause is known at any VM."""
        return self._has_success(cause) or any(
            cause in end.proven for end in self.ends.against(cause)
        )

    def certainty(self, cause: Fingerprint) -> Certainty:
        """Return how certain it is that a convicted cause is no sound one.

        It may be one if it had a success before, or if others had none between
        the ends: then upstreams may end under all requests.
        """
        ends = self.ends.against(cause)
        if is_call(cause):
            is_known = self._are_enough(ends)
            return Certainty.CERTAIN if is_known else Certainty.UNTOLD
        is_tried = _trials(ends, _SECONDS_APART) >= _ENDS_OF_SHARED
        is_certain = is_tried and not self.is_proven(cause)
        return Certainty.CERTAIN if is_certain else Certainty.UNCERTAIN

    def repeated(self) -> dict[End, set[Fingerprint]]:
        """Return the ends with causes that have several, and these causes.

        Without proven causes.
        """
        found: dict[End, set[Fingerprint]] = {}
        for cause in self.ends.repeated():
            ends = self.ends.against(cause)
            if len(ends) > 1 and not self.is_proven(cause):
                for end in ends:
                    found.setdefault(end, set()).add(cause)
        return found

    def _may_be_deadly(self, cause: Fingerprint, untold: int) -> bool:
        """Return whether a call has ends that no known deadly call explains.

        Calls that were answered before need as many ends as any other.
        """
        if self.is_answered(cause) or kind_of(cause) is not CauseKind.CALL:
            return False
        ends = self.ends.against(cause)
        if not ends or not self.may_be_deadly(len(ends), untold):
            return False
        explained = self._deadly_ends()
        return any(id(end) not in explained for end in ends)

    def _deadly_ends(self) -> set[int]:
        """Return the ends under calls that have enough to be refused."""
        return {
            id(end)
            for cause in self.ends.repeated()
            if is_call(cause)
            for end in self._ends_if_deadly(cause)
        }

    def _ends_if_deadly(self, call: Fingerprint) -> list[End]:
        ends = self.ends.against(call)
        return ends if self._are_enough(ends) else []

    def _are_enough(self, ends: list[End]) -> bool:
        """Return whether so many ends convict a call."""
        return len(ends) >= _ENDS_OF_CALL

    def _has_success(self, cause: Fingerprint) -> bool:
        return not is_call(cause) and self._successes.include(cause)

    def _convicts(
        self, cause: Fingerprint, held: frozenset[Fingerprint]
    ) -> bool:
        ends = self.ends.against(cause)
        if is_call(cause):
            return self._are_enough(ends) and not any(
                _explains(other, ends, _ENDS_OF_TIED_CALL)
                for other in self._others(ends, held, cause)
            )
        if len(ends) < _ENDS_OF_SHARED:
            return False
        if self.is_proven(cause):
            return self._convicts_proven(ends, held)
        informed = [end for end in ends if end.is_informed]
        count = max(_events(informed), _trials(ends))
        return count >= _ENDS_OF_SHARED and not any(
            _explains(other, ends, _ENDS_OF_TIED_SHARED)
            for other in self._others(ends, held)
        )

    def _convicts_proven(
        self, ends: list[End], held: frozenset[Fingerprint]
    ) -> bool:
        explained = {
            id(end)
            for other in self._others(ends, held)
            if len(other) >= _ENDS_TO_EXPLAIN
            for end in other
        }
        rest = [end for end in ends if id(end) not in explained]
        return _trials(rest) >= _ENDS_OF_SHARED

    def _others(
        self,
        ends: list[End],
        held: frozenset[Fingerprint],
        call: Fingerprint | None = None,
    ) -> Iterator[list[End]]:
        """Return the ends against each other suspect lost with ``ends``.

        Proven causes explain nothing, nor does ``call`` of another caller.
        """
        seen: set[Fingerprint] = set()
        for end in ends:
            for other in end.lost - held - seen:
                is_own = call is not None and is_same_call(call, other)
                if not (is_own or self.is_proven(other)):
                    yield self.ends.against(other)
            seen |= end.lost


def _events(ends: list[End]) -> int:
    """Return the number of ends that did not happen all at once."""
    events = 0
    latest = float('-inf')
    for at in sorted(end.at for end in ends):
        if at >= latest + _SECONDS_APART:
            events += 1
            latest = at
    return events


def _trials(ends: list[End], seconds: float = _SECONDS_APART_IF_PROVEN) -> int:
    """Return the number of ends with a success of others between each two.

    :param seconds: least time between two
    """
    trials = 0
    next_at = float('-inf')
    for end in sorted(ends, key=lambda one: one.at):
        if end.at >= next_at:
            trials += 1
            next_at = max(end.at + seconds, end.contrast_at)
    return trials


def _explains(other: list[End], ends: list[End], tied: int) -> bool:
    """Return whether another suspect may have ended the same upstreams.

    :param tied: number of ends from which on a suspect with just the same ones
        explains nothing
    """
    ids = {id(end) for end in other}
    if not all(id(end) in ids for end in ends):
        return False
    return len(other) > len(ends) or len(ends) < tied
