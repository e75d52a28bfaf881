"""The daemon: one process on each entry VM."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import curio

from flamingovalve import VERSION
from flamingovalve.config.settings import load_settings
from flamingovalve.daemon import Daemon
from flamingovalve.generated.settings import Settings
from flamingovalve.util.logs import LogOutput, get_logger
from flamingovalve.util.network import Network
from flamingovalve.util.signals import SignalQueue

logger = get_logger(__name__)

EXIT_SETTINGS = 2

_EXAMPLE = """Run one entry VM of flamingovalve.

Example: flamingovalved /etc/flamingovalve.ini

SIGTERM or SIGINT drains: the VM tells the others, takes no new work after
fleet.leave_seconds, finishes what is in progress and ends with status 0.
SIGHUP reads the [logging] section again. Faults in the settings end it
with status 2.
"""


@dataclass
class Arguments:
    """Arguments of the daemon."""

    settings: Annotated[Path, cappa.Arg(help='the INI settings file')]


def read_settings(path: Path) -> Settings:
    """Read the settings, or end with every fault on standard error."""
    outcome = load_settings(path)
    if outcome.is_error():
        lines = '\n'.join(str(fault) for fault in outcome.error)
        raise cappa.Exit(lines, code=EXIT_SETTINGS)
    return outcome.ok


async def serve(path: Path, settings: Settings, output: LogOutput) -> None:
    """Run the daemon until it has drained."""
    daemon = Daemon.from_config(settings, Network())
    await curio.spawn(_obey_signals, daemon, path, output, daemon=True)
    await daemon.run()


async def _obey_signals(
    daemon: Daemon,
    path: Path,
    output: LogOutput,
) -> None:
    signals = SignalQueue((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    async for number in signals:
        if number is signal.SIGHUP:
            _reload(path, output)
        else:
            await daemon.begin_leaving()


def _reload(path: Path, output: LogOutput) -> None:
    outcome = load_settings(path)
    if outcome.is_error():
        logger.warning('settings not reloaded: {}', outcome.error[0])
        return
    output.apply(outcome.ok.logging)
    logger.info('log settings reloaded')


def run(arguments: Arguments) -> None:
    """Run the daemon as the arguments say."""
    settings = read_settings(arguments.settings)
    output = LogOutput()
    output.apply(settings.logging)
    curio.run(serve, arguments.settings, settings, output)


def main() -> None:
    """Start from the command line."""
    command = cappa.command(
        name='flamingovalved',
        description=_EXAMPLE,
        invoke=run,
    )
    cappa.invoke(command(Arguments), version=VERSION)


if __name__ == '__main__':
    main()
