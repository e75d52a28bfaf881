"""Logging with logbook, as text or as JSON lines."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

import logbook

from flamingovalve.generated.settings import LogFormat, LogLevel
from flamingovalve.util.lines import LineWriter

if TYPE_CHECKING:
    from flamingovalve.generated.settings import LoggingSettings

_LEVELS = {
    LogLevel.DEBUG: logbook.DEBUG,
    LogLevel.INFO: logbook.INFO,
    LogLevel.WARNING: logbook.WARNING,
    LogLevel.ERROR: logbook.ERROR,
}

_TEXT_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S} {record.level_name:<7} '
    '{record.channel} {record.message}'
)


def get_logger(name: str) -> logbook.Logger:
    """Return the logger of the module ``name``."""
    return logbook.Logger(name.removeprefix('flamingovalve.'))


def note(logger: logbook.Logger, event: str, **facts: Any) -> None:
    """Log one decision as ``event`` with the ``facts`` that led to it."""
    logger.info(event, extra=facts)


class TextHandler(logbook.StreamHandler):
    """Writes each record as text, with its facts after the message."""

    def format(self, record: Any) -> str:
        """Return the line for ``record``."""
        facts = [f' {name}={fact}' for name, fact in record.extra.items()]
        return super().format(record) + ''.join(facts)


class JsonHandler(logbook.StreamHandler):
    """Writes each record as a line with one JSON object."""

    def format(self, record: Any) -> str:
        """Return the line for ``record``."""
        return json.dumps(
            {
                'time': record.time.isoformat(),
                'level': record.level_name.lower(),
                'channel': record.channel,
                'message': record.message,
                **record.extra,
            },
        )


class LogOutput:
    """The installed log handler, which a settings reload replaces."""

    def __init__(self) -> None:
        """Start without an installed handler."""
        self._output: logbook.Handler | None = None
        self._lines = LineWriter(sys.stdout.fileno())

    def apply(self, settings: LoggingSettings) -> None:
        """Install a handler for ``settings``."""
        level = _LEVELS[settings.level]
        if settings.format is LogFormat.JSON:
            output = JsonHandler(self._lines, level=level)
        else:
            output = TextHandler(
                self._lines,
                level=level,
                format_string=_TEXT_FORMAT,
            )
        if self._output is not None:
            self._output.pop_application()
        output.push_application()
        self._output = output
