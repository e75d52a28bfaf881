"""Log lines by logbook: text or JSON, for changes of state only."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

import logbook

from flamingovalve.generated.settings import LogFormat, LogLevel

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
    """Give the logger of the module ``name``."""
    return logbook.Logger(name.removeprefix('flamingovalve.'))


class JsonHandler(logbook.StreamHandler):
    """Writes each record as one JSON object a line."""

    def format(self, record: Any) -> str:
        """Give the line for ``record``."""
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
    """The installed log output, which a reload replaces."""

    def __init__(self) -> None:
        """Install nothing yet."""
        self._output: logbook.Handler | None = None

    def apply(self, settings: LoggingSettings) -> None:
        """Write from now on as ``settings`` say."""
        level = _LEVELS[settings.level]
        if settings.format is LogFormat.JSON:
            output = JsonHandler(sys.stderr, level=level)
        else:
            output = logbook.StreamHandler(
                sys.stderr,
                level=level,
                format_string=_TEXT_FORMAT,
            )
        if self._output is not None:
            self._output.pop_application()
        output.push_application()
        self._output = output
