"""Statistics of request outcomes and of the duration of each stage."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.account.lines import LogLine

# Each counter holds at most this many distinct keys, which bounds memory for
# any input; further keys are counted together.
_MAX_KEYS: Final = 500
_OVERFLOW_KEY: Final = 'others'
# Requests dated further than this from the first line are left out of the
# counts by second: a wrong date would extend them to millions of seconds.
_MAX_OFFSET_SECONDS: Final = 86_400
_MAX_DURATION_MS: Final = 3_600_000
_SIGNIFICANT_DIGITS: Final = 2
_MS_PER_SECOND: Final = 1000

# Names and fields of the stages whose duration a line holds, by its message.
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
    """Counts by key; keys beyond a maximum number count as one key."""

    def __init__(self) -> None:
        """Start without counts."""
        self.by_key: Counter[str] = Counter()

    def add(self, key: str) -> None:
        """Count one occurrence of ``key``."""
        if key not in self.by_key and len(self.by_key) >= _MAX_KEYS:
            key = _OVERFLOW_KEY
        self.by_key[key] += 1


class Stage:
    """Histogram of the durations of one stage."""

    def __init__(self) -> None:
        """Start without durations."""
        self._histogram = HdrHistogram(1, _MAX_DURATION_MS, _SIGNIFICANT_DIGITS)

    def add(self, seconds: float) -> None:
        """Record one duration."""
        milliseconds = int(seconds * _MS_PER_SECOND)
        self._histogram.record_value(
            min(max(milliseconds, 1), _MAX_DURATION_MS)
        )

    @property
    def count(self) -> int:
        """Number of durations recorded."""
        return int(self._histogram.get_total_count())

    def quantile(self, percent: float) -> float:
        """Return the duration at the percentile ``percent``, in seconds."""
        milliseconds = self._histogram.get_value_at_percentile(percent)
        return float(milliseconds) / _MS_PER_SECOND


class Summary:
    """Outcomes and stage durations of all requests.

    :ivar by_second: outcomes by the number of seconds since the first line
    :ivar misdated: requests dated too far from the first line for
        ``by_second``
    """

    def __init__(self) -> None:
        """Start without lines."""
        self.outcomes = BoundedCounter()
        self.by_vm = BoundedCounter()
        self.by_path = BoundedCounter()
        self.reasons = BoundedCounter()
        self.sends = BoundedCounter()
        self.by_second: dict[int, Counter[str]] = {}
        self.stages_by_name: dict[str, Stage] = {}
        self.misdated = 0
        self._started_at: float | None = None

    def add_all(self, lines: Iterable[LogLine]) -> None:
        """Add log lines to the statistics."""
        for line in lines:
            self.add(line)

    def add(self, line: LogLine) -> None:
        """Add one log line to the statistics."""
        if self._started_at is None:
            self._started_at = line.logged_at
        if line.message == 'request':
            self._add_request(line)
        elif line.message in {'refused', 'no place from the owner'}:
            self.reasons.add(line.text('reason').partition(';')[0])
        elif line.message == 'send':
            self.sends.add(f'{line.text("route")}: {line.text("outcome")}')
        for name, field in _STAGES.get(line.message, ()):
            self._add_duration(name, line.seconds(field))

    def _add_request(self, line: LogLine) -> None:
        outcome = line.text('outcome')
        self.outcomes.add(outcome)
        if outcome != 'answered':
            self.by_vm.add(f'{line.vm}: {outcome}')
            first_segment = line.text('path').split('/')[1:2]
            self.by_path.add(f'/{"".join(first_segment)}: {outcome}')
        second = int(line.logged_at - (self._started_at or 0))
        if abs(second) > _MAX_OFFSET_SECONDS:
            self.misdated += 1
            return
        self.by_second.setdefault(second, Counter())[outcome] += 1

    def _add_duration(self, name: str, seconds: float | None) -> None:
        if seconds is None or seconds < 0:
            return
        self.stages_by_name.setdefault(name, Stage()).add(seconds)
