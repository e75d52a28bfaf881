"""Adds up what became of requests, and what time each stage took."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.account.lines import LogLine

# Of each kind of key as many are told apart, so that memory is bounded
# whatever the lines hold; the rest is counted together.
_MOST_KEYS: Final = 500
_REST: Final = 'others'
# A line that is dated days from the first would make millions of seconds.
_MOST_SECONDS: Final = 86_400
_LONGEST_MS: Final = 3_600_000
_FIGURES: Final = 2
_MS_PER_SECOND: Final = 1000

# The facts of a line that time a stage, by its message.
_STAGES: Final = {
    'request': (('whole request', 'seconds'),),
    'place': (
        ('wait for a place', 'waited'),
        ('first event, expected', 'expected'),
    ),
    'refused': (('wait before a refusal', 'waited'),),
    'send': (('first event, measured', 'first_event'),),
}


class BoundedCounter:
    """Counts by key; keys beyond a number of them count as one."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.by_key: Counter[str] = Counter()

    def add(self, key: str) -> None:
        """Count one."""
        if key not in self.by_key and len(self.by_key) >= _MOST_KEYS:
            key = _REST
        self.by_key[key] += 1


class Stage:
    """The times that one stage took."""

    def __init__(self) -> None:
        """Start without any."""
        self._times = HdrHistogram(1, _LONGEST_MS, _FIGURES)

    def add(self, seconds: float) -> None:
        """Take one time into account."""
        milliseconds = int(seconds * _MS_PER_SECOND)
        self._times.record_value(min(max(milliseconds, 1), _LONGEST_MS))

    @property
    def count(self) -> int:
        """Count the times."""
        return int(self._times.get_total_count())

    def quantile(self, percent: float) -> float:
        """Give the seconds that ``percent`` of the times do not exceed."""
        milliseconds = self._times.get_value_at_percentile(percent)
        return float(milliseconds) / _MS_PER_SECOND


class Summary:
    """What became of all requests.

    :ivar by_second: outcomes by the second after the first line
    """

    def __init__(self) -> None:
        """Start without a line."""
        self.outcomes = BoundedCounter()
        self.by_vm = BoundedCounter()
        self.by_path = BoundedCounter()
        self.reasons = BoundedCounter()
        self.sends = BoundedCounter()
        self.by_second: dict[int, Counter[str]] = {}
        self.stages_by_name: dict[str, Stage] = {}
        self.misdated = 0
        self._began: float | None = None

    def add_all(self, lines: Iterable[LogLine]) -> None:
        """Take lines into account."""
        for line in lines:
            self.add(line)

    def add(self, line: LogLine) -> None:
        """Take one line into account."""
        if self._began is None:
            self._began = line.moment
        if line.message == 'request':
            self._add_request(line)
        elif line.message in {'refused', 'no place from the owner'}:
            self.reasons.add(line.text('reason').partition(';')[0])
        elif line.message == 'send':
            self.sends.add(f'{line.text("route")}: {line.text("outcome")}')
        for name, fact in _STAGES.get(line.message, ()):
            self._add_time(name, line.seconds(fact))

    def _add_request(self, line: LogLine) -> None:
        outcome = line.text('outcome')
        self.outcomes.add(outcome)
        if outcome != 'answered':
            self.by_vm.add(f'{line.vm}: {outcome}')
            first = line.text('path').split('/')[1:2]
            self.by_path.add(f'/{"".join(first)}: {outcome}')
        second = int(line.moment - (self._began or 0))
        if abs(second) > _MOST_SECONDS:
            self.misdated += 1
            return
        self.by_second.setdefault(second, Counter())[outcome] += 1

    def _add_time(self, name: str, seconds: float | None) -> None:
        if seconds is None or seconds < 0:
            return
        self.stages_by_name.setdefault(name, Stage()).add(seconds)
