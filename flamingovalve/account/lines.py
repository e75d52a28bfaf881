"""Parser of structured log lines that skips and counts other lines."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from datetime import datetime
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line.

    :ivar vm: name of the log file, which is named after its VM
    :ivar logged_at: Unix time of the line, by the clock of its VM
    :ivar message: the event that was logged
    :ivar fields: all fields of the line
    """

    vm: str
    logged_at: float
    message: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text; empty if it is missing."""
        return str(self.fields.get(name, ''))

    def seconds(self, name: str) -> float | None:
        """Return a field in seconds; None if it is not a number."""
        content = self.fields.get(name)
        if isinstance(content, int | float) and not isinstance(content, bool):
            return float(content)
        return None


@dataclass
class ReadingCounts:
    """Counters of the lines that were read.

    :ivar lines: lines that are not blank
    :ivar foreign: lines that are not JSON objects, such as truncated lines
    :ivar undated: objects without a valid time or without a message
    :ivar backward: lines dated earlier than the latest line before them by
        more than the tolerance, for example after the VM's clock was set
        back
    """

    lines: int = 0
    foreign: int = 0
    undated: int = 0
    backward: int = 0


@dataclass
class LineReader:
    """Decodes the lines of any number of logs, one log at a time."""

    counts: ReadingCounts = field(default_factory=ReadingCounts)

    def read(self, vm: str, lines: Iterable[str]) -> Iterator[LogLine]:
        """Yield the lines of one VM's log that can be decoded."""
        latest = float('-inf')
        for line in lines:
            decoded = self._decode(vm, line)
            if decoded is None:
                continue
            if decoded.logged_at < latest - _BACKWARD_TOLERANCE_SECONDS:
                self.counts.backward += 1
            latest = max(latest, decoded.logged_at)
            yield decoded

    def _decode(self, vm: str, line: str) -> LogLine | None:
        if not line.strip():
            return None
        self.counts.lines += 1
        try:
            fields = json.loads(line)
        except ValueError:
            fields = None
        if not isinstance(fields, dict):
            self.counts.foreign += 1
            return None
        return self._decode_fields(vm, fields)

    def _decode_fields(self, vm: str, fields: dict[str, Any]) -> LogLine | None:
        message = fields.get('message')
        try:
            logged_at = datetime.fromisoformat(fields['time']).timestamp()
        except (KeyError, TypeError, ValueError):
            logged_at = None
        if logged_at is None or not isinstance(message, str):
            self.counts.undated += 1
            return None
        return LogLine(vm, logged_at, message, fields)


_BACKWARD_TOLERANCE_SECONDS = 1.0
