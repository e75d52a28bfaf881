"""The queue of rumours to piggyback, with their transmission counts."""

from __future__ import annotations

import math
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from flamingovalve.generated import messages

if TYPE_CHECKING:
    from collections.abc import Hashable

_TRANSMISSIONS_FACTOR = 3


@singledispatch
def subject(rumour: Any) -> Hashable:
    """Return the subject of a rumour; a newer rumour of it replaces it."""
    raise TypeError(f'{type(rumour).__name__} is not a rumour')


@subject.register(messages.MemberRumour)
def _member(rumour: messages.MemberRumour) -> Hashable:
    return ('member', rumour.vm)


@subject.register(messages.VersionRumour)
def _version(rumour: messages.VersionRumour) -> Hashable:
    return 'version'


@subject.register(messages.PoisonRumour)
def _poison(rumour: messages.PoisonRumour) -> Hashable:
    return ('poison', rumour.fingerprint)


@subject.register(messages.StoreRumour)
def _store(rumour: messages.StoreRumour) -> Hashable:
    return ('store', rumour.vm)


@subject.register(messages.SpreadRumour)
def _spread(rumour: messages.SpreadRumour) -> Hashable:
    return ('spread', rumour.adapter)


@subject.register(messages.CatalogueRumour)
def _catalogue(rumour: messages.CatalogueRumour) -> Hashable:
    return 'catalogue'


@subject.register(messages.WatchRumour)
def _watch(rumour: messages.WatchRumour) -> Hashable:
    return ('watch', rumour.vm)


@subject.register(messages.OwnerRumour)
def _owner(rumour: messages.OwnerRumour) -> Hashable:
    return ('owner', rumour.group)


@subject.register(messages.LimitRumour)
def _limit(rumour: messages.LimitRumour) -> Hashable:
    return ('limit', rumour.upstream)


@subject.register(messages.PathRumour)
def _path(rumour: messages.PathRumour) -> Hashable:
    return ('path', rumour.vm)


@subject.register(messages.EndRumour)
def _end(rumour: messages.EndRumour) -> Hashable:
    return ('end', rumour.upstream, rumour.born)


@subject.register(messages.TrialRumour)
def _trial(rumour: messages.TrialRumour) -> Hashable:
    return ('trial', rumour.cause)


class RumourQueue:
    """Rumours to piggyback, those with the fewest transmissions first.

    Each VM that has a rumour sends it O(log n) times, which reaches all of n
    VMs with high probability. A datagram carries a bounded number of rumours,
    so the cost per VM does not grow with the fleet.
    """

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._by_subject: dict[Hashable, tuple[int, int, Any]] = {}
        self._added = 0

    def __len__(self) -> int:
        """Return the number of rumours still to be sent."""
        return len(self._by_subject)

    def add(self, rumour: Any) -> None:
        """Queue ``rumour`` in place of an older one about the same subject."""
        self._added += 1
        self._by_subject[subject(rumour)] = (0, -self._added, rumour)

    def take(self, count: int, fleet_size: int) -> list[Any]:
        """Return up to ``count`` rumours for one datagram.

        :param fleet_size: number of VMs, which bounds the transmissions of
            each rumour
        """
        if not self._by_subject:
            return []
        max_transmissions = _TRANSMISSIONS_FACTOR * math.ceil(
            math.log2(fleet_size + 2)
        )
        ordered = sorted(
            self._by_subject.items(),
            key=lambda entry: entry[1][:2],
        )
        chosen = []
        for key, (transmissions, order, rumour) in ordered[:count]:
            chosen.append(rumour)
            if transmissions + 1 >= max_transmissions:
                del self._by_subject[key]
            else:
                self._by_subject[key] = (transmissions + 1, order, rumour)
        return chosen
