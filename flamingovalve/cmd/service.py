"""Builds and runs the daemon that a settings file describes.

Does not import the command-line libraries, which a VM does not need and
which would take memory.
"""

from __future__ import annotations

import os
import signal
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.config.settings import load_settings
from flamingovalve.util import clock
from flamingovalve.util.listeners import EarlyListeners
from flamingovalve.util.logs import LogOutput, get_logger
from flamingovalve.util.network import Network
from flamingovalve.util.signals import SignalQueue

if TYPE_CHECKING:
    from pathlib import Path
    from typing import Protocol

    from flamingovalve.generated.settings import Settings

    class Leaving(Protocol):
        """A daemon that can be drained."""

        async def run(self) -> None:
            """Serve until stopped."""

        async def begin_leaving(self) -> None:
            """Finish what is in progress, then stop."""


logger = get_logger(__name__)

EXIT_SETTINGS: Final = 2


@dataclass(frozen=True, slots=True)
class Start:
    """State from the start of the process, before the daemon is built.

    :ivar listeners: listening sockets that are already open
    :ivar began_at: start of the process, on the monotonic clock
    """

    listeners: EarlyListeners = field(default_factory=EarlyListeners)
    began_at: float = field(default_factory=clock.now)


def build(settings: Settings, start: Start) -> Leaving:
    """Build the platform daemon if a store is set, else the plain one."""
    network = Network(start.listeners)
    if settings.platform.store:
        from flamingovalve.gateway.daemon import GatewayDaemon
        from flamingovalve.platform.adapter import UsersPlatform

        platform = UsersPlatform(settings.platform.store)
        return GatewayDaemon.from_config(
            settings, network, platform, started_at=start.began_at
        )
    from flamingovalve.daemon import Daemon

    return Daemon.from_config(settings, network)


async def serve(
    path: Path,
    settings: Settings,
    output: LogOutput,
    start: Start,
) -> None:
    """Run the daemon until it has drained."""
    daemon = build(settings, start)
    await curio.spawn(_handle_signals, daemon, path, output, daemon=True)
    await daemon.run()


async def serve_and_exit(
    path: Path,
    settings: Settings,
    output: LogOutput,
    start: Start,
) -> None:
    """Run the daemon, then exit without waiting for its tasks."""
    await serve(path, settings, output, start)
    exit_process()


def run(path: Path, settings: Settings, start: Start | None = None) -> None:
    """Run the daemon with validated settings.

    :param start: state from the start of the process; None if the process
        starts here
    """
    output = LogOutput()
    output.apply(settings.logging)
    curio.run(serve_and_exit, path, settings, output, start or Start())


def exit_process() -> None:
    """Flush the output and exit immediately with status 0.

    Tasks that wait for unreachable peers would otherwise keep the
    interpreter running until the platform kills it.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


async def _handle_signals(
    daemon: Leaving,
    path: Path,
    output: LogOutput,
) -> None:
    signals = SignalQueue((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    async for number in signals:
        if number is signal.SIGHUP:
            _reload_logging(path, output)
        else:
            await daemon.begin_leaving()


def _reload_logging(path: Path, output: LogOutput) -> None:
    outcome = load_settings(path)
    if outcome.is_error():
        logger.warning('log settings not reloaded: {}', outcome.error[0])
        return
    output.apply(outcome.ok.logging)
    logger.info('log settings reloaded')


def main(path: Path, start: Start) -> None:
    """Run the daemon with the settings file at ``path``.

    Exits with status 2 and prints every fault if the settings have any.
    """
    outcome = load_settings(path)
    if outcome.is_error():
        sys.stderr.write('\n'.join(map(str, outcome.error)))
        sys.exit(EXIT_SETTINGS)
    run(path, outcome.ok, start)
