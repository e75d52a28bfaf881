"""A nose2 plugin that closes a run with one line of counts."""

from __future__ import annotations

from collections import Counter
from typing import Any

from nose2 import events


class CountingPlugin(events.Plugin):
    """Counts outcomes as the tests end."""

    alwaysOn = True

    def __init__(self) -> None:
        """Start at nothing."""
        self.counts: Counter[str] = Counter()

    def testOutcome(self, event: Any) -> None:
        """Count one test."""
        well = event.outcome == 'passed' or event.expected
        self.counts['passed' if well else event.outcome] += 1

    def afterSummaryReport(self, event: Any) -> None:
        """Print the counts."""
        passed = self.counts['passed']
        skipped = self.counts['skipped']
        failed = sum(self.counts.values()) - passed - skipped
        event.stream.writeln(
            f'{passed} passed, {failed} failed, {skipped} skipped',
        )
