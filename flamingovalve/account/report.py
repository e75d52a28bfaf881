"""Tables and a picture of where requests were lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.cmd.tables import table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.account.lines import LogLine, ReadingCounts
    from flamingovalve.account.summary import BoundedCounter, Summary

_MOST_ROWS: Final = 12
_QUANTILES: Final = (50, 90, 99)
_PLAIN_FACTS: Final = frozenset(('time', 'level', 'channel', 'message', 'id'))


def summary_text(summary: Summary, counts: ReadingCounts) -> str:
    """Give all tables."""
    parts = [
        _reading(counts, summary.misdated),
        _counted('OUTCOME', summary.outcomes),
        _counted('NO PLACE BECAUSE', summary.reasons),
        _counted('NOT ANSWERED, BY VM', summary.by_vm),
        _counted('NOT ANSWERED, BY PATH', summary.by_path),
        _counted('SENT, BY ROUTE', summary.sends),
        _stages(summary),
        _seconds(summary),
    ]
    return '\n\n'.join(parts)


def request_text(lines: Iterable[LogLine]) -> str:
    """Give the way of one request, in the order of its lines' times."""
    ordered = sorted(lines, key=lambda line: line.moment)
    began = ordered[0].moment
    rows = [
        (
            f'{line.moment - began:+.3f}',
            line.vm,
            line.message,
            _facts(line),
        )
        for line in ordered
    ]
    return table(('SECONDS', 'VM', 'DECISION', 'FACTS'), rows)


def plot(summary: Summary, path: str) -> None:
    """Draw outcomes over the seconds.

    :raises OSError: when the file cannot be written
    :raises ValueError: when its ending names no format of pictures
    """
    # Takes a second to import, and only pictures need it.
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


def _facts(line: LogLine) -> str:
    shown = [
        f'{name}={fact}'
        for name, fact in line.facts.items()
        if name not in _PLAIN_FACTS
    ]
    return ' '.join(shown)


def _reading(counts: ReadingCounts, misdated: int) -> str:
    return (
        f'{counts.lines} lines; {counts.foreign} no JSON objects, '
        f'{counts.undated} without time or message, {counts.backward} dated '
        f'backward, {misdated} dated days apart'
    )


def _counted(head: str, counter: BoundedCounter) -> str:
    rows = counter.by_key.most_common(_MOST_ROWS)
    return table((head, 'COUNT'), rows)


def _stages(summary: Summary) -> str:
    rows = [
        (
            name,
            stage.count,
            *(f'{stage.quantile(percent):.3f}' for percent in _QUANTILES),
        )
        for name, stage in summary.stages_by_name.items()
    ]
    heads = [f'P{percent} SECONDS' for percent in _QUANTILES]
    return table(('STAGE', 'COUNT', *heads), rows)


def _seconds(summary: Summary) -> str:
    names = [name for name, _count in summary.outcomes.by_key.most_common(6)]
    rows = [
        (second, *(summary.by_second[second][name] for name in names))
        for second in sorted(summary.by_second)
    ]
    return table(('SECOND', *(name.upper() for name in names)), rows)
