"""Runs the daemon that a settings file describes.

Started as a module, it takes the path of the settings from the environment,
as platforms give it, and leaves out the command line and its libraries: on
VMs whose memory is dear they are 6 MB that serve nobody (peak memory of a
process that imports them, against one that does not).
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.config.settings import load_settings
from flamingovalve.util.logs import LogOutput, get_logger
from flamingovalve.util.network import Network
from flamingovalve.util.signals import SignalQueue

if TYPE_CHECKING:
    from typing import Protocol

    from flamingovalve.generated.settings import Settings

    class Leaving(Protocol):
        """A daemon that can be asked to leave."""

        async def run(self) -> None:
            """Serve until stopped."""

        async def begin_leaving(self) -> None:
            """Finish what is in progress, then stop."""


logger = get_logger(__name__)

EXIT_SETTINGS: Final = 2
SETTINGS_VARIABLE: Final = 'FLAMINGOVALVE_BOOT'


def build(settings: Settings) -> Leaving:
    """Build the daemon that ``settings`` describe."""
    if settings.platform.store:
        from flamingovalve.gateway.daemon import GatewayDaemon
        from flamingovalve.platform.adapter import UsersPlatform

        platform = UsersPlatform(settings.platform.store)
        return GatewayDaemon.from_config(settings, Network(), platform)
    from flamingovalve.daemon import Daemon

    return Daemon.from_config(settings, Network())


async def serve(path: Path, settings: Settings, output: LogOutput) -> None:
    """Run the daemon until it has drained."""
    daemon = build(settings)
    await curio.spawn(_obey_signals, daemon, path, output, daemon=True)
    await daemon.run()


async def serve_and_end(
    path: Path,
    settings: Settings,
    output: LogOutput,
) -> None:
    """Run the daemon, then end the process without waiting for its tasks."""
    await serve(path, settings, output)
    end_process()


def run(path: Path, settings: Settings) -> None:
    """Run the daemon of checked settings."""
    output = LogOutput()
    output.apply(settings.logging)
    curio.run(serve_and_end, path, settings, output)


def end_process() -> None:
    """End at once with what was written.

    Tasks that wait for peers that are gone would hold the interpreter past
    the time after which the platform kills it.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


async def _obey_signals(
    daemon: Leaving,
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


def main() -> None:
    """Run the daemon whose settings the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        sys.exit(f'set {SETTINGS_VARIABLE} to the path of the settings file')
    outcome = load_settings(Path(path))
    if outcome.is_error():
        sys.stderr.write('\n'.join(map(str, outcome.error)))
        sys.exit(EXIT_SETTINGS)
    run(Path(path), outcome.ok)


if __name__ == '__main__':
    main()
