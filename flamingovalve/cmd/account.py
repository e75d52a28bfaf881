"""The command that says where requests were lost, from log lines."""

from __future__ import annotations

import contextlib
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import cappa

from flamingovalve.account.lines import LineReader
from flamingovalve.account.report import plot, request_text, summary_text
from flamingovalve.account.summary import Summary

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingovalve.account.lines import LogLine

EXIT_UNREADABLE = 1

_STANDARD_INPUT = '-'
# One request has some ten lines; a name that is none may stand in all.
_MOST_LINES = 10_000


@dataclass
class Account:
    """Say where requests were lost, from the log lines of any number of VMs.

    Each log is taken for one VM's, named after the file.
    """

    logs: Annotated[
        list[str],
        cappa.Arg(help='files of log lines; - for standard input'),
    ] = field(default_factory=lambda: [_STANDARD_INPUT])
    request: Annotated[
        str,
        cappa.Arg(long=True, help='print the way of this request only'),
    ] = ''
    plot: Annotated[
        str,
        cappa.Arg(long=True, help='draw outcomes by second into this file'),
    ] = ''

    def __call__(self) -> None:
        """Read the logs and print the tables."""
        reader = LineReader()
        if self.request:
            self._print_request(reader)
            return
        summary = Summary()
        for log in self.logs:
            summary.add_all(_lines_of(log, reader))
        print(summary_text(summary, reader.counts))
        if self.plot:
            self._plot(summary)

    def _print_request(self, reader: LineReader) -> None:
        found = [
            line
            for log in self.logs
            for line in _lines_of(log, reader)
            if line.text('id') == self.request
        ]
        if not found:
            raise cappa.Exit(
                f'no line of {reader.counts.lines} holds the id '
                f'{self.request!r}; give the logs of all VMs of that time',
                code=EXIT_UNREADABLE,
            )
        print(request_text(found[:_MOST_LINES]))

    def _plot(self, summary: Summary) -> None:
        try:
            plot(summary, self.plot)
        except ImportError as missing:
            raise cappa.Exit(
                f'{missing}; install matplotlib to draw',
                code=EXIT_UNREADABLE,
            ) from missing
        except (OSError, ValueError) as failed:
            raise cappa.Exit(
                f'{self.plot}: {failed}; name a .png or .svg that can be '
                'written',
                code=EXIT_UNREADABLE,
            ) from failed


def _lines_of(log: str, reader: LineReader) -> Iterator[LogLine]:
    with contextlib.ExitStack() as opened:
        if log == _STANDARD_INPUT:
            name, source = 'standard input', sys.stdin
        else:
            name = Path(log).stem
            source = opened.enter_context(_open(log))
        yield from reader.read(name, source)


def _open(log: str) -> contextlib.AbstractContextManager:
    try:
        return Path(log).open(encoding='utf-8', errors='replace')
    except OSError as failed:
        raise cappa.Exit(
            f'{log}: {failed.strerror}; name a readable file',
            code=EXIT_UNREADABLE,
        ) from failed
