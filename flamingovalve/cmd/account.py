"""The subcommand that finds lost requests in log lines."""

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
# A request has about ten log lines, but a value that is not a request id may
# occur in every line.
_MAX_REQUEST_LINES = 10_000


@dataclass
class Account:
    """Report where requests were lost, from the log lines of several VMs.

    Each file is read as the log of one VM, named after the file.
    """

    logs: Annotated[
        list[str],
        cappa.Arg(help='files of log lines; - for standard input'),
    ] = field(default_factory=lambda: [_STANDARD_INPUT])
    request: Annotated[
        str,
        cappa.Arg(long=True, help='print only the log lines of this request'),
    ] = ''
    plot: Annotated[
        str,
        cappa.Arg(long=True, help='plot outcomes per second to this file'),
    ] = ''

    def __call__(self) -> None:
        """Read the logs and print the summary or one request."""
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
        request_lines = [
            line
            for log in self.logs
            for line in _lines_of(log, reader)
            if line.text('id') == self.request
        ]
        if not request_lines:
            raise cappa.Exit(
                f'no line of {reader.counts.lines} has the request id '
                f'{self.request!r}; pass the logs of all VMs for that time',
                code=EXIT_UNREADABLE,
            )
        print(request_text(request_lines[:_MAX_REQUEST_LINES]))

    def _plot(self, summary: Summary) -> None:
        try:
            plot(summary, self.plot)
        except ImportError as missing:
            raise cappa.Exit(
                f'{missing}; install matplotlib to plot',
                code=EXIT_UNREADABLE,
            ) from missing
        except (OSError, ValueError) as failed:
            raise cappa.Exit(
                f'{self.plot}: {failed}; use a writable .png or .svg file',
                code=EXIT_UNREADABLE,
            ) from failed


def _lines_of(log: str, reader: LineReader) -> Iterator[LogLine]:
    with contextlib.ExitStack() as stack:
        if log == _STANDARD_INPUT:
            name, source = 'standard input', sys.stdin
        else:
            name = Path(log).stem
            source = stack.enter_context(_open(log))
        yield from reader.read(name, source)


def _open(log: str) -> contextlib.AbstractContextManager:
    try:
        return Path(log).open(encoding='utf-8', errors='replace')
    except OSError as failed:
        raise cappa.Exit(
            f'{log}: {failed.strerror}; use a readable file',
            code=EXIT_UNREADABLE,
        ) from failed
