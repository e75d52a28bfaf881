"""Reads structured log lines and passes over what is none."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from datetime import datetime
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decision that a VM wrote down.

    :ivar vm: the log that it stands in, named after its VM
    :ivar moment: Unix time at which it was written, by that VM's clock
    :ivar message: what was decided
    """

    vm: str
    moment: float
    message: str
    facts: dict[str, Any]

    def text(self, name: str) -> str:
        """Give a fact as text; empty where it is missing."""
        return str(self.facts.get(name, ''))

    def seconds(self, name: str) -> float | None:
        """Give a fact that is a time, where it is one."""
        fact = self.facts.get(name)
        if isinstance(fact, int | float) and not isinstance(fact, bool):
            return float(fact)
        return None


@dataclass
class ReadingCounts:
    """What was read.

    :ivar foreign: lines that are no JSON object, such as cut ones
    :ivar undated: objects without a time or a message
    :ivar backward: lines that are dated before the one before them by more
        than a moment, as after a step of their VM's clock
    """

    lines: int = 0
    foreign: int = 0
    undated: int = 0
    backward: int = 0


@dataclass
class LineReader:
    """Decodes the lines of any number of logs, one at a time."""

    counts: ReadingCounts = field(default_factory=ReadingCounts)

    def read(self, vm: str, lines: Iterable[str]) -> Iterator[LogLine]:
        """Give the lines of one VM's log that can be read."""
        newest = float('-inf')
        for line in lines:
            decoded = self._decoded(vm, line)
            if decoded is None:
                continue
            if decoded.moment < newest - _MOMENT_SECONDS:
                self.counts.backward += 1
            newest = max(newest, decoded.moment)
            yield decoded

    def _decoded(self, vm: str, line: str) -> LogLine | None:
        if not line.strip():
            return None
        self.counts.lines += 1
        try:
            facts = json.loads(line)
        except ValueError:
            facts = None
        if not isinstance(facts, dict):
            self.counts.foreign += 1
            return None
        return self._dated(vm, facts)

    def _dated(self, vm: str, facts: dict[str, Any]) -> LogLine | None:
        message = facts.get('message')
        try:
            moment = datetime.fromisoformat(facts['time']).timestamp()
        except (KeyError, TypeError, ValueError):
            moment = None
        if moment is None or not isinstance(message, str):
            self.counts.undated += 1
            return None
        return LogLine(vm, moment, message, facts)


_MOMENT_SECONDS = 1.0
