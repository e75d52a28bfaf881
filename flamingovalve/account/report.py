"""Tables and a plot of where requests were lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.cmd.tables import table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.account.lines import LogLine, ReadingCounts
    from flamingovalve.account.summary import BoundedCounter, Summary

_MAX_ROWS: Final = 12
_PERCENTILES: Final = (50, 90, 99)
_STANDARD_FIELDS: Final = frozenset(
    ('time', 'level', 'channel', 'message', 'id')
)


def summary_text(summary: Summary, counts: ReadingCounts) -> str:
    """Return all tables as text."""
    parts = [
        _reading_text(counts, summary.misdated),
        _counter_table('OUTCOME', summary.outcomes),
        _counter_table('NO PLACE BECAUSE', summary.reasons),
        _counter_table('NOT ANSWERED, BY VM', summary.by_vm),
        _counter_table('NOT ANSWERED, BY PATH', summary.by_path),
        _counter_table('SENT, BY ROUTE', summary.sends),
        _stage_table(summary),
        _outcome_table(summary),
    ]
    return '\n\n'.join(parts)


def request_text(lines: Iterable[LogLine]) -> str:
    """Return a table of the log lines of one request, ordered by time."""
    ordered = sorted(lines, key=lambda line: line.logged_at)
    started_at = ordered[0].logged_at
    rows = [
        (
            f'{line.logged_at - started_at:+.3f}',
            line.vm,
            line.message,
            _format_fields(line),
        )
        for line in ordered
    ]
    return table(('SECONDS', 'VM', 'DECISION', 'FACTS'), rows)


def plot(summary: Summary, path: str) -> None:
    """Plot the outcomes for each second into the file ``path``.

    :raises OSError: if the file cannot be written
    :raises ValueError: if its extension is not a supported image format
    """
    # The import takes a second, and only plots need it.
    from matplotlib.figure import Figure

    seconds = sorted(summary.by_second)
    outcomes = sorted(summary.outcomes.by_key)
    rows = [
        [summary.by_second[second][name] for second in seconds]
        for name in outcomes
    ]
    figure = Figure(figsize=(10, 4), layout='constrained')
    axes = figure.subplots()
    if seconds:
        axes.stackplot(seconds, *rows, labels=outcomes)
        axes.legend(loc='upper right')
    axes.set_xlabel('seconds')
    axes.set_ylabel('requests a second')
    figure.savefig(path)


def _format_fields(line: LogLine) -> str:
    shown = [
        f'{name}={content}'
        for name, content in line.fields.items()
        if name not in _STANDARD_FIELDS
    ]
    return ' '.join(shown)


def _reading_text(counts: ReadingCounts, misdated: int) -> str:
    return (
        f'{counts.lines} lines; {counts.foreign} no JSON objects, '
        f'{counts.undated} without time or message, {counts.backward} dated '
        f'backward, {misdated} dated days apart'
    )


def _counter_table(heading: str, counter: BoundedCounter) -> str:
    rows = counter.by_key.most_common(_MAX_ROWS)
    return table((heading, 'COUNT'), rows)


def _stage_table(summary: Summary) -> str:
    rows = [
        (
            name,
            stage.count,
            *(f'{stage.quantile(percent):.3f}' for percent in _PERCENTILES),
        )
        for name, stage in summary.stages_by_name.items()
    ]
    headings = [f'P{percent} SECONDS' for percent in _PERCENTILES]
    return table(('STAGE', 'COUNT', *headings), rows)


def _outcome_table(summary: Summary) -> str:
    names = [name for name, _count in summary.outcomes.by_key.most_common(6)]
    rows = [
        (second, *(summary.by_second[second][name] for name in names))
        for second in sorted(summary.by_second)
    ]
    return table(('SECOND', *(name.upper() for name in names)), rows)
