"""Which part of the store's history a VM knows without gaps."""

from __future__ import annotations

from typing import NewType

CompleteRevision = NewType('CompleteRevision', int)
"""A revision up to which all changes are known."""

SeenRevision = NewType('SeenRevision', int)
"""The revision of a known document; older changes may be unknown."""

NOTHING_KNOWN = CompleteRevision(0)


class Coverage:
    """The revisions of the store between which a VM has missed no change.

    The revision of a document that was received proves nothing about older
    ones: a list of the store arrives in pages, and another VM may have gaps
    of its own. Only what the store or a VM says of the whole counts here.

    :ivar known_up_to: each change up to this revision is known, or a newer one
        of the same document
    :ivar removals_since: each deletion after this revision is known by its
        tombstone
    """

    def __init__(self) -> None:
        """Know nothing."""
        self.known_up_to = NOTHING_KNOWN
        self.removals_since = NOTHING_KNOWN

    def restart(self, revision: CompleteRevision) -> None:
        """Record a complete list, which lacks what was deleted before it."""
        if revision > self.known_up_to:
            self.known_up_to = revision
            self.removals_since = revision

    def extend(self, after: CompleteRevision, up_to: CompleteRevision) -> None:
        """Record that all changes between two revisions were received.

        Has no effect if it leaves a gap.
        """
        if after <= self.known_up_to:
            self.known_up_to = max(self.known_up_to, up_to)

    def announced(self, changed: SeenRevision) -> CompleteRevision:
        """Return the revision that other VMs have to know.

        Entries of upstreams are rewritten all the time without a change, so
        this falls behind ``known_up_to``. What a complete list lacks may be
        a change for others.

        :param changed: revision of the newest change
        """
        newest = max(CompleteRevision(changed), self.removals_since)
        return min(newest, self.known_up_to)
