"""Reloads the settings of a daemon when the platform asks for it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.config.settings import load_settings
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from pathlib import Path

    from flamingovalve.generated.settings import Settings
    from flamingovalve.util.logs import LogOutput

logger = get_logger(__name__)

_RELOADED: Final = 'logging.'
# Reading the file keeps other tasks waiting.
_MIN_PAUSE_SECONDS: Final = 0.1


class SettingsReloads:
    """The settings in force, and requests to read them again.

    :ivar settings: the settings for which the daemon is built
    """

    def __init__(
        self, path: Path, settings: Settings, output: LogOutput
    ) -> None:
        """Reload ``settings`` from ``path``; logs go to ``output``."""
        self.settings = settings
        self._path = path
        self._output = output
        self._requested = curio.Event()
        self._in_force = _options(settings)

    def read_all(self) -> Settings:
        """Return all settings as they are now, for a daemon to be built.

        Settings with faults are not taken; the last ones stay in force.
        """
        settings = self._read()
        if settings is not None:
            self.settings = settings
            self._in_force = _options(settings)
            self._output.apply(settings.logging)
        return self.settings

    async def request(self) -> None:
        """Ask for a reload; requests before it begins count as one."""
        await self._requested.set()

    async def apply_forever(self) -> None:
        """Reload the section [logging] whenever it is requested."""
        while True:
            await self._requested.wait()
            self._requested.clear()
            try:
                self._apply()
            except Exception as fault:
                logger.error('settings not reloaded: {!r}', fault)
            await curio.sleep(_MIN_PAUSE_SECONDS)

    def _apply(self) -> None:
        settings = self._read()
        if settings is None:
            return
        self._output.apply(settings.logging)
        logger.info('log settings reloaded')
        read = _options(settings)
        pending = [
            name
            for name, setting in self._in_force.items()
            if setting != read[name] and not name.startswith(_RELOADED)
        ]
        if pending:
            logger.warning(
                'settings that take effect at the next start: {}',
                ', '.join(pending),
            )

    def _read(self) -> Settings | None:
        """Read the file; None if its settings have faults."""
        outcome = load_settings(self._path)
        if outcome.is_error():
            logger.warning('settings not reloaded: {}', outcome.error[0])
            return None
        return outcome.ok


def _options(settings: Settings) -> dict[str, Any]:
    """Return the values of all options by section and name.

    A copy, as a running daemon changes some of its settings.
    """
    return {
        f'{section}.{name}': setting
        for section, options in dataclasses.asdict(settings).items()
        for name, setting in options.items()
    }
